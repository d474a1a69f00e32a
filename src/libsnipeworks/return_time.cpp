#include "snipeworks/return_time.h"

#include <algorithm>
#include <utility>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// Sooner, a caller would meet the same burst.
constexpr double kEarliestShare = 0.1;
// The window of callers whose wait alone takes longer, as a share of the wait.
constexpr double kLeastWindow = 0.5;
// What a caller with hardly any time left is told at least.
constexpr Duration kSoonest = milliseconds(10);

// The part of the window that a class gets, as shares of it.
std::pair<double, double> PartOf(RequestClass request_class) {
  switch (request_class) {
    case RequestClass::kUrgent:
      return {0.0, 0.5};
    case RequestClass::kNormal:
      return {0.0, 1.0};
    case RequestClass::kRoutine:
      return {0.5, 1.0};
  }
  return {0.0, 1.0};
}

}  // namespace

Duration ReturnAfter(Random& random, const TurnedAway& caller) {
  const auto left = static_cast<double>(caller.time_left.count());
  const double begin =
      std::max({left * kEarliestShare, static_cast<double>(caller.wait.count()),
                static_cast<double>(kSoonest.count())});
  const double end =
      std::max(left * static_cast<double>(caller.latest_percent) / 100.0,
               begin * (1.0 + kLeastWindow));
  const auto whole =
      static_cast<double>(std::max<std::int64_t>(1, caller.deadline.count()));
  const double fresh = std::clamp(left / whole, 0.0, 1.0);
  const double drawn = random.Unit() * (1.0 + fresh) / 2.0;
  const auto [from, until] = PartOf(caller.request_class);
  const double place = from + (until - from) * drawn;
  return Duration(static_cast<std::int64_t>(begin + (end - begin) * place));
}

}  // namespace snipeworks
