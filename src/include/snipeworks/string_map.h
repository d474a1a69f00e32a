#ifndef SNIPEWORKS_STRING_MAP_H_
#define SNIPEWORKS_STRING_MAP_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace snipeworks {

/// Hashes all kinds of strings alike, so that a lookup needs no copy.
struct StringHash {
  using is_transparent = void;

  std::size_t operator()(std::string_view text) const {
    return std::hash<std::string_view>()(text);
  }
};

/// Values by name, for lookups on the path of each attempt. In no order;
/// entries stay where they are while others come and go.
template <typename T>
using StringMap =
    std::unordered_map<std::string, T, StringHash, std::equal_to<>>;

}  // namespace snipeworks

#endif  // SNIPEWORKS_STRING_MAP_H_
