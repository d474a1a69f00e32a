#include "snipeworks/reachability_monitor.h"

#include <algorithm>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// Longer than the usual pauses of targets.
constexpr Duration kMinSilence = milliseconds(400);
constexpr std::size_t kMinUnansweredAttempts = 8;
// Another host can serve the caller at once.
constexpr Duration kMinRetryAfter = milliseconds(10);
// After this time the host serves again in any case, which tests its
// connectivity.
constexpr Duration kMaxCutOffTime = std::chrono::seconds(8);

}  // namespace

void ReachabilityMonitor::Reset() {
  unanswered_ = 0;
  cut_off_ = false;
}

void ReachabilityMonitor::OnSent(Instant now) {
  if (unanswered_++ == 0) {
    first_unanswered_ = now;
  }
}

void ReachabilityMonitor::OnResponse() {
  Reset();
}

void ReachabilityMonitor::Update(Instant now, bool quorum_reachable) {
  if (quorum_reachable || (cut_off_ && now - cut_off_at_ >= kMaxCutOffTime)) {
    if (cut_off_) {
      Reset();
    }
    return;
  }
  if (!cut_off_ && unanswered_ >= kMinUnansweredAttempts &&
      now - first_unanswered_ >= kMinSilence) {
    cut_off_ = true;
    cut_off_at_ = now;
  }
}

Duration ReachabilityMonitor::RetryAfter(Instant now,
                                         bool zone_reachable,
                                         Duration balancer_lag) const {
  const Instant balancer_updated_at = cut_off_at_ + balancer_lag;
  return zone_reachable ? std::max(kMinRetryAfter, balancer_updated_at - now)
                        : kMinRetryAfter;
}

}  // namespace snipeworks
