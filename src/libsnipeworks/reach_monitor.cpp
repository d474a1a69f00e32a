#include "snipeworks/reach_monitor.h"

#include <algorithm>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// Longer than pauses of targets last.
constexpr Duration kSilence = milliseconds(400);
constexpr std::size_t kAttempts = 8;
// Another host serves the caller at once.
constexpr Duration kElsewhere = milliseconds(10);
// After this long the host tries again, whatever it hears.
constexpr Duration kLongest = std::chrono::seconds(8);

}  // namespace

void ReachabilityMonitor::Forget() {
  unanswered_ = 0;
  cut_off_ = false;
}

void ReachabilityMonitor::OnSent(Instant now) {
  if (unanswered_++ == 0) {
    first_unanswered_ = now;
  }
}

void ReachabilityMonitor::OnResponse() {
  Forget();
}

void ReachabilityMonitor::Update(Instant now, bool quorum_in_reach) {
  if (quorum_in_reach || (cut_off_ && now - cut_off_at_ >= kLongest)) {
    if (cut_off_) {
      Forget();
    }
    return;
  }
  if (!cut_off_ && unanswered_ >= kAttempts &&
      now - first_unanswered_ >= kSilence) {
    cut_off_ = true;
    cut_off_at_ = now;
  }
}

Duration ReachabilityMonitor::RetryAfter(Instant now,
                                         bool zone_in_reach,
                                         Duration balancer_lag) const {
  const Instant looked_away = cut_off_at_ + balancer_lag;
  return zone_in_reach ? std::max(kElsewhere, looked_away - now) : kElsewhere;
}

}  // namespace snipeworks
