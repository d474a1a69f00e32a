#include "snipeworks/group_set.h"

#include <utility>

#include "snipeworks/text.h"

namespace snipeworks {

GroupSet GroupSet::Of(std::vector<std::string> names) {
  return GroupSet(WithoutRepetitions(std::move(names)));
}

}  // namespace snipeworks
