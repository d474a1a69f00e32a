#ifndef SNIPEWORKS_EXTRA_ATTEMPT_BUDGET_H_
#define SNIPEWORKS_EXTRA_ATTEMPT_BUDGET_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

#include "snipeworks/clock.h"

namespace snipeworks {

/// Limits of the extra attempts: hedges and retries.
struct ExtraAttemptLimits {
  double ratio = 0.05;  ///< Extra attempts per primary attempt.
  double slack = 0.0;   ///< Extra attempts per window at any load.
  Duration window = std::chrono::seconds(10);
  /// Added before the number of extra attempts is rounded down, from 0 to 1.
  /// Random values at the hosts make the sum over all hosts free of rounding
  /// loss on average.
  double rounding = 0.0;

  friend auto operator<=>(const ExtraAttemptLimits&,
                          const ExtraAttemptLimits&) = default;
};

/// Limits the extra attempts of one host in any sliding window.
///
/// Load pattern: many hosts hedge and retry against the same targets at once.
/// Each host is limited to a ratio of its own primary attempts plus its share
/// of the slack, so the sum over all hosts stays within the fleet's limits
/// without coordination.
class ExtraAttemptBudget {
 public:
  void OnPrimary(Instant now);

  /// Takes one extra attempt if a share of `reserve` of those allowed remains
  /// afterwards.
  bool TryAcquire(Instant now,
                  const ExtraAttemptLimits& limits,
                  double reserve = 0.0);

  /// Returns an extra attempt that was taken and has not reached a target.
  void Refund(Instant now);

  /// The unspent share of the budget, from 0 to 1.
  double RemainingShare(Instant now, const ExtraAttemptLimits& limits);

 private:
  // One bucket more than the window spans, so that a window that begins within
  // a bucket is covered in full.
  static constexpr std::size_t kBuckets = 21;

  struct Bucket {
    std::int64_t number = 0;
    std::uint32_t primary = 0;
    std::uint32_t extra = 0;
  };

  struct Sums {
    double primary = 0;
    double extra = 0;
  };

  Bucket& Current(Instant now, Duration window);
  Sums Sum(Instant now, Duration window);

  std::array<Bucket, kBuckets> buckets_{};
  Duration window_ = std::chrono::seconds(10);
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_EXTRA_ATTEMPT_BUDGET_H_
