#ifndef SNIPEWORKS_DURABLE_FILE_H_
#define SNIPEWORKS_DURABLE_FILE_H_

#include <string>
#include <string_view>

#include "snipeworks/error.h"

namespace snipeworks {

/// Atomically replaces the content of the file at `path` and returns once the
/// change is durable. Fails with kInternal and the reason.
Result<void> ReplaceFile(const std::string& path, std::string_view content);

}  // namespace snipeworks

#endif  // SNIPEWORKS_DURABLE_FILE_H_
