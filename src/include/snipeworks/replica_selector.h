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

/// What a choice of replica may look at.
struct ReplicaQuery {
  Instant now{};
  const std::vector<std::string>& replicas;
  const std::vector<std::string>& tried;  ///< Not to be chosen again.
  Duration typical_latency{};             ///< Usual latency of the group.
  const GroupPolicy& policy;
};

/// How a choice ended: a target, none with room now, or none at all.
struct ReplicaChoice {
  enum class State { kChosen, kBusy, kNone };
  State state = State::kNone;
  const Announcement* target = nullptr;
  /// With kBusy: set if every replica has asked to be left alone, to the time
  /// at which the first of them may be asked again.
  std::optional<Instant> retry_at;
};

/// What a ReplicaSelector is made with.
struct SelectorConfig {
  /// Entry hosts that share the connections of each target.
  std::uint32_t fleet_hosts = 1;
  /// Of this host's share, not for attempts.
  std::uint32_t spare_connections = 1;
  std::string zone;  ///< Targets here are preferred as the policy says.
};

/// Chooses replicas from the view and from what was seen of each target.
class ReplicaSelector {
 public:
  ReplicaSelector(TargetView& view, Random& random, SelectorConfig config);

  void SetFleetHosts(std::uint32_t hosts);
  void SetConnectionLimit(const std::string& group, std::uint32_t limit);

  /// Keeps the stats of the announcing target up to date.
  void OnAnnouncement(Instant now, const Announcement& announcement);

  /// Chooses among replicas that are usable and not tried. An ejected target is
  /// used only when no other is left, so ejection never removes coverage.
  ReplicaChoice Choose(const ReplicaQuery& query);

  /// The score of the replica that Choose would take by load; nothing if none
  /// has room now. Smaller is better.
  std::optional<double> BestScore(const ReplicaQuery& query);

  /// When the first of the usable and untried replicas may be asked again, if
  /// all of them have asked to be left alone now.
  std::optional<Instant> EarliestRetryTime(const ReplicaQuery& query);

  /// Replicas that could be chosen now or later, ejected ones included.
  std::size_t CountUsable(const ReplicaQuery& query) const;

  /// Drops what was seen of a target that has ended.
  void Forget(const std::string& target) { stats_.erase(target); }

  /// The stats of `target`, or null if it never announced itself.
  TargetStats* Stats(const std::string& target);

  /// What all entry hosts together see of some targets.
  void OnConditions(Instant now,
                    const std::vector<TargetCondition>& conditions);
  /// What this host has seen of targets since the last call.
  std::vector<ConditionSample> TakeSamples();

  /// Connections that this host may hold to `target`.
  std::uint32_t ConnectionShare(const Announcement& target) const;

 private:
  struct Candidate {
    const Announcement* target;
    TargetStats* stats;
  };

  /// Fills candidates_ with the replicas that are usable and not tried.
  void FindCandidates(const ReplicaQuery& query);
  /// See PausedUntil, for candidates_.
  std::optional<Instant> EarliestCandidateRetryTime(Instant now) const;
  double Score(const ReplicaQuery& query, const Candidate& one) const;
  /// The best of candidates_, which it may shorten and reorder.
  Candidate Best(const ReplicaQuery& query);

  TargetView& view_;
  Random& random_;
  std::uint32_t UsableShare(const Announcement& target) const;

  SelectorConfig config_;
  StringMap<std::uint32_t> connection_limits_;
  StringMap<TargetStats> stats_;
  std::vector<Candidate> candidates_;  ///< Of the choice that is being made.
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_REPLICA_SELECTOR_H_
