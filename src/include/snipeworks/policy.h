#ifndef SNIPEWORKS_POLICY_H_
#define SNIPEWORKS_POLICY_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <span>
#include <string_view>

#include "snipeworks/clock.h"
#include "snipeworks/extra_budget.h"

namespace snipeworks {

/// When a partial answer goes out: only at the deadline, or at the soft one.
enum class AnswerRule : std::int64_t { kCoverage, kSoftDeadline };

/// How a replica is chosen.
enum class Selection : std::int64_t { kLoad, kRandom };

/// Which requests run on a single part before they fan out. A request under
/// which a target has ended does so whatever is set.
enum class Canary : std::int64_t { kUnknown, kSuspected };

/// What operators can set for a service group. All members are whole numbers
/// so that one table can check, show and document them.
struct GroupPolicy {
  std::int64_t answer = 0;                  ///< An AnswerRule.
  std::int64_t deadline_ms = 1000;          ///< When a caller names none.
  std::int64_t soft_deadline_ms = 100;      ///< For AnswerRule::kSoftDeadline.
  std::int64_t selection = 0;               ///< A Selection.
  std::int64_t hedge_percentile = 96;       ///< 0 turns hedges off.
  std::int64_t extra_attempts_percent = 5;  ///< Hedges and retries.
  std::int64_t extra_attempts_slack = 0;    ///< At any load, in 10 s.
  std::int64_t max_attempts = 0;            ///< That may run a part; 0: any.
  std::int64_t min_coverage_permille = 0;   ///< Of parts, in an answer.
  std::int64_t other_zone_percent = 100;    ///< Cost of a target elsewhere.
  std::int64_t probe_silent = 1;            ///< Whether silence is probed.
  std::int64_t objective_ms = 0;            ///< When an answer is wanted.
  std::int64_t canary = 0;                  ///< A Canary.
  std::int64_t quarantine_s = 60;
  std::int64_t admission = 1;               ///< 0 admits everything.
  std::int64_t return_latest_percent = 70;  ///< Of a refused caller's time.
  std::int64_t slow_start_ms = 3000;
  std::int64_t eject_ms = 2000;  ///< First ejection; doubles with each.
  std::int64_t lease_ms = 3000;  ///< Silence after which a target gets no work.

  AnswerRule answer_rule() const { return static_cast<AnswerRule>(answer); }
  Selection selection_rule() const { return static_cast<Selection>(selection); }
  /// What the extra attempts of all hosts together must keep to.
  ExtraAttemptLimits extra_limits() const {
    return {static_cast<double>(extra_attempts_percent) / 100.0,
            static_cast<double>(extra_attempts_slack)};
  }
  /// The third choice, "off", is that of earlier versions.
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
  std::span<const std::string_view> choices;  ///< Names of values from 0 up.
  std::string_view brief;
  bool fleet_wide = false;  ///< True if no exception can change it.
};

/// Every field of GroupPolicy.
std::span<const PolicyField> PolicyFields();

/// The field called `name`, or null.
const PolicyField* FindPolicyField(std::string_view name);

}  // namespace snipeworks

#endif  // SNIPEWORKS_POLICY_H_
