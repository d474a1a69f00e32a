#ifndef SNIPEWORKS_CONDITION_AGGREGATOR_H_
#define SNIPEWORKS_CONDITION_AGGREGATOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "snipeworks/clock.h"
#include "snipeworks/target_condition.h"

namespace snipeworks {

/// Aggregates the samples of all entry hosts into the condition of each target.
/// A host that sends a target one request every few seconds would notice too
/// late by itself that the target has become slow or fails.
///
/// Does no I/O and reads no clock.
class ConditionAggregator {
 public:
  /// Adds the samples of one host.
  void Add(Instant now, const std::vector<ConditionSample>& samples);

  /// Recomputes the conditions. Must be called a few times a second.
  void Publish(Instant now);

  /// False if both `sample` and the published condition show the target as
  /// typical, so that the other control hosts do not need the sample.
  ///
  /// Load pattern: hundreds of hosts sample all targets a few times a second,
  /// most samples are typical, and each control host forwards to every other
  /// one.
  bool ShouldForward(const ConditionSample& sample) const;

  /// Increases with every condition that is published.
  std::uint64_t serial() const { return serial_; }

  /// The conditions published after `serial`. With 0, those that are not
  /// typical.
  std::vector<TargetCondition> ChangesSince(std::uint64_t serial) const;

 private:
  struct TargetRecord {
    double timed = 0.0;
    double failures = 0.0;
    double slowness = 0.0;  ///< Sum over the timed ones; 1 is typical.
    StatedLimit limit;      ///< What the target stated last to any host.
    Instant at{};
    TargetCondition published;
    Instant published_at{};
    std::uint64_t serial = 0;
  };

  static void Decay(Instant now, TargetRecord& record);

  std::map<std::string, TargetRecord> targets_;
  std::uint64_t serial_ = 0;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_CONDITION_AGGREGATOR_H_
