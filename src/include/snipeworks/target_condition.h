#ifndef SNIPEWORKS_TARGET_CONDITION_H_
#define SNIPEWORKS_TARGET_CONDITION_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

#include "snipeworks/request_limit.h"
#include "snipeworks/wire.h"

namespace snipeworks {

/// Outcomes of the attempts at one target since the previous sample.
struct ConditionSample {
  std::string target;
  std::uint32_t timed = 0;     ///< Attempts with a known latency.
  std::uint32_t failures = 0;  ///< Attempts without a usable answer.
  /// Sum over the timed attempts: latency in percent of the typical latency.
  std::uint32_t slowness_percent = 0;
  /// What the target stated last; set only while it states a limit and when
  /// that ends.
  std::optional<StatedLimit> stated_limit;

  friend auto operator<=>(const ConditionSample&,
                          const ConditionSample&) = default;
};

template <SameStruct<ConditionSample> S>
auto WireFields(S& v) {
  return std::tie(v.target, v.timed, v.failures, v.slowness_percent,
                  v.stated_limit);
}

/// The condition of one target, aggregated over all entry hosts.
struct TargetCondition {
  std::string target;
  std::uint32_t slowness_percent = 100;  ///< Latency; 100 is typical.
  std::uint32_t failing_percent = 0;     ///< Share of attempts that fail.
  StatedLimit limit;                     ///< What the target stated last.

  friend auto operator<=>(const TargetCondition&,
                          const TargetCondition&) = default;
};

template <SameStruct<TargetCondition> S>
auto WireFields(S& v) {
  return std::tie(v.target, v.slowness_percent, v.failing_percent, v.limit);
}

}  // namespace snipeworks

#endif  // SNIPEWORKS_TARGET_CONDITION_H_
