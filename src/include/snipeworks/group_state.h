#ifndef SNIPEWORKS_GROUP_STATE_H_
#define SNIPEWORKS_GROUP_STATE_H_

#include <memory>
#include <string>

#include "snipeworks/clock.h"
#include "snipeworks/latency_window.h"
#include "snipeworks/policy.h"
#include "snipeworks/snapshot_catalog.h"
#include "snipeworks/target_view.h"
#include "snipeworks/token_budget.h"

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

  /// The targets have changed: the next Snapshot looks again.
  void Invalidate() { valid_ = false; }

  /// The usual latency of an attempt.
  Duration Reference() const;

  /// When an attempt counts as slow; nothing while hedging is off, unlearnt,
  /// or unwise because targets shed.
  std::optional<Duration> HedgeDelay(Instant now) const;

  /// How long an attempt may be silent before its connection is doubted.
  Duration ProbeDelay() const;

  void OnLatency(Duration latency) { latencies_.Add(latency); }
  void OnShed(Instant now);

  GroupPolicy policy;
  TokenBudget extra_attempts;

 private:
  std::string name_;
  LatencyWindow latencies_;
  std::shared_ptr<const PinnedSnapshot> snapshot_;
  bool valid_ = false;
  Instant computed_at_{};
  Instant no_hedges_until_{};
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_GROUP_STATE_H_
