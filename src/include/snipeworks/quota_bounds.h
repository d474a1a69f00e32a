#ifndef SNIPEWORKS_QUOTA_BOUNDS_H_
#define SNIPEWORKS_QUOTA_BOUNDS_H_

#include <algorithm>
#include <chrono>
#include <compare>

#include "snipeworks/clock.h"

namespace snipeworks {

/// The limit of a customer over all entry hosts together.
struct Quota {
  double requests_per_second = 0.0;
  double burst = 0.0;

  friend auto operator<=>(const Quota&, const Quota&) = default;
};

/// How closely all hosts together keep a quota: in any window at most
/// (rate x window + burst) x (1 + overshoot) + slack requests.
struct QuotaBounds {
  double window_s = 5.0;
  double overshoot = 0.1;
  double slack = 20.0;

  double Nominal(const Quota& quota) const {
    return quota.requests_per_second * window_s + quota.burst;
  }
  double Max(const Quota& quota) const {
    return Nominal(quota) * (1.0 + overshoot) + slack;
  }

  friend auto operator<=>(const QuotaBounds&, const QuotaBounds&) = default;
};

/// How long a host keeps its shares after it sent the report that the leader
/// answered.
inline constexpr Duration kQuotaLease = std::chrono::seconds(10);
/// How long a host may admit requests that the leader has not counted yet,
/// after it sent a report that was answered.
inline constexpr Duration kQuotaContact = std::chrono::milliseconds(1500);
/// Answers that take longer are not used: the leader counts on that.
inline constexpr Duration kQuotaMaxRoundTrip = std::chrono::milliseconds(300);

/// The tokens that a host with `share` may collect: one at least, so that a
/// small share admits requests at all.
inline double QuotaCapacity(const Quota& quota, double share) {
  return share > 0.0 ? std::max(1.0, share * quota.burst) : 0.0;
}

}  // namespace snipeworks

#endif  // SNIPEWORKS_QUOTA_BOUNDS_H_
