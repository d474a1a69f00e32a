#ifndef SNIPEWORKS_REPLICA_SELECTOR_H_
#define SNIPEWORKS_REPLICA_SELECTOR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "snipeworks/policy.h"
#include "snipeworks/random.h"
#include "snipeworks/string_map.h"
#include "snipeworks/target_stats.h"
#include "snipeworks/target_view.h"

namespace snipeworks {

/// The inputs of a replica choice.
struct ReplicaQuery {
  Instant now{};
  const std::vector<std::string>& replicas;
  const std::vector<std::string>& tried;  ///< Excluded from the choice.
  Duration typical_latency{};             ///< Typical latency of the group.
  const GroupPolicy& policy;
};

/// The result of a choice: a target, none with free capacity, or none usable.
struct ReplicaChoice {
  enum class State { kChosen, kBusy, kNone };
  State state = State::kNone;
  const Announcement* target = nullptr;
  /// With kBusy, set if every replica is shedding load: the earliest time at
  /// which one of them accepts requests again.
  std::optional<Instant> retry_at;
};

/// The configuration of a ReplicaSelector.
struct SelectorConfig {
  /// Entry hosts that share the connections of each target.
  std::uint32_t fleet_hosts = 1;
  /// Connections of this host's share that are reserved for other uses than
  /// attempts.
  std::uint32_t spare_connections = 1;
  std::string zone;  ///< The policy may prefer targets of this zone.
  TargetLimitBounds limit_bounds;
};

/// Chooses replicas from the view and from the stats of each target.
///
/// Load pattern: each zone has a target of each part, and targets pause, slow
/// down, refuse and fail one by one, or a whole zone of them does. Work stays
/// in its zone while a target there is fit and leaves it as soon as none is.
class ReplicaSelector {
 public:
  ReplicaSelector(TargetView& view, Random& random, SelectorConfig config);

  void SetFleetHosts(Instant now, std::uint32_t hosts);
  void SetConnectionLimit(const std::string& group, std::uint32_t limit);

  /// Sets the limits of cold targets, by group. Groups that are not named have
  /// none.
  void SetColdLimits(Instant now, StringMap<ColdLimit> limits);

  /// Updates the stats of the announcing target. `uptime` is how long it has
  /// run at least, if it was not known before.
  void OnAnnouncement(Instant now,
                      const Announcement& announcement,
                      Duration uptime = {});

  /// Chooses among replicas that are usable and not tried. An ejected target is
  /// used only when no other is left, so ejection never removes coverage.
  ReplicaChoice Choose(const ReplicaQuery& query);

  /// The score of the replica that Choose would take by load; nullopt if none
  /// has free capacity. Lower is better.
  std::optional<double> BestScore(const ReplicaQuery& query);

  /// The earliest time at which one of the usable and untried replicas accepts
  /// requests again, if all of them are shedding load now.
  std::optional<Instant> EarliestRetryTime(const ReplicaQuery& query);

  /// The number of replicas that can be chosen now or later, including ejected
  /// ones.
  std::size_t CountUsable(const ReplicaQuery& query) const;

  /// Drops the stats of a target that has terminated.
  void Forget(const std::string& target) { stats_.erase(target); }

  /// The stats of `target`, or null if it never announced itself.
  TargetStats* Stats(const std::string& target);

  /// Takes target conditions aggregated over all entry hosts.
  void OnConditions(Instant now,
                    const std::vector<TargetCondition>& conditions);
  /// The samples that this host has collected since the last call.
  std::vector<ConditionSample> TakeSamples();

  /// `target` has stated to this host the requests that it takes from all entry
  /// hosts. Returns true if that differs from what was known.
  bool OnLimit(Instant now,
               const std::string& target,
               const StatedLimit& stated);
  /// The number of targets that state a limit of requests.
  std::size_t CountLimited() const;
  /// The number of cold targets that have a limit.
  std::size_t CountCold(Instant now) const;
  /// The time until `replicas` accept a request behind `ahead` others, as far
  /// as their limits decide; 0 if one of them has none.
  Duration LimitWait(Instant now,
                     const std::vector<std::string>& replicas,
                     std::size_t ahead) const;
  /// True if a target may have a limit: spares the others a look at each one.
  bool any_limited() const { return any_limited_; }
  /// Resets any_limited() once all limits have ended, and forgets entry hosts
  /// that have been away for long. To be called about once a second.
  void UpdateLimits(Instant now);

  /// Connections that this host may hold to `target`.
  std::uint32_t ConnectionShare(const Announcement& target) const;

 private:
  struct Candidate {
    const Announcement* target;
    TargetStats* stats;
  };

  /// Fills candidates_ with the replicas that are usable and not tried.
  void FindCandidates(const ReplicaQuery& query);
  /// EarliestRetryTime over candidates_.
  std::optional<Instant> EarliestCandidateRetryTime(Instant now) const;
  double Score(const ReplicaQuery& query, const Candidate& one) const;
  /// Drops all candidates but the fit ones of this host's zone, if there are
  /// any and the policy prefers the zone.
  void KeepToOwnZone(const ReplicaQuery& query);
  /// The best of candidates_, which the call may truncate and reorder.
  Candidate PickBest(const ReplicaQuery& query);

  std::uint32_t UsableShare(const Announcement& target) const;
  void ApplyColdLimit(Instant now,
                      const std::string& group,
                      TargetStats& stats);

  TargetView& view_;
  Random& random_;
  SelectorConfig config_;
  StringMap<std::uint32_t> connection_limits_;
  StringMap<TargetStats> stats_;
  StringMap<ColdLimit> cold_limits_;
  std::optional<double> cold_phase_;  ///< Of this host; drawn when needed.
  /// The most entry hosts that were known lately.
  std::uint32_t most_fleet_hosts_ = 1;
  Instant most_fleet_hosts_at_{};
  bool any_limited_ = false;
  std::vector<Candidate> candidates_;  ///< Scratch space of one choice.
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_REPLICA_SELECTOR_H_
