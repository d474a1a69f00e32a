#ifndef SNIPEWORKS_EXTRA_BUDGET_H_
#define SNIPEWORKS_EXTRA_BUDGET_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

#include "snipeworks/clock.h"

namespace snipeworks {

/// How many attempts may be made beyond the first of each request.
struct ExtraAttemptLimits {
  double ratio = 0.05;  ///< Extra attempts for each primary one.
  double slack = 0.0;   ///< Extra attempts allowed at any load, in the window.
  Duration window = std::chrono::seconds(10);
  /// Added before the number of extra attempts is rounded down, from 0 to 1.
  /// With another one at each host, what all of them lose to rounding is nil.
  double rounding = 0.0;

  friend auto operator<=>(const ExtraAttemptLimits&,
                          const ExtraAttemptLimits&) = default;
};

/// Bounds the extra attempts of one host in any sliding window.
///
/// Load pattern: many hosts hedge and retry against the same targets at once.
/// Each host keeps to a ratio of the primary attempts that it sent itself and
/// to its share of the slack, so the sum over all hosts keeps to the whole
/// without any of them asking another.
class ExtraAttemptBudget {
 public:
  void OnPrimary(Instant now);

  /// Takes one extra attempt if that leaves a share of `reserve` of all that
  /// are allowed.
  bool TryAcquire(Instant now,
                  const ExtraAttemptLimits& limits,
                  double reserve = 0.0);

  /// An extra attempt that was taken has reached no target.
  void Refund(Instant now);

  /// From 0, nothing left, to 1, nothing spent in the window.
  double RemainingShare(Instant now, const ExtraAttemptLimits& limits);

 private:
  // One bucket more than the window has, so that a window that begins within a
  // bucket is covered whole.
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

#endif  // SNIPEWORKS_EXTRA_BUDGET_H_
