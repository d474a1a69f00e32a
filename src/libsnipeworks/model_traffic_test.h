#ifndef SNIPEWORKS_LIBSNIPEWORKS_MODEL_TRAFFIC_TEST_H_
#define SNIPEWORKS_LIBSNIPEWORKS_MODEL_TRAFFIC_TEST_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iostream>
#include <memory>
#include <optional>
#include <vector>

#include "snipeworks/search.h"

namespace snipeworks {

/// One kind of requests that callers send.
struct ModelTraffic {
  std::shared_ptr<const SearchPlan> plan;
  double per_second = 0.0;
  RequestClass request_class = RequestClass::kNormal;
  std::uint32_t customer_rank = 0;
  Duration deadline = std::chrono::milliseconds(1500);
  /// Maximum number of attempts that a caller makes until one is answered.
  std::size_t tries = 1;
  /// True if refused callers wait for the advised retry time; others retry
  /// within milliseconds.
  bool honors_retry_after = true;
  /// Replaces the advised retry time for callers that honor it.
  std::optional<Duration> fixed_retry_after;
  /// The part of the replay in which requests arrive.
  Duration from{};
  Duration until = std::chrono::hours(1);
  /// Share of requests that go to the first host. The others are spread
  /// unevenly: some hosts get twice as many as others.
  double first_host_share = 0.0;
};

/// Results of one kind of requests in a replay. A request counts once, however
/// often its caller retries it.
struct ReplayReport {
  std::size_t requests = 0;
  std::size_t attempts = 0;  ///< Made by callers.
  std::size_t in_time = 0;   ///< Answered by the objective.
  std::size_t late = 0;      ///< Answered later.
  std::size_t refused = 0;   ///< Refused without being run.
  std::size_t failed = 0;
  std::size_t slow_refusals = 0;  ///< Refused after a quarter of the objective.
  /// Answered within the objective of a retry.
  std::size_t answered_on_retry = 0;
  std::vector<Duration> refusals;  ///< How long each refusal took.
  /// By the second in which the caller made its first attempt.
  std::vector<std::size_t> requests_by_second;
  std::vector<std::size_t> in_time_by_second;
  double coverage = 0.0;      ///< Mean share of parts in answers.
  std::size_t arrivals = 0;   ///< Attempts that reached targets.
  std::size_t extra = 0;      ///< Of those, beyond the first of a part.
  std::size_t crossings = 0;  ///< Of those, sent from another zone.
  /// Maximum over all groups of the extra arrivals in 10 s, relative to the
  /// budget of the fleet.
  double worst_budget_use = 0.0;

  double InTimeShare() const {
    return requests == 0
               ? 0.0
               : static_cast<double>(in_time) / static_cast<double>(requests);
  }

  /// The share among requests first sent in the seconds [from, until).
  double InTimeShare(std::size_t from, std::size_t until) const {
    std::size_t all = 0;
    std::size_t good = 0;
    for (std::size_t i = from; i < std::min(until, requests_by_second.size());
         ++i) {
      all += requests_by_second[i];
      good += i < in_time_by_second.size() ? in_time_by_second[i] : 0;
    }
    return all == 0 ? 0.0
                    : static_cast<double>(good) / static_cast<double>(all);
  }

  /// Mean value of the requests to their callers, from 0 to 1. An answer counts
  /// the square of its share of parts, times 0.1 if it is late, or times 0.55
  /// if it is late only because of prompt refusals before.
  double utility = 0.0;

  /// A percentile of the time until a refusal.
  Duration RefusalPercentile(std::size_t percent) const {
    if (refusals.empty()) {
      return {};
    }
    std::vector<Duration> sorted = refusals;
    std::ranges::sort(sorted);
    return sorted[std::min(sorted.size() * percent / 100, sorted.size() - 1)];
  }
};

/// Writes one line on `report` to standard output.
inline void Print(const char* arm, const ReplayReport& report) {
  std::cout << arm << ": in time " << report.InTimeShare() << " of "
            << report.requests << ", late " << report.late << ", refused "
            << report.refused << ", failed " << report.failed << ", coverage "
            << report.coverage << ", utility " << report.utility
            << ", slow refusals " << report.slow_refusals << ", refusals p50 "
            << ToMilliseconds(report.RefusalPercentile(50)) << " p99 "
            << ToMilliseconds(report.RefusalPercentile(99)) << " ms, extra "
            << report.extra << " and crossings " << report.crossings << " of "
            << report.arrivals << ", budget use " << report.worst_budget_use
            << "\n";
}

}  // namespace snipeworks

#endif  // SNIPEWORKS_LIBSNIPEWORKS_MODEL_TRAFFIC_TEST_H_
