#ifndef SNIPEWORKS_POLICY_H_
#define SNIPEWORKS_POLICY_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <span>
#include <string_view>

#include "snipeworks/clock.h"
#include "snipeworks/extra_attempt_budget.h"

namespace snipeworks {

/// When a partial answer is sent: only at the deadline or at the soft deadline.
enum class AnswerRule : std::int64_t { kCoverage, kSoftDeadline };

/// How a replica is chosen.
enum class Selection : std::int64_t { kLoad, kRandom };

/// Which requests run on a single part before they fan out. A request under
/// which a target has crashed always does.
enum class Canary : std::int64_t { kUnknown, kSuspected };

/// The settings of a service group. All members are integers, so that one table
/// can validate, print and document them.
struct GroupPolicy {
  std::int64_t answer = 0;                  ///< An AnswerRule.
  std::int64_t deadline_ms = 1000;          ///< For requests without one.
  std::int64_t soft_deadline_ms = 100;      ///< For AnswerRule::kSoftDeadline.
  std::int64_t selection = 0;               ///< A Selection.
  std::int64_t hedge_percentile = 96;       ///< 0 disables hedges.
  std::int64_t extra_attempts_percent = 5;  ///< Hedges and retries.
  std::int64_t extra_attempts_slack = 0;    ///< Per 10 s, at any load.
  std::int64_t max_attempts = 0;            ///< Targets per part; 0: no limit.
  std::int64_t min_coverage_permille = 0;   ///< Of the parts of an answer.
  std::int64_t other_zone_percent = 100;    ///< Cost of a remote-zone target.
  std::int64_t probe_silent = 1;  ///< Probe targets that do not respond.
  std::int64_t objective_ms = 0;  ///< Latency objective; 0: none.
  std::int64_t canary = 0;        ///< A Canary.
  std::int64_t quarantine_s = 60;
  std::int64_t admission = 1;               ///< 0 disables admission control.
  std::int64_t return_latest_percent = 70;  ///< Of a refused request's time.
  std::int64_t slow_start_ms = 3000;
  std::int64_t eject_ms = 2000;  ///< First ejection; doubles each time.
  std::int64_t lease_ms = 3000;  ///< A target without a renewal gets no work.

  AnswerRule answer_rule() const { return static_cast<AnswerRule>(answer); }
  Selection selection_rule() const { return static_cast<Selection>(selection); }
  /// The limits of the extra attempts of all hosts together.
  ExtraAttemptLimits extra_limits() const {
    return {static_cast<double>(extra_attempts_percent) / 100.0,
            static_cast<double>(extra_attempts_slack)};
  }
  /// The third choice, "off", stems from earlier versions and means kSuspected.
  Canary canary_rule() const {
    return canary == 0 ? Canary::kUnknown : Canary::kSuspected;
  }

  friend auto operator<=>(const GroupPolicy&, const GroupPolicy&) = default;
};

/// One line of the settings reference.
struct PolicyField {
  std::string_view name;
  std::int64_t GroupPolicy::*member;
  std::int64_t min;
  std::int64_t max;
  std::span<const std::string_view> choices;  ///< Names of values from 0 on.
  std::string_view brief;
  bool fleet_wide = false;  ///< True if it cannot be overridden.
};

/// Every field of GroupPolicy.
std::span<const PolicyField> PolicyFields();

/// The field called `name`, or null.
const PolicyField* FindPolicyField(std::string_view name);

}  // namespace snipeworks

#endif  // SNIPEWORKS_POLICY_H_
