#include "snipeworks/extra_attempt_budget.h"

#include <algorithm>

namespace snipeworks {

namespace {

std::int64_t BucketNumber(Instant now, Duration bucket) {
  return now.time_since_epoch().count() /
         std::max<std::int64_t>(1, bucket.count());
}

}  // namespace

ExtraAttemptBudget::Bucket& ExtraAttemptBudget::Current(Instant now,
                                                        Duration window) {
  if (window != window_) {
    buckets_ = {};
    window_ = window;
  }
  const std::int64_t number = BucketNumber(now, window_ / (kBuckets - 1));
  Bucket& bucket = buckets_[static_cast<std::size_t>(number) % kBuckets];
  if (bucket.number != number) {
    bucket = {number, 0, 0};
  }
  return bucket;
}

ExtraAttemptBudget::Sums ExtraAttemptBudget::Sum(Instant now, Duration window) {
  const std::int64_t newest = Current(now, window).number;
  const auto oldest = newest - static_cast<std::int64_t>(kBuckets) + 1;
  Sums sums;
  for (const Bucket& bucket : buckets_) {
    if (bucket.number >= oldest && bucket.number <= newest) {
      // Primary attempts in the oldest bucket may precede the window.
      sums.primary += bucket.number > oldest ? bucket.primary : 0;
      sums.extra += bucket.extra;
    }
  }
  return sums;
}

void ExtraAttemptBudget::OnPrimary(Instant now) {
  ++Current(now, window_).primary;
}

bool ExtraAttemptBudget::TryAcquire(Instant now,
                                    const ExtraAttemptLimits& limits,
                                    double reserve) {
  const Sums sums = Sum(now, limits.window);
  const double allowed = limits.ratio * sums.primary + limits.slack;
  if (sums.extra + 1.0 > allowed * (1.0 - reserve) + limits.rounding) {
    return false;
  }
  ++Current(now, limits.window).extra;
  return true;
}

void ExtraAttemptBudget::Refund(Instant now) {
  Bucket& bucket = Current(now, window_);
  if (bucket.extra > 0) {
    --bucket.extra;
  }
}

double ExtraAttemptBudget::RemainingShare(Instant now,
                                          const ExtraAttemptLimits& limits) {
  const Sums sums = Sum(now, limits.window);
  const double allowed = limits.ratio * sums.primary + limits.slack;
  if (allowed <= 0.0) {
    return 0.0;
  }
  return std::clamp(1.0 - sums.extra / allowed, 0.0, 1.0);
}

}  // namespace snipeworks
