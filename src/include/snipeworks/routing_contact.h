#ifndef SNIPEWORKS_ROUTING_CONTACT_H_
#define SNIPEWORKS_ROUTING_CONTACT_H_

#include <optional>

#include "snipeworks/clock.h"

namespace snipeworks {

/// Whether a host's routing can be the newest.
enum class RoutingFreshness {
  kCurrent,      ///< In contact with a quorum, which has sent nothing newer.
  kMayBeBehind,  ///< Without contact, or a newer version is on its way.
  /// The host has just resumed after a suspension, in which versions may have
  /// gone by, and has had no time to ask for them.
  kSuspended,
};

/// Judges how fresh an entry host's routing is by the replies of control hosts.
///
/// Load pattern: a host is frozen, a key is revoked, and when the host resumes
/// it finds requests and replies from before the freeze in its sockets. Replies
/// therefore count by the time their calls were sent.
class RoutingContact {
 public:
  /// A control host in contact with a leader with a quorum has replied to a
  /// call sent at `sent`, and knows no newer version than the one in force.
  void OnCurrentReply(Instant sent, Instant now);

  /// Must be called several times a second while the host runs.
  void OnActive(Instant now);

  /// True from the end of a suspension until a reply to a later call has come
  /// or that takes too long: control hosts should be asked to reply at once.
  bool IsResuming(Instant now) const;

  /// `newer_seen`: a control host has named a version that is not in force
  /// here.
  RoutingFreshness Freshness(Instant now, bool newer_seen) const;

  /// Until then no accepted version has to be in force that is newer than this
  /// host's: a request may be sent again if the routing in force allows it. In
  /// the past if no reply has come yet.
  Instant RepeatableUntil() const;

 private:
  /// When the last suspension ended, also if OnActive has not been called since
  /// then; nullopt if there was none.
  std::optional<Instant> ResumedAt(Instant now) const;

  std::optional<Instant> newest_sent_;  ///< Of the calls with current replies.
  Instant last_reply_{};
  std::optional<Instant> last_active_;
  std::optional<Instant> resumed_at_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_ROUTING_CONTACT_H_
