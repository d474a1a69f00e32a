#include "snipeworks/retry_after.h"

#include <algorithm>
#include <utility>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// The least delay as a share of the remaining time: an earlier retry would meet
// the same burst.
constexpr double kMinDelayShare = 0.1;
// The least length of the window, as a share of its begin.
constexpr double kMinWindowShare = 0.5;
// The least delay for requests with hardly any time remaining.
constexpr Duration kMinDelay = milliseconds(10);

// The part of the window for a class, as shares of the window.
std::pair<double, double> ClassWindow(RequestClass request_class) {
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

Duration DrawRetryAfter(Random& random, const RefusedRequest& request) {
  const auto remaining = static_cast<double>(request.remaining.count());
  const double begin =
      std::max({remaining * kMinDelayShare,
                static_cast<double>(request.queue_wait.count()),
                static_cast<double>(kMinDelay.count())});
  const double end =
      std::max(remaining * static_cast<double>(request.latest_percent) / 100.0,
               begin * (1.0 + kMinWindowShare));
  const auto deadline =
      static_cast<double>(std::max<std::int64_t>(1, request.deadline.count()));
  const double remaining_share = std::clamp(remaining / deadline, 0.0, 1.0);
  const double drawn = random.Unit() * (1.0 + remaining_share) / 2.0;
  const auto [from, until] = ClassWindow(request.request_class);
  const double position = from + (until - from) * drawn;
  return Duration(static_cast<std::int64_t>(begin + (end - begin) * position));
}

}  // namespace snipeworks
