#ifndef SNIPEWORKS_REACH_MONITOR_H_
#define SNIPEWORKS_REACH_MONITOR_H_

#include <cstddef>

#include "snipeworks/clock.h"

namespace snipeworks {

/// Tells whether an entry host is cut off from the other availability zones,
/// where callers do better to go to another host.
///
/// Load pattern: the zone of a host is cut off, callers still reach the host,
/// and every search that needs targets of other zones waits until its deadline
/// and fails. Neither silent targets alone nor a control log without a quorum
/// are taken for that, since other hosts would serve no better then.
class ReachabilityMonitor {
 public:
  /// An attempt went to a target of another zone.
  void OnSent(Instant now);
  /// A target of another zone sent any response.
  void OnResponse();
  /// `quorum_in_reach`: a control host that hears from a leader with a quorum
  /// has answered lately. To be called a few times a second.
  void Update(Instant now, bool quorum_in_reach);

  bool cut_off() const { return cut_off_; }

  /// When a caller that is turned away may come back. `zone_in_reach`: other
  /// hosts of this zone are in reach. `balancer_lag`: how long the balancer
  /// takes to look away from a host that is not ready.
  ///
  /// Load pattern: a whole zone is cut off, and callers that come back at once
  /// meet another host of it, which turns them away again; where this host
  /// alone is cut off, any other serves them at once.
  Duration RetryAfter(Instant now,
                      bool zone_in_reach,
                      Duration balancer_lag) const;

 private:
  void Forget();

  std::size_t unanswered_ = 0;  ///< Attempts sent since the last response.
  Instant first_unanswered_{};
  Instant cut_off_at_{};
  bool cut_off_ = false;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_REACH_MONITOR_H_
