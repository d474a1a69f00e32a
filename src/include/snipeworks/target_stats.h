#ifndef SNIPEWORKS_TARGET_STATS_H_
#define SNIPEWORKS_TARGET_STATS_H_

#include <algorithm>
#include <cstdint>

#include "snipeworks/announcement.h"
#include "snipeworks/attempt.h"
#include "snipeworks/clock.h"
#include "snipeworks/policy.h"
#include "snipeworks/request_limit.h"
#include "snipeworks/stall_filter.h"
#include "snipeworks/target_condition.h"
#include "snipeworks/target_limits.h"

namespace snipeworks {

/// The state that this host keeps of one target: attempts in flight, latency,
/// failures, the concurrency limit and ejection.
class TargetStats {
 public:
  /// `share` is the number of connections that attempts may use.
  TargetStats(Instant now,
              const Announcement& announcement,
              std::uint32_t share,
              const TargetLimitBounds& bounds = {});

  /// When the target started, if that is known to be before it was first seen.
  void set_started_at(Instant started_at) { started_at_ = started_at; }
  /// Sets the limit that holds while the target is cold, and takes what is
  /// known of that. `phase`, from 0 to 1, differs between hosts.
  void SetColdLimit(Instant now, const ColdLimit& limit, double phase);

  /// Takes the newest announcement. A new incarnation resets the stats.
  void OnAnnouncement(Instant now,
                      const Announcement& announcement,
                      std::uint32_t share);
  void OnStart(Instant now);
  /// The target has stated to this host the requests that it takes from all
  /// entry hosts. `phase`, from 0 to 1, differs between hosts.
  void OnLimit(Instant now, const StatedLimit& stated, double phase);
  /// The target has stated that to another host. Recent statements to this host
  /// outweigh it.
  void OnRelayedLimit(Instant now, const StatedLimit& stated, double phase);
  /// An attempt ended after `latency`.
  void OnFinish(Instant now,
                const AttemptOutcome& outcome,
                Duration latency,
                Duration typical_latency,
                const GroupPolicy& policy);
  /// An attempt has exceeded the latency at which it counts as slow.
  void OnSlow(Instant now);
  /// Takes the target's condition aggregated over all entry hosts. Recent
  /// observations of this host outweigh it.
  void OnCondition(Instant now, const TargetCondition& condition);
  /// The observations since the last call, without the target's name.
  ConditionSample TakeSample();
  /// Sets the number of connections that this host may use.
  void set_connection_share(std::uint32_t share) { connection_share_ = share; }

  /// See TargetLimits::SetFleetHosts.
  void SetFleetHosts(Instant now,
                     std::uint32_t hosts,
                     std::uint32_t cold_hosts) {
    limits_.SetFleetHosts(now, hosts, cold_hosts);
  }
  /// The limit that the target states.
  const RequestLimit& limit() const { return limits_.stated(); }
  const TargetLimits& limits() const { return limits_; }

  /// True if another attempt may be sent now. Ignores ejection.
  bool HasCapacity(Instant now) const;
  bool IsEjected(Instant now) const { return now < ejected_until_; }
  /// The earliest time at which the target's last Retry-After time has passed
  /// and its limits allow another request; not after `now` if that is now.
  Instant AcceptsAt(Instant now) const {
    return std::max(shed_until_, limits_.NextAllowed(now));
  }
  /// The end of the current ejection; in the past if there is none.
  Instant ejected_until() const { return ejected_until_; }

  /// Expected cost of one more attempt; lower is better. `typical_latency` of
  /// the group stands in where no recent latency is known.
  double Score(Instant now,
               Duration typical_latency,
               const GroupPolicy& policy) const;

  /// True if one more attempt would probably wait for a slot at the target.
  bool WouldQueue(Instant now) const {
    return EstimatedLoad(now) >= static_cast<double>(slots_);
  }
  /// True if an attempt would most likely be answered as fast as usual: the
  /// target has a free slot and does not stall, fail or run slow.
  bool IsFit(Instant now) const;
  int in_flight() const { return in_flight_; }
  /// The number of attempts that may be in flight at once.
  int concurrency_limit() const { return static_cast<int>(concurrency_limit_); }

 private:
  void Reset(Instant now);
  void OnAnswered(const AttemptOutcome& outcome, Duration latency);
  /// Takes the slowness of an attempt that ran for `latency`.
  void ObserveLatency(Instant now, Duration latency, SlownessSample sample);
  void ObserveFailure(Instant now, bool failed);
  double EstimatedLoad(Instant now) const;
  // The condition over all entry hosts, decayed by its age.
  double FleetSlowness(Instant now) const;
  double FleetFailureRate(Instant now) const;
  // Observations of this host, which decay towards the condition over all.
  double Slowness(Instant now) const;
  double FailureRate(Instant now) const;
  void Eject(Instant now, const GroupPolicy& policy);
  double MaxConcurrency() const;

  std::uint64_t incarnation_ = 0;
  std::uint32_t slots_ = 1;
  std::uint32_t connection_share_ = 1;
  std::uint32_t announced_queue_ = 0;
  Instant announced_at_{};
  Instant first_seen_{};
  int in_flight_ = 0;
  double concurrency_limit_ = 1.0;
  double slowness_ = 1.0;  ///< Multiple of the typical latency.
  Instant slowness_at_{};
  StallFilter stall_filter_;
  double failure_rate_ = 0.0;
  Instant failure_at_{};
  TargetCondition fleet_condition_;
  Instant fleet_condition_at_{};
  ConditionSample sample_;
  double answer_load_ = 0.0;  ///< Running and waiting, by the last answer.
  Instant answer_load_at_{};
  Instant stalled_until_{};
  int stall_doublings_ = 0;
  Instant started_at_{};       ///< Of this incarnation, at the latest.
  Instant cold_until_{};       ///< By its reports.
  Instant connected_until_{};  ///< End of the last connection's idle time.
  int consecutive_failures_ = 0;
  int consecutive_ejections_ = 0;
  Instant ejected_until_{};
  Instant shed_until_{};
  TargetLimits limits_;
  Instant limit_stated_at_{};
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_TARGET_STATS_H_
