#ifndef SNIPEWORKS_DURABLE_FILE_H_
#define SNIPEWORKS_DURABLE_FILE_H_

#include <string>
#include <string_view>

#include "snipeworks/error.h"

namespace snipeworks {

/// Replaces the file at `path` by `content`, whole or not at all, and returns
/// once it would survive a crash. Fails with kInternal and the reason.
Result<void> ReplaceFile(const std::string& path, std::string_view content);

}  // namespace snipeworks

#endif  // SNIPEWORKS_DURABLE_FILE_H_
