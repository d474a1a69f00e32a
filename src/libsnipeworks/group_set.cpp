#include "snipeworks/group_set.h"

#include <unordered_set>
#include <utility>

namespace snipeworks {

GroupSet GroupSet::Of(std::vector<std::string> names) {
  std::unordered_set<std::string> seen;
  std::erase_if(names, [&](const std::string& name) {
    return !seen.insert(name).second;
  });
  return GroupSet(std::move(names));
}

}  // namespace snipeworks
