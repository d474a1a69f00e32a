#include "snipeworks/group_state.h"

#include <algorithm>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// Leases run out without an event, so the cached choice is looked at again
// this often.
constexpr Duration kSnapshotMaxAge = milliseconds(200);
constexpr Duration kUnlearntReference = milliseconds(10);
constexpr Duration kMinHedgeDelay = milliseconds(2);
constexpr Duration kMinProbeDelay = milliseconds(20);
constexpr int kProbeDelayFactor = 3;
constexpr Duration kNoHedgesAfterShed = milliseconds(1000);
constexpr int kMedian = 50;
constexpr int kSlowPercentile = 95;
constexpr double kLastPercentile = 99.0;

}  // namespace

std::shared_ptr<const PinnedSnapshot> GroupState::Snapshot(
    Instant now,
    const TargetView& view) {
  if (!valid_ || now - computed_at_ > kSnapshotMaxAge) {
    auto chosen = ChooseSnapshot(view.UsableInGroup(now, name_));
    const bool same = chosen && snapshot_ && *chosen == *snapshot_;
    if (!same) {
      snapshot_ = std::move(chosen);
    }
    valid_ = true;
    computed_at_ = now;
  }
  return snapshot_;
}

Duration GroupState::Reference() const {
  return latencies_.Percentile(kMedian).value_or(kUnlearntReference);
}

std::optional<Duration> GroupState::HedgeDelay(Instant now) const {
  if (policy.hedge_percentile == 0 || now < no_hedges_until_) {
    return std::nullopt;
  }
  // The emptier the budget, the slower an attempt must be to get a hedge: what
  // is left goes to the worst stragglers, not to the first ones.
  const auto base = static_cast<double>(policy.hedge_percentile);
  const double spent = 1.0 - extra_attempts.fullness();
  const double percentile = base + (kLastPercentile - base) * spent;
  auto learnt = latencies_.Percentile(static_cast<int>(percentile));
  if (!learnt) {
    return std::nullopt;
  }
  return std::max(kMinHedgeDelay, *learnt);
}

Duration GroupState::ProbeDelay() const {
  const Duration slow =
      latencies_.Percentile(kSlowPercentile).value_or(kUnlearntReference);
  return std::max(kMinProbeDelay, slow * kProbeDelayFactor);
}

void GroupState::OnShed(Instant now) {
  no_hedges_until_ = now + kNoHedgesAfterShed;
}

}  // namespace snipeworks
