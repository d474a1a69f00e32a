#ifndef SNIPEWORKS_TARGET_STATS_H_
#define SNIPEWORKS_TARGET_STATS_H_

#include <cstdint>

#include "snipeworks/announcement.h"
#include "snipeworks/attempt.h"
#include "snipeworks/clock.h"
#include "snipeworks/policy.h"
#include "snipeworks/target_condition.h"

namespace snipeworks {

/// What this host has seen of one target: requests in flight, latency, the
/// number of requests it may have in flight, and whether it is ejected.
class TargetStats {
 public:
  /// `share` is the number of connections that attempts may use.
  TargetStats(Instant now,
              const Announcement& announcement,
              std::uint32_t share);

  /// Takes the newest announcement. A new incarnation starts afresh.
  void OnAnnouncement(Instant now,
                      const Announcement& announcement,
                      std::uint32_t share);
  void OnStart();
  /// An attempt ended after `latency`; `usual` is what such attempts take.
  void OnFinish(Instant now,
                const AttemptOutcome& outcome,
                Duration latency,
                Duration usual,
                const GroupPolicy& policy);
  /// An attempt has been running for so long that it counts as slow.
  void OnSlow(Instant now);
  /// What all entry hosts together see of the target: what this host has seen
  /// itself counts for more while it is fresh.
  void OnCondition(Instant now, const TargetCondition& condition);
  /// What this host has seen since the last call, without the target's name.
  ConditionSample TakeSample();
  /// Connections that this host may use from now on.
  void set_share(std::uint32_t share) { share_ = share; }

  /// True if another attempt may be sent now, ejection aside.
  bool HasRoom(Instant now) const;
  bool IsEjected(Instant now) const { return now < ejected_until_; }
  /// True while the target has asked to be left alone.
  bool IsShedding(Instant now) const { return now < shed_until_; }
  /// The end of that time, in the past if there is none.
  Instant shed_until() const { return shed_until_; }
  /// The end of the current ejection, in the past if there is none.
  Instant ejected_until() const { return ejected_until_; }

  /// Expected cost of one more attempt; smaller is better. `reference` is the
  /// usual latency of the group, which stands in for latencies not seen lately.
  double Score(Instant now,
               Duration reference,
               const GroupPolicy& policy) const;

  /// True if one more attempt would wait there for a slot, as far as is known.
  bool WouldQueue(Instant now) const {
    return Busy(now) >= static_cast<double>(slots_);
  }
  int in_flight() const { return in_flight_; }
  /// Attempts that may be in flight at once.
  int limit() const { return static_cast<int>(limit_); }

 private:
  void Reset(Instant now);
  void OnHealthy(const AttemptOutcome& outcome, Duration latency);
  void Observe(Instant now, double slowness, double weight);
  void ObserveFailure(Instant now, bool failed);
  double Busy(Instant now) const;
  // What others tell, faded by its age.
  double ToldSlowness(Instant now) const;
  double ToldFailing(Instant now) const;
  // What was seen here, which fades towards what others tell.
  double Slowness(Instant now) const;
  double Failing(Instant now) const;
  void Eject(Instant now, const GroupPolicy& policy);
  double MaxLimit() const;

  std::uint64_t incarnation_ = 0;
  std::uint32_t slots_ = 1;
  std::uint32_t share_ = 1;
  std::uint32_t reported_queue_ = 0;
  Instant reported_at_{};
  Instant first_seen_{};
  int in_flight_ = 0;
  double limit_ = 1.0;
  double slowness_ = 1.0;  ///< Latency as a multiple of the usual one.
  Instant slowness_at_{};
  double failure_share_ = 0.0;
  Instant failure_at_{};
  TargetCondition told_;
  Instant told_at_{};
  ConditionSample sample_;
  double busy_ = 0.0;  ///< Requests there, as its latest answer told.
  Instant busy_at_{};
  Instant stalled_until_{};
  Instant cold_until_{};
  Instant connected_until_{};  ///< An open connection is there until then.
  int failures_in_row_ = 0;
  int ejections_ = 0;
  Instant ejected_until_{};
  Instant shed_until_{};
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_TARGET_STATS_H_
