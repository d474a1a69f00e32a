#include "snipeworks/policy.h"

#include <array>

namespace snipeworks {

namespace {

using Choices = std::span<const std::string_view>;

constexpr std::array<std::string_view, 2> kAnswers = {"coverage",
                                                      "soft-deadline"};
constexpr std::array<std::string_view, 2> kSelections = {"load", "random"};
constexpr std::array<std::string_view, 3> kCanaries = {"unknown", "suspected",
                                                       "off"};
constexpr std::array<std::string_view, 2> kOffOn = {"off", "on"};

const std::array kFields = {
    PolicyField{"answer", &GroupPolicy::answer, 0, 1, kAnswers,
                "when a partial answer goes out"},
    PolicyField{"deadline_ms", &GroupPolicy::deadline_ms, 1, 60000, Choices(),
                "deadline of a request that names none"},
    PolicyField{"soft_deadline_ms", &GroupPolicy::soft_deadline_ms, 1, 60000,
                Choices(),
                "when a soft-deadline group answers with what it has"},
    PolicyField{"selection", &GroupPolicy::selection, 0, 1, kSelections,
                "how a replica is chosen"},
    PolicyField{"hedge_percentile", &GroupPolicy::hedge_percentile, 0, 99,
                Choices(),
                "percentile of recent latency after which a hedge goes out; 0 "
                "turns hedges off"},
    PolicyField{"extra_attempts_percent", &GroupPolicy::extra_attempts_percent,
                0, 100, Choices(),
                "most hedges and retries, in percent of primary attempts"},
    PolicyField{"extra_attempts_slack", &GroupPolicy::extra_attempts_slack, 0,
                100000, Choices(),
                "hedges and retries that all hosts together may make in 10 s "
                "beyond that, at any load"},
    PolicyField{"max_attempts", &GroupPolicy::max_attempts, 0, 100, Choices(),
                "most targets that may run one part of a request; 0 for no "
                "limit"},
    PolicyField{"min_coverage_permille", &GroupPolicy::min_coverage_permille, 0,
                1000, Choices(),
                "least share of the parts in an answer, in thousandths"},
    PolicyField{"other_zone_percent", &GroupPolicy::other_zone_percent, 100,
                1000, Choices(),
                "what a target in another zone counts as, in percent of an "
                "equal one in the own zone"},
    PolicyField{"probe_silent", &GroupPolicy::probe_silent, 0, 1, kOffOn,
                "whether a target that keeps silent is asked over another "
                "connection"},
    PolicyField{"objective_ms", &GroupPolicy::objective_ms, 0, 600000,
                Choices(),
                "when an answer is wanted; a hedge goes out while it can still "
                "answer by then; 0 for no such time"},
    PolicyField{"canary", &GroupPolicy::canary, 0, 2, kCanaries,
                "which requests run on one part before they fan out: all that "
                "are not known, or only those under which a target has ended "
                "(off is the same)"},
    PolicyField{"quarantine_s", &GroupPolicy::quarantine_s, 1, 86400, Choices(),
                "how long a request that broke two targets is refused"},
    PolicyField{"admission", &GroupPolicy::admission, 0, 1, kOffOn,
                "whether requests that cannot finish in time are refused"},
    PolicyField{"return_latest_percent", &GroupPolicy::return_latest_percent,
                10, 100, Choices(),
                "when the last of those that are refused for load are told to "
                "come back, in percent of the time that they have left"},
    PolicyField{"slow_start_ms", &GroupPolicy::slow_start_ms, 0, 600000,
                Choices(), "how long a new target's share of work grows"},
    PolicyField{"eject_ms", &GroupPolicy::eject_ms, 10, 600000, Choices(),
                "first pause of a failing target; doubles each time"},
    PolicyField{"lease_ms", &GroupPolicy::lease_ms, 100, 600000, Choices(),
                "silence after which a target gets no new work", true},
};

}  // namespace

std::span<const PolicyField> PolicyFields() {
  return kFields;
}

const PolicyField* FindPolicyField(std::string_view name) {
  for (const PolicyField& field : kFields) {
    if (field.name == name) {
      return &field;
    }
  }
  return nullptr;
}

}  // namespace snipeworks
