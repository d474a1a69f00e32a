#ifndef SNIPEWORKS_REACHABILITY_MONITOR_H_
#define SNIPEWORKS_REACHABILITY_MONITOR_H_

#include <cstddef>

#include "snipeworks/clock.h"

namespace snipeworks {

/// Detects that an entry host is cut off from the other availability zones, so
/// that callers should use another host.
///
/// Load pattern: the zone of a host is cut off, callers still reach the host,
/// and every search that needs targets of other zones waits until its deadline
/// and fails. Neither silent targets alone nor a control log without a quorum
/// suffice as a sign, since other hosts would serve no better then.
class ReachabilityMonitor {
 public:
  /// An attempt was sent to a target of another zone.
  void OnSent(Instant now);
  /// A target of another zone sent any response.
  void OnResponse();
  /// Updates cut_off(). `quorum_reachable`: a control host that is in contact
  /// with a leader with a quorum has answered lately. Must be called a few
  /// times a second.
  void Update(Instant now, bool quorum_reachable);

  bool cut_off() const { return cut_off_; }

  /// The Retry-After time of requests that are refused while cut off.
  /// `zone_reachable`: other hosts of this zone are reachable. `balancer_lag`:
  /// the time until the load balancer removes a host that is not ready.
  ///
  /// Load pattern: a whole zone is cut off, and callers that retry at once
  /// reach another host of the zone, which refuses them again. If this host
  /// alone is cut off, any other host serves them at once.
  Duration RetryAfter(Instant now,
                      bool zone_reachable,
                      Duration balancer_lag) const;

 private:
  void Reset();

  std::size_t unanswered_ = 0;  ///< Attempts sent since the last response.
  Instant first_unanswered_{};
  Instant cut_off_at_{};
  bool cut_off_ = false;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_REACHABILITY_MONITOR_H_
