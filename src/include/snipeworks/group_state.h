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

/// What this host keeps for one service group.
class GroupState {
 public:
  explicit GroupState(std::string name) : name_(std::move(name)) {}

  const std::string& name() const { return name_; }

  /// The snapshot for new searches, from the cache unless the view has changed
  /// or leases may have run out. Null if no usable target holds any.
  std::shared_ptr<const PinnedSnapshot> Snapshot(Instant now,
                                                 const TargetView& view);

  /// The same for a request that brings its own plan.
  std::shared_ptr<const PinnedSnapshot> Snapshot(
      Instant now,
      const TargetView& view,
      const std::shared_ptr<const SearchPlan>& plan);

  /// The targets have changed: the next Snapshot looks again.
  void Invalidate() { valid_ = false; }

  /// The usual latency of an attempt.
  Duration TypicalLatency() const;

  /// When an attempt counts as slow; nothing while hedging is off, unlearnt,
  /// or unwise because targets shed. `budget_left` is the share of the budget
  /// for extra attempts that has not been spent.
  std::optional<Duration> HedgeDelay(Instant now, double budget_left) const;

  /// How long an attempt may be silent before its connection is doubted.
  Duration ProbeDelay() const;

  void OnLatency(Duration latency) { latencies_.Add(latency); }
  void OnOutcome(Instant now, AttemptStatus status);
  /// When a request used this group last.
  Instant used_at() const { return used_at_; }

  /// An attempt of `request_class` was dispatched.
  void OnDispatch(Instant now, RequestClass request_class);
  /// What a part waits behind, for ExpectedWait.
  struct Backlog {
    std::size_t ahead = 0;      ///< Parts that go first.
    std::size_t own_class = 0;  ///< Of those, the ones of its own class.
    int capacity = 1;           ///< Attempts that its replicas take at once.
    std::size_t parts = 1;      ///< Parts of the snapshot.
  };

  /// How long a part is expected to wait behind `backlog`.
  Duration ExpectedWait(Instant now,
                        RequestClass request_class,
                        const Backlog& backlog);

  GroupPolicy policy;

 private:
  bool TargetsShed(Instant now) const;

  std::string name_;
  LatencyWindow latencies_;
  std::shared_ptr<const PinnedSnapshot> snapshot_;
  std::shared_ptr<const SearchPlan> plan_;
  bool valid_ = false;
  Instant used_at_{};
  Instant computed_at_{};
  double shed_share_ = 0.0;  ///< Of the latest attempts.
  Instant shed_at_{};
  Instant busy_since_{};
  Instant busy_at_{};
  DecayedRate dispatched_;
  std::array<DecayedRate, kRequestClasses> dispatched_by_class_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_GROUP_STATE_H_
