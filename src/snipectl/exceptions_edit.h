#ifndef SNIPECTL_EXCEPTIONS_EDIT_H_
#define SNIPECTL_EXCEPTIONS_EDIT_H_

#include <string>
#include <vector>

#include "snipeworks/error.h"

namespace snipeworks {

/// Lists the exceptions of a settings text, one per line.
std::string ListExceptions(const std::string& text);

/// Returns the settings text with an exception for `group` added or replaced.
/// `assignments` have the form NAME=VALUE. Fails with kBadRequest if one is
/// malformed, if `reason` is empty, or if the resulting settings are invalid.
Result<std::string> AddException(const std::string& text,
                                 const std::string& group,
                                 const std::vector<std::string>& assignments,
                                 const std::string& reason);

/// Returns the settings text without the exception for `group`. Fails with
/// kBadRequest if there is none.
Result<std::string> RemoveException(const std::string& text,
                                    const std::string& group);

}  // namespace snipeworks

#endif  // SNIPECTL_EXCEPTIONS_EDIT_H_
