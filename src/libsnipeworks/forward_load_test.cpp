#include <iostream>

#include <gtest/gtest.h>

#include "model_fleet_test.h"

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261204;

void Print(const char* arm, const ReplayReport& report) {
  std::cout << arm << ": in time " << report.InTimeShare() << " of "
            << report.asked << ", late " << report.late << ", refused "
            << report.refused << ", failed " << report.failed << ", coverage "
            << report.coverage << ", credit " << report.credit
            << ", slow refusals " << report.slow_refusals << ", refusals p50 "
            << ToMilliseconds(report.RefusalPercentile(50)) << " p99 "
            << ToMilliseconds(report.RefusalPercentile(99)) << " ms, extra "
            << report.extra << " of " << report.arrivals << ", budget use "
            << report.worst_budget_use << "\n";
}

ModelTarget Pausing() {
  ModelTarget like;
  like.announcement.slots = 3;
  like.announcement.connections = 31;
  like.pause = milliseconds(200);
  like.pause_every = milliseconds(4500);
  return like;
}

// Load pattern: ten shards whose targets each stand still for 200 ms every
// 4.5 s, so a third of the searches meet a pause.
TEST(ForwardLoad, SearchesPassByPausesOfTargets) {
  ModelFleet fleet(kSeed, 9, 3);
  fleet.AddTargets(10, Pausing());
  const auto plan = fleet.NewPlan(10, milliseconds(135));
  const ReplayReport with = fleet.Replay(plan, 150, seconds(12));
  Print("hedges", with);

  ModelFleet before(kSeed, 9, 3);
  before.AddTargets(10, Pausing());
  const auto none = before.NewPlan(10, milliseconds(135));
  none->policy.hedge_percentile = 0;
  const ReplayReport without = before.Replay(none, 150, seconds(12));
  Print("without", without);

  EXPECT_GE(with.InTimeShare(), 0.97);
  EXPECT_GT(with.coverage, without.coverage);
  EXPECT_LT(without.InTimeShare() * without.coverage * without.coverage,
            with.InTimeShare() * with.coverage * with.coverage - 0.02);
  EXPECT_LE(with.worst_budget_use, 1.0);
}

// Load pattern: sixty entry hosts with two requests a second each, over 36
// shards: each host learns little and may make few extra attempts.
TEST(ForwardLoad, ManyHostsWithFewRequestsEachStillHedge) {
  ModelTarget like = Pausing();
  like.announcement.slots = 4;
  like.announcement.connections = 62;
  ModelFleet fleet(kSeed, 60, 3);
  fleet.AddTargets(36, like);
  const auto plan = fleet.NewPlan(36, milliseconds(135));
  plan->policy.min_coverage_permille = 950;
  plan->policy.extra_attempts_slack = 158;
  const ReplayReport with = fleet.Replay(plan, 100, seconds(8));
  Print("objective", with);

  // Before: a hedge waits for what is learnt alone.
  ModelFleet before(kSeed, 60, 3);
  before.AddTargets(36, like);
  const auto old = std::make_shared<SearchPlan>(*plan);
  old->policy.objective_ms = 0;
  const ReplayReport without = before.Replay(old, 100, seconds(8));
  Print("learnt only", without);

  EXPECT_GE(with.InTimeShare(), 0.95);
  EXPECT_LE(with.worst_budget_use, 1.0);
  EXPECT_GE(with.coverage, without.coverage - 0.005);
}

// Load pattern: all replicas of one shard fall silent.
TEST(ForwardLoad, OneDarkShardCostsItsOwnShareOnly) {
  ModelFleet fleet(kSeed, 9, 3);
  fleet.AddTargets(10, Pausing());
  for (int zone = 0; zone < 3; ++zone) {
    fleet.target("g4-" + std::to_string(zone)).dark = true;
  }
  const auto plan = fleet.NewPlan(10, milliseconds(135));
  const ReplayReport report = fleet.Replay(plan, 150, seconds(10));
  Print("dark shard", report);
  EXPECT_GE(report.InTimeShare(), 0.90);
  EXPECT_GE(report.coverage, 0.88);
  EXPECT_LE(report.worst_budget_use, 1.0);
}

// Load pattern: one replica of every shard turns eight times slower.
TEST(ForwardLoad, SlowReplicasOfAllShardsAreLeft) {
  ModelFleet fleet(kSeed, 9, 3);
  fleet.AddTargets(10, Pausing());
  for (int group = 0; group < 10; ++group) {
    fleet.target("g" + std::to_string(group) + "-0").slow = 8.0;
  }
  const auto plan = fleet.NewPlan(10, milliseconds(135));
  const ReplayReport report = fleet.Replay(plan, 100, seconds(12));
  Print("slow replicas", report);
  EXPECT_GE(report.InTimeShare(), 0.90);
  EXPECT_LE(report.worst_budget_use, 1.0);
}

// Load pattern: sixty hosts with two requests a second each; of every third
// group of targets one fails half of its requests, of every third one is slow.
TEST(ForwardLoad, HostsThatTellEachOtherLeaveBadTargetsSooner) {
  const auto replay = [](bool shared) {
    ModelTarget like = Pausing();
    like.announcement.slots = 4;
    like.announcement.connections = 62;
    ModelFleet fleet(kSeed, 60, 3);
    fleet.AddTargets(36, like);
    for (int group = 0; group < 36; group += 3) {
      fleet.target("g" + std::to_string(group) + "-0").failing_percent = 50;
      fleet.target("g" + std::to_string(group + 1) + "-1").slow = 8.0;
    }
    if (shared) {
      fleet.ShareConditions(milliseconds(500));
    }
    const auto plan = fleet.NewPlan(36, milliseconds(135));
    plan->policy.min_coverage_permille = 950;
    plan->policy.extra_attempts_slack = 158;
    return fleet.Replay(plan, 100, seconds(8));
  };
  const ReplayReport alone = replay(false);
  Print("each alone", alone);
  const ReplayReport shared = replay(true);
  Print("shared", shared);
  EXPECT_GT(shared.InTimeShare(), alone.InTimeShare() + 0.02);
  EXPECT_GT(shared.coverage, alone.coverage);
  EXPECT_LT(shared.extra, alone.extra);
  EXPECT_LE(shared.worst_budget_use, 1.0);
}

// Load pattern: more than what the targets can work off. What is admitted is
// served in time, so the targets' work is not spent on late answers.
TEST(ForwardLoad, ABurstIsRefusedAtOnceAndTheRestServed) {
  // 3 targets x 3 slots / 20 ms.
  constexpr double kCapacity = 450.0;
  const auto replay = [](double load, bool admission) {
    ModelTarget like = Pausing();
    like.pause_every = Duration{};
    ModelFleet fleet(kSeed, 9, 3);
    fleet.AddTargets(10, like);
    const auto plan = fleet.NewPlan(10, milliseconds(135));
    plan->policy.admission = admission ? 1 : 0;
    return fleet.Replay(plan, load * kCapacity, seconds(6));
  };
  for (const double load : {1.3, 3.0, 6.0}) {
    SCOPED_TRACE(load);
    const ReplayReport report = replay(load, true);
    Print("burst", report);
    const double served = static_cast<double>(report.in_time) / 6.0 / kCapacity;
    EXPECT_GE(served, 0.85);
    EXPECT_LE(report.late, report.in_time / 20);
    EXPECT_LE(report.RefusalPercentile(99), milliseconds(135) / 4);
    EXPECT_LE(report.worst_budget_use, 1.0);
  }
  // Before: all are let in.
  const ReplayReport without = replay(3.0, false);
  Print("let in", without);
  EXPECT_LT(static_cast<double>(without.in_time) / 6.0 / kCapacity, 0.5);
}

}  // namespace
}  // namespace snipeworks
