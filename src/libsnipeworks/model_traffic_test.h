#ifndef SNIPEWORKS_LIBSNIPEWORKS_MODEL_TRAFFIC_TEST_H_
#define SNIPEWORKS_LIBSNIPEWORKS_MODEL_TRAFFIC_TEST_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "snipeworks/search.h"

namespace snipeworks {

/// Requests of one kind that callers send.
struct ModelTraffic {
  std::shared_ptr<const SearchPlan> plan;
  double per_second = 0.0;
  RequestClass request_class = RequestClass::kNormal;
  Duration deadline = std::chrono::milliseconds(1500);
  /// Attempts that a caller makes until one is answered.
  std::size_t tries = 1;
  /// True if a refused caller waits as long as it was told; others send again
  /// within milliseconds.
  bool patient = true;
  /// What patient callers take themselves to be told, whatever they are.
  std::optional<Duration> told_always;
  /// Requests come only in this part of the replay.
  Duration from{};
  Duration until = std::chrono::hours(1);
  /// Share of all requests that go to the first host; others are spread, some
  /// hosts getting twice as many as others.
  double first_host_share = 0.0;
};

/// What became of the requests of one kind in a replay. A request counts once,
/// however often its caller sends it.
struct ReplayReport {
  std::size_t asked = 0;
  std::size_t attempts = 0;  ///< Of callers.
  std::size_t in_time = 0;   ///< Answered by the objective.
  std::size_t late = 0;      ///< Answered later.
  std::size_t refused = 0;   ///< Told at once that they were not run.
  std::size_t failed = 0;
  std::size_t slow_refusals = 0;  ///< Refused after a quarter of the objective.
  std::size_t found_room = 0;     ///< Answered in time once they came again.
  std::vector<Duration> refusals;  ///< How long each refusal took.
  /// By the second in which the caller first asked.
  std::vector<std::size_t> asked_in;
  std::vector<std::size_t> in_time_in;
  double coverage = 0.0;     ///< Mean share of parts in answers.
  std::size_t arrivals = 0;  ///< Attempts that reached targets.
  std::size_t extra = 0;     ///< Of those, beyond the first of a part.
  /// Most extra arrivals of one group in 10 s, over what the fleet may send.
  double worst_budget_use = 0.0;

  double InTimeShare() const {
    return asked == 0
               ? 0.0
               : static_cast<double>(in_time) / static_cast<double>(asked);
  }

  /// Of what was first asked from one second on, up to another.
  double InTimeShare(std::size_t from, std::size_t until) const {
    std::size_t all = 0;
    std::size_t good = 0;
    for (std::size_t i = from; i < std::min(until, asked_in.size()); ++i) {
      all += asked_in[i];
      good += i < in_time_in.size() ? in_time_in[i] : 0;
    }
    return all == 0 ? 0.0
                    : static_cast<double>(good) / static_cast<double>(all);
  }

  /// What the answers are worth to their callers, from 0 to 1: each counts the
  /// square of its share of parts, a tenth of it if it is late, and half of
  /// that more if it came in time after a prompt refusal.
  double credit = 0.0;

  /// The time that `percent` of the refusals took at most.
  Duration RefusalPercentile(std::size_t percent) const {
    if (refusals.empty()) {
      return {};
    }
    std::vector<Duration> sorted = refusals;
    std::ranges::sort(sorted);
    return sorted[std::min(sorted.size() * percent / 100, sorted.size() - 1)];
  }
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_LIBSNIPEWORKS_MODEL_TRAFFIC_TEST_H_
