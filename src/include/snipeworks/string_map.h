#ifndef SNIPEWORKS_STRING_MAP_H_
#define SNIPEWORKS_STRING_MAP_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace snipeworks {

/// Transparent hash: std::string, std::string_view and literals hash alike, so
/// that a lookup needs no copy.
struct StringHash {
  using is_transparent = void;

  std::size_t operator()(std::string_view text) const {
    return std::hash<std::string_view>()(text);
  }
};

/// Unordered map from names to values, for lookups on the path of each attempt.
/// References to entries stay valid while other entries are added or removed.
template <typename T>
using StringMap =
    std::unordered_map<std::string, T, StringHash, std::equal_to<>>;

}  // namespace snipeworks

#endif  // SNIPEWORKS_STRING_MAP_H_
