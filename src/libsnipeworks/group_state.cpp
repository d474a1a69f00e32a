#include "snipeworks/group_state.h"

#include <algorithm>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// Leases expire without an event, so the cached snapshot is recomputed at this
// interval.
constexpr Duration kSnapshotMaxAge = milliseconds(200);
constexpr Duration kDefaultLatency = milliseconds(10);
constexpr Duration kMinHedgeDelay = milliseconds(2);
constexpr Duration kMinProbeDelay = milliseconds(20);
constexpr int kProbeDelayFactor = 3;
constexpr Duration kHedgePauseAfterShed = milliseconds(1000);
// With a larger share of refusals, hedges would only add to the overload.
constexpr double kMaxShedShareForHedges = 0.3;
constexpr double kShedWeight = 0.05;
// Share of the latency objective before which no attempt counts as slow.
constexpr int kEarliestHedgePercent = 35;
// The hedge percentile rises once the budget left is less than this multiple of
// what hedges at that percentile need.
constexpr double kBudgetMarginFactor = 2.0;
constexpr int kMedianPercentile = 50;
constexpr int kSlowPercentile = 95;
constexpr double kMaxHedgePercentile = 99.0;
constexpr Duration kMaxBacklogGap = milliseconds(200);
constexpr Duration kMinBacklogAgeForRates = milliseconds(300);
constexpr double kMinDispatchRate = 1.0;
constexpr double kMinClassShare = 0.1;

}  // namespace

std::shared_ptr<const PinnedSnapshot> GroupState::Snapshot(
    Instant now,
    const TargetView& view) {
  if (!snapshot_valid_ || now - snapshot_computed_at_ > kSnapshotMaxAge) {
    auto chosen = ChooseSnapshot(view.UsableInGroup(now, name_));
    const bool same = chosen && snapshot_ && *chosen == *snapshot_;
    if (!same) {
      snapshot_ = std::move(chosen);
    }
    snapshot_valid_ = true;
    snapshot_computed_at_ = now;
  }
  return snapshot_;
}

// Targets of a plan have no lease here, so only a change of the view can change
// the snapshot.
std::shared_ptr<const PinnedSnapshot> GroupState::Snapshot(
    Instant now,
    const TargetView& view,
    const std::shared_ptr<const SearchPlan>& plan) {
  used_at_ = now;
  if (!snapshot_valid_ || plan_ != plan) {
    snapshot_ = SnapshotForPlan(*plan, now, view);
    plan_ = plan;
    policy = plan->policy;
    snapshot_valid_ = true;
  }
  return snapshot_;
}

Duration GroupState::TypicalLatency() const {
  return latencies_.Percentile(kMedianPercentile).value_or(kDefaultLatency);
}

Duration GroupState::SlowLatency() const {
  return latencies_.Percentile(kSlowPercentile).value_or(kDefaultLatency);
}

std::optional<Duration> GroupState::HedgeDelay(Instant now,
                                               double budget_left) const {
  if (policy.hedge_percentile == 0 || TargetsAreShedding(now)) {
    return std::nullopt;
  }
  // The less budget is left, the slower an attempt must be to get a hedge, so
  // that the rest goes to the worst stragglers instead of the first ones.
  const auto base = static_cast<double>(policy.hedge_percentile);
  const double needed =
      (100.0 - base) /
      std::max<double>(1.0, static_cast<double>(policy.extra_attempts_percent));
  const double comfortable_share =
      std::clamp(kBudgetMarginFactor * needed, 0.1, 1.0);
  const double spent = 1.0 - std::min(1.0, budget_left / comfortable_share);
  const double percentile = base + (kMaxHedgePercentile - base) * spent;
  auto measured = latencies_.Percentile(static_cast<int>(percentile));
  const Duration objective = milliseconds(policy.objective_ms);
  if (objective == Duration{}) {
    return measured ? std::optional(std::max(kMinHedgeDelay, *measured))
                    : std::nullopt;
  }
  // An early hedge is wasted on an attempt that would have met the objective; a
  // late hedge misses the objective itself.
  const Duration earliest = objective * kEarliestHedgePercent / 100;
  const Duration latest = std::max(earliest, objective - 2 * TypicalLatency());
  return std::clamp(measured.value_or(earliest), earliest, latest);
}

Duration GroupState::ProbeDelay() const {
  return std::max(kMinProbeDelay, SlowLatency() * kProbeDelayFactor);
}

// Without a latency objective, hedges only shorten the tail, so any refusal
// stops them for a while. With one, answers would be lost without hedges, and a
// few shedding targets must not stop them everywhere.
bool GroupState::TargetsAreShedding(Instant now) const {
  if (policy.objective_ms == 0) {
    return shed_at_ != Instant{} && now - shed_at_ < kHedgePauseAfterShed;
  }
  return shed_share_ > kMaxShedShareForHedges;
}

void GroupState::OnOutcome(Instant now, AttemptStatus status) {
  const double shed = status == AttemptStatus::kShed ? 1.0 : 0.0;
  if (status == AttemptStatus::kShed) {
    shed_at_ = now;
  }
  shed_share_ += kShedWeight * (shed - shed_share_);
}

void GroupState::OnDispatch(Instant now, const Priority& priority) {
  dispatched_.Add(now);
  dispatched_by_level_[priority.Level()].Add(now);
}

// An older queue drains at the recent dispatch rate: other hosts use the same
// targets, so the rate is a better estimate than the capacity of the replicas.
// More urgent priorities are expected to keep their recent rate; one to which
// they leave nothing is assumed to get a small share.
Duration GroupState::ExpectedWait(Instant now,
                                  const Priority& priority,
                                  const Backlog& backlog) {
  if (now - backlog_seen_at_ > kMaxBacklogGap) {
    backlog_since_ = now;
  }
  backlog_seen_at_ = now;
  const auto ahead = static_cast<double>(backlog.ahead);
  if (now - backlog_since_ < kMinBacklogAgeForRates) {
    const double rounds = (ahead + 1.0) / backlog.capacity;
    return Duration(static_cast<std::int64_t>(
        rounds * static_cast<double>(TypicalLatency().count())));
  }
  const double all = std::max(kMinDispatchRate, dispatched_.PerSecond(now));
  double more_urgent = 0.0;
  for (std::size_t i = 0; i < priority.Level(); ++i) {
    more_urgent += dispatched_by_level_[i].PerSecond(now);
  }
  const double own = std::max(all * kMinClassShare, all - more_urgent);
  const double seconds =
      static_cast<double>(backlog.parts) *
      std::max(ahead / all,
               static_cast<double>(backlog.ahead_at_priority) / own);
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

}  // namespace snipeworks
