#include "snipeworks/reach_monitor.h"

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// Longer than pauses of targets last.
constexpr Duration kSilence = milliseconds(400);
constexpr std::size_t kAttempts = 8;
// After this long the host tries again, whatever it hears.
constexpr Duration kLongest = std::chrono::seconds(8);

}  // namespace

void ReachMonitor::Forget() {
  unanswered_ = 0;
  cut_off_ = false;
}

void ReachMonitor::OnSent(Instant now) {
  if (unanswered_++ == 0) {
    first_unanswered_ = now;
  }
}

void ReachMonitor::OnResponse() {
  Forget();
}

void ReachMonitor::Update(Instant now, bool quorum_in_reach) {
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

}  // namespace snipeworks
