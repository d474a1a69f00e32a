#ifndef SNIPEWORKS_TEXT_H_
#define SNIPEWORKS_TEXT_H_

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace snipeworks {

/// True if `text` is valid UTF-8 (RFC 3629) without control characters, so that
/// it can stand in a JSON string, a header, a log line and a metric label.
bool IsPrintable(std::string_view text);

/// The JSON text of `value`. Bytes of strings that are not UTF-8 are replaced
/// by U+FFFD.
std::string WriteJson(const nlohmann::json& value);

/// `names` without every mention of a name but the first.
std::vector<std::string> WithoutRepetitions(std::vector<std::string> names);

}  // namespace snipeworks

#endif  // SNIPEWORKS_TEXT_H_
