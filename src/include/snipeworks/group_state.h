#ifndef SNIPEWORKS_GROUP_STATE_H_
#define SNIPEWORKS_GROUP_STATE_H_

#include <array>
#include <memory>
#include <string>

#include "snipeworks/clock.h"
#include "snipeworks/decayed_rate.h"
#include "snipeworks/latency_window.h"
#include "snipeworks/policy.h"
#include "snipeworks/search.h"
#include "snipeworks/snapshot_catalog.h"
#include "snipeworks/target_view.h"

namespace snipeworks {

/// The state that this host keeps for one service group.
class GroupState {
 public:
  explicit GroupState(std::string name) : name_(std::move(name)) {}

  const std::string& name() const { return name_; }

  /// The snapshot for new searches; cached until the view changes or leases may
  /// have expired. Null if no usable target holds any.
  std::shared_ptr<const PinnedSnapshot> Snapshot(Instant now,
                                                 const TargetView& view);

  /// The same for a request with a plan of its own.
  std::shared_ptr<const PinnedSnapshot> Snapshot(
      Instant now,
      const TargetView& view,
      const std::shared_ptr<const SearchPlan>& plan);

  /// Invalidates the cached snapshot after a change of the targets.
  void Invalidate() { snapshot_valid_ = false; }

  /// The median latency of recent attempts, or a default without enough of
  /// them.
  Duration TypicalLatency() const;

  /// A high percentile of the latency of recent attempts, or the same default.
  Duration SlowLatency() const;

  /// The time after which an attempt counts as slow and gets a hedge; nullopt
  /// while hedging is off, latencies are unknown, or targets are shedding.
  /// `budget_left` is the unspent share of the budget for extra attempts.
  std::optional<Duration> HedgeDelay(Instant now, double budget_left) const;

  /// The time without a response after which an attempt's target is probed.
  Duration ProbeDelay() const;

  void OnLatency(Duration latency) { latencies_.Add(latency); }
  void OnOutcome(Instant now, AttemptStatus status);
  /// The time of the last request to this group.
  Instant used_at() const { return used_at_; }

  /// An attempt of `priority` was dispatched.
  void OnDispatch(Instant now, const Priority& priority);
  /// The queue in front of a part, for ExpectedWait.
  struct Backlog {
    std::size_t ahead = 0;              ///< Parts ahead in the queue.
    std::size_t ahead_at_priority = 0;  ///< Those of the part's own priority.
    int capacity = 1;       ///< Concurrent attempts of its replicas.
    std::size_t parts = 1;  ///< Parts of the snapshot.
  };

  /// The expected waiting time of a part behind `backlog`.
  Duration ExpectedWait(Instant now,
                        const Priority& priority,
                        const Backlog& backlog);

  GroupPolicy policy;

 private:
  bool TargetsAreShedding(Instant now) const;

  std::string name_;
  LatencyWindow latencies_;
  std::shared_ptr<const PinnedSnapshot> snapshot_;
  std::shared_ptr<const SearchPlan> plan_;
  bool snapshot_valid_ = false;
  Instant used_at_{};
  Instant snapshot_computed_at_{};
  double shed_share_ = 0.0;  ///< Moving average over attempts.
  Instant shed_at_{};
  Instant backlog_since_{};
  Instant backlog_seen_at_{};
  DecayedRate dispatched_;
  std::array<DecayedRate, kPriorityLevels> dispatched_by_level_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_GROUP_STATE_H_
