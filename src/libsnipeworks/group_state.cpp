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
// A hedge adds to the load of targets that refuse so much of it.
constexpr double kShedShareWithoutHedges = 0.3;
constexpr double kShedWeight = 0.05;
// Share of an objective that passes before an attempt counts as slow.
constexpr int kEarliestHedgePercent = 35;
// The percentile after which hedges go out rises once what is left of the
// budget is less than so many times what hedges at that percentile need.
constexpr double kEaseFactor = 2.0;
constexpr int kMedian = 50;
constexpr int kSlowPercentile = 95;
constexpr double kLastPercentile = 99.0;
constexpr Duration kBusyGap = milliseconds(200);
constexpr Duration kBusyForRates = milliseconds(300);
constexpr double kMinDispatchRate = 1.0;
constexpr double kMinClassShare = 0.1;

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

// Targets known by a plan have no lease here, so only a change of the view can
// change the snapshot.
std::shared_ptr<const PinnedSnapshot> GroupState::Snapshot(
    Instant now,
    const TargetView& view,
    const std::shared_ptr<const SearchPlan>& plan) {
  used_at_ = now;
  if (!valid_ || plan_ != plan) {
    snapshot_ = SnapshotOf(*plan, now, view);
    plan_ = plan;
    policy = plan->policy;
    valid_ = true;
  }
  return snapshot_;
}

Duration GroupState::TypicalLatency() const {
  return latencies_.Percentile(kMedian).value_or(kUnlearntReference);
}

std::optional<Duration> GroupState::HedgeDelay(Instant now,
                                               double budget_left) const {
  if (policy.hedge_percentile == 0 || TargetsShed(now)) {
    return std::nullopt;
  }
  // The emptier the budget, the slower an attempt must be to get a hedge: what
  // is left goes to the worst stragglers, not to the first ones.
  const auto base = static_cast<double>(policy.hedge_percentile);
  const double needed =
      (100.0 - base) /
      std::max<double>(1.0, static_cast<double>(policy.extra_attempts_percent));
  const double at_ease = std::clamp(kEaseFactor * needed, 0.1, 1.0);
  const double spent = 1.0 - std::min(1.0, budget_left / at_ease);
  const double percentile = base + (kLastPercentile - base) * spent;
  auto learnt = latencies_.Percentile(static_cast<int>(percentile));
  const Duration objective = milliseconds(policy.objective_ms);
  if (objective == Duration{}) {
    return learnt ? std::optional(std::max(kMinHedgeDelay, *learnt))
                  : std::nullopt;
  }
  // A hedge that goes out early is wasted on attempts that would have come in
  // time; one that goes out late comes too late itself.
  const Duration earliest = objective * kEarliestHedgePercent / 100;
  const Duration latest = std::max(earliest, objective - 2 * TypicalLatency());
  return std::clamp(learnt.value_or(earliest), earliest, latest);
}

Duration GroupState::ProbeDelay() const {
  const Duration slow =
      latencies_.Percentile(kSlowPercentile).value_or(kUnlearntReference);
  return std::max(kMinProbeDelay, slow * kProbeDelayFactor);
}

// Without an objective hedges only shorten the tail, so any refusal stops them
// for a while. With one, an answer is lost without them, and a few targets that
// refuse must not stop them everywhere.
bool GroupState::TargetsShed(Instant now) const {
  if (policy.objective_ms == 0) {
    return shed_at_ != Instant{} && now - shed_at_ < kNoHedgesAfterShed;
  }
  return shed_share_ > kShedShareWithoutHedges;
}

void GroupState::OnOutcome(Instant now, AttemptStatus status) {
  const double shed = status == AttemptStatus::kShed ? 1.0 : 0.0;
  if (status == AttemptStatus::kShed) {
    shed_at_ = now;
  }
  shed_share_ += kShedWeight * (shed - shed_share_);
}

void GroupState::OnDispatch(Instant now, RequestClass request_class) {
  dispatched_.Add(now);
  dispatched_by_class_[static_cast<std::size_t>(request_class)].Add(now);
}

// A queue that has stood for a while drains as fast as parts were dispatched
// lately: other hosts use the same targets, so that tells more than what the
// replicas could take from this one. What more urgent requests took lately,
// those that are still to come will take too; a class that is left nothing is
// taken to get a small share.
Duration GroupState::ExpectedWait(Instant now,
                                  RequestClass request_class,
                                  const Backlog& backlog) {
  if (now - busy_at_ > kBusyGap) {
    busy_since_ = now;
  }
  busy_at_ = now;
  const auto ahead = static_cast<double>(backlog.ahead);
  if (now - busy_since_ < kBusyForRates) {
    const double rounds = (ahead + 1.0) / backlog.capacity;
    return Duration(static_cast<std::int64_t>(
        rounds * static_cast<double>(TypicalLatency().count())));
  }
  const double all = std::max(kMinDispatchRate, dispatched_.PerSecond(now));
  double urgent = 0.0;
  for (std::size_t i = 0; i < static_cast<std::size_t>(request_class); ++i) {
    urgent += dispatched_by_class_[i].PerSecond(now);
  }
  const double own = std::max(all * kMinClassShare, all - urgent);
  const double seconds =
      static_cast<double>(backlog.parts) *
      std::max(ahead / all, static_cast<double>(backlog.own_class) / own);
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

}  // namespace snipeworks
