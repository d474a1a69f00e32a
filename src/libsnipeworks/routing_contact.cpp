#include "snipeworks/routing_contact.h"

#include <algorithm>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// A control host in reach replies within its hold time of 1 s, and a call is
// given up after 1.5 s. A host that has little processor time must not take its
// own delays for a lost contact.
constexpr Duration kReplyTimeout = milliseconds(1750);
// A reply may have been held for 1 s. Limits the age of the version by which a
// key is called unknown to less than the 4 s that a new one may take.
constexpr Duration kCallTimeout = kReplyTimeout + milliseconds(1000);
// Shorter pauses delay a new version no more than a slow link does.
constexpr Duration kSuspension = milliseconds(2000);
// Covers calls from before the suspension that have to fail first. A host that
// is partitioned serves by its routing afterwards.
constexpr Duration kMaxResumeTime = milliseconds(1500);
// The shortest time that any deployment allows an accepted version to be in
// force everywhere.
constexpr Duration kRepeatLease = milliseconds(3000);

}  // namespace

void RoutingContact::OnCurrentReply(Instant sent, Instant now) {
  OnActive(now);
  newest_sent_ = std::max(newest_sent_.value_or(sent), sent);
  last_reply_ = now;
}

void RoutingContact::OnActive(Instant now) {
  resumed_at_ = ResumedAt(now);
  last_active_ = now;
}

std::optional<Instant> RoutingContact::ResumedAt(Instant now) const {
  return last_active_ && now - *last_active_ > kSuspension ? now : resumed_at_;
}

bool RoutingContact::IsResuming(Instant now) const {
  const auto resumed = ResumedAt(now);
  return resumed && now - *resumed < kMaxResumeTime &&
         (!newest_sent_ || *newest_sent_ < *resumed);
}

RoutingFreshness RoutingContact::Freshness(Instant now, bool newer_seen) const {
  if (IsResuming(now)) {
    return RoutingFreshness::kSuspended;
  }
  const bool in_contact = newest_sent_ && now - last_reply_ < kReplyTimeout &&
                          now - *newest_sent_ < kCallTimeout;
  return in_contact && !newer_seen ? RoutingFreshness::kCurrent
                                   : RoutingFreshness::kMayBeBehind;
}

// A suspension needs no special treatment: the lease passes meanwhile.
Instant RoutingContact::RepeatableUntil() const {
  return newest_sent_ ? *newest_sent_ + kRepeatLease : Instant{};
}

}  // namespace snipeworks
