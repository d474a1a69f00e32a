#ifndef SNIPECTL_EXCEPTIONS_EDIT_H_
#define SNIPECTL_EXCEPTIONS_EDIT_H_

#include <string>
#include <vector>

#include "snipeworks/error.h"

namespace snipeworks {

/// The exceptions in a settings text, a line each.
std::string ListExceptions(const std::string& text);

/// The settings text with an exception for `group` added or replaced; `values`
/// are NAME=VALUE. Fails with kBadRequest, without a reason above all.
Result<std::string> AddException(const std::string& text,
                                 const std::string& group,
                                 const std::vector<std::string>& values,
                                 const std::string& reason);

/// The settings text without the exception for `group`. Fails with kBadRequest
/// if there is none.
Result<std::string> RemoveException(const std::string& text,
                                    const std::string& group);

}  // namespace snipeworks

#endif  // SNIPECTL_EXCEPTIONS_EDIT_H_
