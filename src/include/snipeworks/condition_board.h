#ifndef SNIPEWORKS_CONDITION_BOARD_H_
#define SNIPEWORKS_CONDITION_BOARD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "snipeworks/clock.h"
#include "snipeworks/target_condition.h"

namespace snipeworks {

/// Adds up what entry hosts see of targets, so that each of them knows what all
/// of them have seen: a host that sends a target a request every few seconds
/// learns too late by itself that it has turned slow or fails.
///
/// Does no I/O and reads no clock.
class ConditionAggregator {
 public:
  /// Takes what one host saw.
  void Add(Instant now, const std::vector<ConditionSample>& samples);

  /// Works out the conditions anew. To be called a few times a second.
  void Publish(Instant now);

  /// False if `sample` shows a target as usual that hosts take to be usual: the
  /// other control hosts lose nothing by not hearing of it.
  ///
  /// Load pattern: hundreds of hosts see all targets a few times a second, most
  /// of them as usual, and each control host tells every other one.
  bool ShouldForward(const ConditionSample& sample) const;

  /// Rises whenever a condition that hosts should know of has changed.
  std::uint64_t serial() const { return serial_; }

  /// The conditions published after `serial`. With 0, those that are not
  /// usual.
  std::vector<TargetCondition> ChangesSince(std::uint64_t serial) const;

 private:
  struct Seen {
    double timed = 0.0;
    double failures = 0.0;
    double slowness = 0.0;  ///< Sum over the timed ones, 1 is the usual.
    Instant at{};
    TargetCondition published;
    Instant published_at{};
    std::uint64_t serial = 0;
  };

  static void Fade(Instant now, Seen& seen);

  std::map<std::string, Seen> targets_;
  std::uint64_t serial_ = 0;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_CONDITION_BOARD_H_
