#include "snipeworks/search.h"

#include <array>

namespace snipeworks {

namespace {

constexpr std::array<const char*, kRequestClasses> kClassNames = {
    "urgent", "normal", "routine"};

}  // namespace

const char* ToString(RequestClass request_class) {
  return kClassNames[static_cast<std::size_t>(request_class)];
}

std::optional<RequestClass> ParseRequestClass(std::string_view name) {
  for (std::size_t i = 0; i < kClassNames.size(); ++i) {
    if (name == kClassNames[i]) {
      return static_cast<RequestClass>(i);
    }
  }
  return std::nullopt;
}

const char* ToString(MissingReason reason) {
  switch (reason) {
    case MissingReason::kLate:
      return "late";
    case MissingReason::kRefused:
      return "refused";
    case MissingReason::kNoTarget:
      return "no-target";
    case MissingReason::kWrongSnapshot:
      return "wrong-snapshot";
    case MissingReason::kFailed:
      return "failed";
    case MissingReason::kOverloaded:
      return "overloaded";
    case MissingReason::kEvacuated:
      return "evacuated";
  }
  return "failed";
}

}  // namespace snipeworks
