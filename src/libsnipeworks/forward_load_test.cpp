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
    // Hedges would only add to what the targets cannot do.
    EXPECT_LE(report.extra * 50, report.arrivals);
  }
  // Before: all are let in.
  const ReplayReport without = replay(3.0, false);
  Print("let in", without);
  EXPECT_LT(static_cast<double>(without.in_time) / 6.0 / kCapacity, 0.5);
}

// 3 targets x 3 slots / 20 ms, for requests a second to all shards.
constexpr double kModelCapacity = 450.0;
constexpr Duration kModelObjective = milliseconds(135);

ModelTarget Steady() {
  ModelTarget like = Pausing();
  like.pause_every = Duration{};
  return like;
}

// Load pattern: a third of the callers sends a refused request again within
// milliseconds, up to four times, while all together ask for more than the
// targets can do.
TEST(ForwardLoad, CallersThatRepeatAtOnceDoNotCrowdOutTheOthers) {
  const auto replay = [](bool admission) {
    ModelFleet fleet(kSeed, 9, 3);
    fleet.AddTargets(10, Steady());
    const auto plan = fleet.NewPlan(10, kModelObjective);
    plan->policy.admission = admission ? 1 : 0;
    ModelTraffic patient;
    patient.plan = plan;
    patient.per_second = 0.9 * kModelCapacity;
    patient.tries = 2;
    ModelTraffic pushing = patient;
    pushing.per_second = 0.45 * kModelCapacity;
    pushing.tries = 5;
    pushing.patient = false;
    return fleet.Replay({patient, pushing}, seconds(8));
  };
  const auto reports = replay(true);
  Print("patient", reports[0]);
  Print("pushing", reports[1]);
  const auto before = replay(false);
  Print("patient, all let in", before[0]);
  // Those that came again are late by their first attempt.
  const auto served = static_cast<double>(reports[0].in_time + reports[0].late +
                                          reports[1].in_time + reports[1].late);
  EXPECT_GE(served / 8.0 / kModelCapacity, 0.85);
  EXPECT_GE(reports[0].credit, 0.5);
  EXPECT_GE(reports[0].credit, before[0].credit + 0.3);
  EXPECT_LE(reports[0].RefusalPercentile(99), kModelObjective / 4);
  EXPECT_LE(reports[0].worst_budget_use, 1.0);
}

// Load pattern: for half a second four times the capacity is asked for, all of
// it by callers that come back as they are told.
TEST(ForwardLoad, ABurstThatIsTurnedAwayFindsRoomWhenItIsBack) {
  const auto replay = [](std::optional<Duration> told_always) {
    ModelFleet fleet(kSeed, 9, 3);
    fleet.AddTargets(10, Steady());
    ModelTraffic usual;
    usual.plan = fleet.NewPlan(10, kModelObjective);
    usual.per_second = 0.5 * kModelCapacity;
    usual.deadline = seconds(3);
    usual.tries = 2;
    usual.told_always = told_always;
    ModelTraffic burst = usual;
    burst.per_second = 3.5 * kModelCapacity;
    burst.from = seconds(2);
    burst.until = milliseconds(2500);
    return fleet.Replay({usual, burst}, seconds(6));
  };
  const auto reports = replay(std::nullopt);
  Print("usual", reports[0]);
  Print("burst", reports[1]);
  const auto before = replay(seconds(1));
  Print("usual, all told the same", before[0]);
  Print("burst, all told the same", before[1]);
  EXPECT_GE(reports[1].credit, before[1].credit + 0.1);
  EXPECT_GE(reports[0].credit, before[0].credit);
  EXPECT_GT(reports[1].found_room, before[1].found_room);
  EXPECT_LE(reports[1].RefusalPercentile(99), kModelObjective / 4);
  EXPECT_LE(reports[0].worst_budget_use, 1.0);
}

// Load pattern: routine requests come on top of urgent ones, more than the
// targets can do together.
TEST(ForwardLoad, RoutineRequestsGiveWayToUrgentOnes) {
  const auto replay = [](RequestClass second) {
    ModelFleet fleet(kSeed, 9, 3);
    fleet.AddTargets(10, Steady());
    ModelTraffic urgent;
    urgent.plan = fleet.NewPlan(10, kModelObjective);
    urgent.per_second = 0.7 * kModelCapacity;
    urgent.request_class = RequestClass::kUrgent;
    ModelTraffic routine = urgent;
    routine.request_class = second;
    return fleet.Replay({urgent, routine}, seconds(8));
  };
  const auto reports = replay(RequestClass::kRoutine);
  Print("urgent", reports[0]);
  Print("routine", reports[1]);
  const auto before = replay(RequestClass::kUrgent);
  Print("urgent, no ranks", before[0]);
  EXPECT_GE(reports[0].credit, 0.85);
  EXPECT_GE(reports[0].credit, before[0].credit + 0.2);
  EXPECT_GE(reports[0].InTimeShare(), reports[1].InTimeShare());
  const auto served =
      static_cast<double>(reports[0].in_time + reports[1].in_time);
  EXPECT_GE(served / 8.0 / kModelCapacity, 0.8);
  EXPECT_LE(reports[1].RefusalPercentile(90), kModelObjective / 4);
  EXPECT_LE(reports[0].worst_budget_use, 1.0);
}

// Load pattern: one of nine entry hosts gets half of all requests.
TEST(ForwardLoad, UnevenEntryHostsKeepToTheCommonBudget) {
  const auto replay = [](double share, std::int64_t hedges_after) {
    ModelFleet fleet(kSeed, 9, 3);
    fleet.AddTargets(10, Pausing());
    ModelTraffic traffic;
    traffic.plan = fleet.NewPlan(10, kModelObjective);
    auto plan = std::make_shared<SearchPlan>(*traffic.plan);
    plan->policy.hedge_percentile = hedges_after;
    traffic.plan = plan;
    traffic.per_second = 0.4 * kModelCapacity;
    traffic.first_host_share = share;
    return fleet.Replay({traffic}, seconds(12)).front();
  };
  const ReplayReport uneven = replay(0.5, 95);
  Print("uneven", uneven);
  const ReplayReport even = replay(0.0, 95);
  Print("even", even);
  const ReplayReport before = replay(0.5, 0);
  Print("uneven, no hedges", before);
  EXPECT_GE(uneven.credit, even.credit - 0.03);
  EXPECT_GE(uneven.credit, before.credit + 0.02);
  EXPECT_LE(uneven.worst_budget_use, 1.0);
}

// Load pattern: all targets are dark for three seconds, then all are back,
// while callers come again as they were told.
TEST(ForwardLoad, AllIsServedAgainSoonAfterATotalLoss) {
  const auto replay = [](bool admission) {
    ModelFleet fleet(kSeed, 9, 3);
    fleet.AddTargets(10, Steady());
    const auto turn = [](bool dark) {
      return [dark](ModelFleet& all) {
        all.ForEachTarget([dark](ModelTarget& one) { one.dark = dark; });
      };
    };
    fleet.Later(seconds(3), turn(true));
    fleet.Later(seconds(6), turn(false));
    ModelTraffic traffic;
    traffic.plan = fleet.NewPlan(10, kModelObjective);
    auto plan = std::make_shared<SearchPlan>(*traffic.plan);
    plan->policy.admission = admission ? 1 : 0;
    traffic.plan = plan;
    traffic.per_second = 0.6 * kModelCapacity;
    traffic.tries = 3;
    return fleet.Replay({traffic}, seconds(12)).front();
  };
  const ReplayReport report = replay(true);
  Print("total loss", report);
  const ReplayReport before = replay(false);
  Print("total loss, all let in", before);
  std::cout << "in time after the return: " << report.InTimeShare(6, 7) << ", "
            << report.InTimeShare(7, 8) << ", " << report.InTimeShare(8, 12)
            << "; all let in " << before.InTimeShare(6, 7) << ", "
            << before.InTimeShare(7, 8) << ", " << before.InTimeShare(8, 12)
            << "\n";
  EXPECT_GE(report.InTimeShare(0, 3), 0.95);
  EXPECT_GE(report.InTimeShare(7, 8), 0.9);
  EXPECT_GE(report.InTimeShare(8, 12), 0.95);
  EXPECT_LE(report.worst_budget_use, 1.0);
}

// Load pattern: of the three replicas of each shard one refuses everything,
// and of every other shard one more fails half of its requests at once, which
// looks fast.
TEST(ForwardLoad, TargetsThatShedOrFailGetLittleWork) {
  const auto replay = [](Selection rule) {
    ModelFleet fleet(kSeed, 9, 3);
    fleet.AddTargets(10, Pausing());
    fleet.ShareConditions(milliseconds(500));
    for (int group = 0; group < 10; ++group) {
      const std::string name = "g" + std::to_string(group);
      fleet.target(name + "-0").queue_limit = 0;
      if (group % 2 == 0) {
        fleet.target(name + "-1").failing_percent = 50;
      }
    }
    ModelTraffic traffic;
    const auto plan = fleet.NewPlan(10, kModelObjective);
    plan->policy.selection = static_cast<std::int64_t>(rule);
    traffic.plan = plan;
    traffic.per_second = 0.15 * kModelCapacity;
    return fleet.Replay({traffic}, seconds(12)).front();
  };
  const ReplayReport report = replay(Selection::kLoad);
  Print("shed and fail", report);
  const ReplayReport before = replay(Selection::kRandom);
  Print("at random", before);
  EXPECT_GE(report.credit, 0.85);
  EXPECT_GE(report.credit, before.credit + 0.3);
  EXPECT_LT(report.extra, before.extra);
  EXPECT_LE(report.worst_budget_use, 1.0);
}

// Load pattern: four of ten targets refuse 45% of what they get, whatever
// their load, so that two of a search's ten parts are often refused at once.
TEST(ForwardLoad, PartsThatAreRefusedAtOnceFindAnotherReplica) {
  constexpr std::size_t kShedding = 45;
  const auto replay = [](Selection rule) {
    ModelFleet fleet(kSeed, 9, 3);
    fleet.AddTargets(10, Pausing());
    fleet.ShareConditions(milliseconds(500));
    for (int group = 0; group < 10; ++group) {
      const std::string name = "g" + std::to_string(group);
      fleet.target(name + "-" + std::to_string(group % 3)).shedding_percent =
          kShedding;
      if (group % 3 == 0) {
        fleet.target(name + "-2").shedding_percent = kShedding;
      }
    }
    const auto plan = fleet.NewPlan(10, kModelObjective);
    plan->policy.selection = static_cast<std::int64_t>(rule);
    ModelTraffic traffic;
    traffic.plan = plan;
    traffic.per_second = 0.4 * kModelCapacity;
    return fleet.Replay({traffic}, seconds(12)).front();
  };
  const ReplayReport report = replay(Selection::kLoad);
  Print("refuse at once", report);
  const ReplayReport before = replay(Selection::kRandom);
  Print("refuse at once, at random", before);
  EXPECT_GE(report.credit, 0.9);
  EXPECT_GE(report.credit, before.credit + 0.1);
  EXPECT_LE(report.worst_budget_use, 1.0);
}

// Load pattern: a third of the targets hangs while the others are left with
// nine tenths of what they can do.
TEST(ForwardLoad, ALossNearCapacityIsBorneByTheReplicasThatAreLeft) {
  const auto replay = [](std::uint64_t seed, Selection rule) {
    ModelFleet fleet(seed, 9, 3);
    fleet.AddTargets(10, Steady());
    fleet.ShareConditions(milliseconds(500));
    fleet.Later(seconds(3), [](ModelFleet& all) {
      for (int group = 0; group < 10; ++group) {
        all.target("g" + std::to_string(group) + "-" +
                   std::to_string(group % 3))
            .dark = true;
      }
    });
    const auto plan = fleet.NewPlan(10, kModelObjective);
    plan->policy.selection = static_cast<std::int64_t>(rule);
    ModelTraffic traffic;
    traffic.plan = plan;
    traffic.per_second = 0.6 * kModelCapacity;
    traffic.tries = 2;
    return fleet.Replay({traffic}, seconds(10)).front();
  };
  // At nine tenths of the capacity chance decides much: three seeds.
  double credit = 0.0;
  double credit_before = 0.0;
  for (const std::uint64_t seed : {kSeed, kSeed + 1, kSeed + 2}) {
    SCOPED_TRACE(seed);
    const ReplayReport report = replay(seed, Selection::kLoad);
    Print("loss", report);
    const ReplayReport before = replay(seed, Selection::kRandom);
    Print("loss, at random", before);
    EXPECT_GE(report.InTimeShare(4, 10), 0.8);
    EXPECT_LT(report.extra, before.extra);
    EXPECT_LE(report.worst_budget_use, 1.0);
    credit += report.credit / 3;
    credit_before += before.credit / 3;
  }
  EXPECT_GE(credit, credit_before + 0.02);
}

}  // namespace
}  // namespace snipeworks
