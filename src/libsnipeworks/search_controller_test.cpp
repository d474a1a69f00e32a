#include "snipeworks/search_controller.h"

#include <iostream>
#include <random>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fake_targets_test.h"

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

FleetSettings SettingsOf(const std::string& text) {
  auto settings = FleetSettings::Parse(text);
  EXPECT_TRUE(settings) << settings.error().detail;
  return *settings;
}

TEST(Search, AnswersFromEveryPartOfOneSnapshot) {
  FakeTargets fake;
  fake.AddTargets(5, 2);
  const RequestId id = fake.Search("q");
  fake.Run(milliseconds(100));
  ASSERT_TRUE(fake.ResultOf(id));
  const SearchAnswer& answer = *fake.ResultOf(id);
  EXPECT_EQ(answer.snapshot, (SnapshotId{1, "d1"}));
  EXPECT_TRUE(answer.coverage.complete());
  EXPECT_EQ(answer.coverage.parts_answered, 5U);
  EXPECT_EQ(answer.hits.size(), 5U);
}

TEST(Search, PartWithoutReplicaCountsAsMissing) {
  FakeTargets fake;
  fake.AddTargets(4, 1);
  FakeTargets other;
  for (const auto& [name, target] : fake.targets) {
    if (name != "t2-0") {
      other.targets[name] = target;
    }
  }
  other.AnnounceAll();
  const RequestId id = other.Search("q");
  other.Run(milliseconds(100));
  ASSERT_TRUE(other.ResultOf(id));
  const Coverage& coverage = other.ResultOf(id)->coverage;
  EXPECT_EQ(coverage.parts_total, 4U);
  EXPECT_EQ(coverage.documents_total, 400U);
  EXPECT_EQ(coverage.documents_answered, 300U);
  ASSERT_EQ(coverage.missing.size(), 1U);
  EXPECT_EQ(coverage.missing[0],
            (MissingPart{2, 100, MissingReason::kNoTarget}));
}

TEST(Search, AnswerOfAnotherSnapshotIsNotMerged) {
  FakeTargets fake;
  fake.AddTargets(2, 1);
  fake.controller.Submit(fake.now, {1, "g", "q", "", RequestClass::kNormal});
  for (const SearchAction& action : fake.controller.TakeActions()) {
    const auto* start = std::get_if<StartAttempt>(&action);
    ASSERT_NE(start, nullptr);
    AttemptOutcome wrong;
    wrong.status = AttemptStatus::kAnswered;
    wrong.snapshot = {2, "d2"};
    wrong.part = start->command.part;
    wrong.documents = 100;
    fake.controller.OnOutcome(fake.now, start->command.id, wrong);
  }
  fake.Run(seconds(2));
  for (const auto& [id, result] : fake.results) {
    if (result) {
      EXPECT_LT(result->coverage.documents_answered, 200U);
    }
  }
}

TEST(Search, ManifestsWithTheSameNumberAreNotMixed) {
  FakeTargets fake;
  fake.AddTargets(3, 2, "left");
  fake.targets["t1-1"].snapshots[0].manifest.id.digest = "right";
  fake.targets["t2-1"].snapshots[0].manifest.id.digest = "right";
  fake.AnnounceAll();
  const RequestId id = fake.Search("q");
  fake.Run(milliseconds(100));
  ASSERT_TRUE(fake.ResultOf(id));
  EXPECT_EQ(fake.ResultOf(id)->snapshot.digest, "left");
  for (const AttemptCommand& command : fake.commands) {
    EXPECT_EQ(command.snapshot.digest, "left");
    EXPECT_TRUE(command.target != "t1-1" && command.target != "t2-1");
  }
}

TEST(Search, RestartsOnceOnANewSnapshotIfItsOwnIsGone) {
  FakeTargets fake;
  fake.AddTargets(3, 2);
  WarmUp(fake);
  fake.behaviour = [](const AttemptCommand& command) {
    FakeReply reply{milliseconds(10)};
    if (command.snapshot.number == 1 && command.part == 1) {
      reply.status = AttemptStatus::kWrongSnapshot;
    }
    return reply;
  };
  const RequestId id = fake.Search("q");
  for (auto& [name, target] : fake.targets) {
    target.snapshots[0].manifest = FakeTargets::ManifestOf(3, "d2", 2);
  }
  fake.AnnounceAll();
  fake.Run(milliseconds(200));
  ASSERT_TRUE(fake.ResultOf(id));
  EXPECT_EQ(fake.ResultOf(id)->snapshot, (SnapshotId{2, "d2"}));
  EXPECT_TRUE(fake.ResultOf(id)->coverage.complete());
  for (const Hit& hit : fake.ResultOf(id)->hits) {
    EXPECT_TRUE(hit.document.starts_with("d2/")) << hit.document;
  }
}

TEST(Search, IncompleteNewSnapshotIsNotPinned) {
  FakeTargets fake;
  fake.AddTargets(3, 1);
  fake.targets["t0-0"].snapshots.push_back(
      {FakeTargets::ManifestOf(3, "d2", 2), {0}});
  fake.AnnounceAll();
  const RequestId id = fake.Search("q");
  fake.Run(milliseconds(100));
  ASSERT_TRUE(fake.ResultOf(id));
  EXPECT_EQ(fake.ResultOf(id)->snapshot.number, 1U);
  EXPECT_TRUE(fake.ResultOf(id)->coverage.complete());
}

TEST(Deadlines, CoverageRuleWaitsAndReportsLateParts) {
  FakeTargets fake;
  fake.AddTargets(3, 1);
  WarmUp(fake);
  fake.behaviour = [](const AttemptCommand& command) {
    return FakeReply{command.part == 1 ? Duration(seconds(10))
                                       : Duration(milliseconds(10))};
  };
  const RequestId id =
      fake.Search("q", RequestClass::kNormal, milliseconds(300));
  fake.Run(milliseconds(400));
  ASSERT_TRUE(fake.ResultOf(id));
  EXPECT_LE(fake.LatencyOf(id), milliseconds(300));
  EXPECT_GE(fake.LatencyOf(id), milliseconds(290));
  ASSERT_EQ(fake.ResultOf(id)->coverage.missing.size(), 1U);
  EXPECT_EQ(fake.ResultOf(id)->coverage.missing[0].reason,
            MissingReason::kLate);
}

TEST(Deadlines, SoftDeadlineRuleAnswersWithPartialCoverage) {
  FakeTargets fake;
  fake.controller.ApplySettings(SettingsOf(
      R"({"defaults":{"answer":"soft-deadline","soft_deadline_ms":65}})"));
  fake.AddTargets(3, 1);
  WarmUp(fake);
  fake.behaviour = [](const AttemptCommand& command) {
    return FakeReply{command.part == 1 ? Duration(seconds(10))
                                       : Duration(milliseconds(10))};
  };
  const RequestId id = fake.Search("q");
  fake.Run(milliseconds(200));
  ASSERT_TRUE(fake.ResultOf(id));
  EXPECT_LE(fake.LatencyOf(id), milliseconds(66));
  EXPECT_EQ(fake.ResultOf(id)->coverage.parts_answered, 2U);
}

TEST(Deadlines, OneSlowPartDoesNotDelayUnknownRequests) {
  FakeTargets fake;
  fake.controller.ApplySettings(SettingsOf(
      R"({"defaults":{"answer":"soft-deadline","soft_deadline_ms":65}})"));
  fake.slots = 20;
  fake.AddTargets(8, 2);
  fake.behaviour = [](const AttemptCommand& command) {
    return FakeReply{milliseconds(command.part == 1 ? 400 : 10)};
  };
  WarmUp(fake);
  for (int i = 0; i < 50; ++i) {
    const RequestId id = fake.Search("new " + std::to_string(i));
    fake.Run(milliseconds(70));
    ASSERT_TRUE(fake.Finished(id)) << i;
    EXPECT_LE(fake.LatencyOf(id), milliseconds(66));
    EXPECT_EQ(fake.ResultOf(id)->coverage.parts_answered, 7U);
  }
}

TEST(Replicas, CoverageStaysCompleteWithOneReplicaOfEachPartDown) {
  FakeTargets fake;
  fake.AddTargets(5, 2);
  WarmUp(fake);
  fake.behaviour = [](const AttemptCommand& command) {
    FakeReply reply{milliseconds(10)};
    if (command.target.ends_with("-1")) {
      reply = {Duration(200), AttemptStatus::kNotSent};
    }
    return reply;
  };
  for (int i = 0; i < 50; ++i) {
    const RequestId id = fake.Search("q");
    fake.Run(milliseconds(50));
    ASSERT_TRUE(fake.ResultOf(id));
    EXPECT_TRUE(fake.ResultOf(id)->coverage.complete());
  }
}

TEST(Replicas, EjectionNeverRemovesTheLastReplica) {
  FakeTargets fake;
  fake.AddTargets(1, 2);
  WarmUp(fake);
  fake.behaviour = [](const AttemptCommand&) {
    return FakeReply{Duration(200), AttemptStatus::kNotSent};
  };
  fake.Search("q");
  fake.Run(milliseconds(50));
  fake.behaviour = [](const AttemptCommand&) {
    return FakeReply{milliseconds(10)};
  };
  const RequestId id = fake.Search("q");
  fake.Run(milliseconds(50));
  ASSERT_TRUE(fake.Finished(id));
  ASSERT_TRUE(fake.ResultOf(id));
  EXPECT_TRUE(fake.ResultOf(id)->coverage.complete());
}

TEST(Replicas, DrainingTargetGetsNoAttempts) {
  FakeTargets fake;
  fake.AddTargets(2, 2);
  WarmUp(fake);
  fake.targets["t0-0"].state = TargetState::kDraining;
  fake.Announce(fake.targets["t0-0"]);
  for (int i = 0; i < 30; ++i) {
    fake.Search("q");
    fake.Run(milliseconds(20));
  }
  for (const AttemptCommand& command : fake.commands) {
    EXPECT_NE(command.target, "t0-0");
  }
}

TEST(Replicas, TargetWithAnExpiredLeaseGetsNoAttempts) {
  FakeTargets fake;
  fake.AddTargets(1, 1);
  fake.announcing = false;
  fake.Run(milliseconds(3100));
  const RequestId id = fake.Search("q");
  ASSERT_TRUE(fake.Finished(id));
  EXPECT_EQ(fake.ResultOf(id).error().kind, ErrorKind::kNoTarget);
  EXPECT_TRUE(fake.commands.empty());
}

struct TailLatency {
  Duration p99{};
  double extra_percent = 0.0;
};

// Searches over 10 parts with the service time distribution of the stand-in.
TailLatency MeasureTailLatency(int hedge_percentile,
                               std::size_t stragglers_percent) {
  FakeTargets fake(7);
  fake.controller.ApplySettings(
      SettingsOf(R"({"defaults":{"canary":"off","hedge_percentile":)" +
                 std::to_string(hedge_percentile) + "}}"));
  fake.slots = 8;
  fake.AddTargets(10, 3);
  std::mt19937_64 engine(11);
  std::lognormal_distribution<> spread(0.0, 0.25);
  fake.behaviour = [&](const AttemptCommand&) {
    const bool slow = fake.random.Below(100) < stragglers_percent;
    const double ms = 8.0 * spread(engine) * (slow ? 10.0 : 1.0);
    return FakeReply{Duration(static_cast<std::int64_t>(ms * 1000))};
  };
  for (int i = 0; i < 4000; ++i) {
    fake.Search("q" + std::to_string(i));
    fake.Run(milliseconds(15));
  }
  fake.Run(seconds(1));
  std::vector<Duration> latencies;
  for (const auto& [id, result] : fake.results) {
    EXPECT_TRUE(result && result->coverage.complete());
    latencies.push_back(fake.LatencyOf(id));
  }
  std::ranges::sort(latencies);
  return {latencies[latencies.size() * 99 / 100],
          100.0 * fake.ExtraAttempts() /
              std::max(1, fake.sent[AttemptKind::kPrimary])};
}

TEST(Hedges, ReduceTailLatencyWithinTheBudget) {
  const int percentile = static_cast<int>(GroupPolicy().hedge_percentile);
  const TailLatency without_stragglers = MeasureTailLatency(percentile, 0);
  const TailLatency without_hedges = MeasureTailLatency(0, 1);
  const TailLatency with_hedges = MeasureTailLatency(percentile, 1);
  RecordProperty("calm_us", static_cast<int>(without_stragglers.p99.count()));
  RecordProperty("naive_us", static_cast<int>(without_hedges.p99.count()));
  RecordProperty("hedged_us", static_cast<int>(with_hedges.p99.count()));
  std::cout << "p99 calm " << without_stragglers.p99.count() << " us, naive "
            << without_hedges.p99.count() << " us, hedged "
            << with_hedges.p99.count() << " us, extra "
            << with_hedges.extra_percent << " %\n";
  EXPECT_EQ(without_hedges.extra_percent, 0.0);
  EXPECT_LE(with_hedges.extra_percent, 5.0);
  EXPECT_GT(without_hedges.p99, without_stragglers.p99 * 3 / 2);
  EXPECT_LE(with_hedges.p99, without_stragglers.p99 * 3 / 2);
}

TEST(Hedges, StopWhileTargetsShedLoad) {
  FakeTargets fake;
  fake.AddTargets(4, 3);
  WarmUp(fake);
  fake.behaviour = [](const AttemptCommand& command) {
    if (command.part == 0 && command.kind == AttemptKind::kPrimary) {
      return FakeReply{milliseconds(1), AttemptStatus::kShed,
                       milliseconds(100)};
    }
    return FakeReply{milliseconds(command.part == 1 ? 200 : 10)};
  };
  fake.Search("q");
  fake.Run(milliseconds(300));
  EXPECT_EQ(fake.sent[AttemptKind::kHedge], 0);
}

// A host whose routing may have been replaced.
class RepeatLease : public ::testing::Test {
 protected:
  RepeatLease() {
    fake.AddTargets(1, 3);
    WarmUp(fake);
    fake.behaviour = [this](const AttemptCommand& command) {
      return command.kind == AttemptKind::kPrimary ? first
                                                   : FakeReply{milliseconds(5)};
    };
  }

  int Hedges() { return fake.sent[AttemptKind::kHedge]; }
  int Retries() { return fake.sent[AttemptKind::kRetry]; }

  FakeTargets fake;
  FakeReply first{milliseconds(400)};
};

// Guards against hedges by a routing that may have been replaced, for requests
// that were sent before, too.
TEST_F(RepeatLease, DelaysHedgesUntilItIsRenewed) {
  const int before = Hedges();
  const RequestId slow = fake.Search("slow");
  fake.controller.RepeatUntil(fake.now);
  fake.Run(milliseconds(200));
  EXPECT_EQ(Hedges(), before);
  fake.controller.RepeatUntil(fake.now + seconds(3));
  fake.Run(milliseconds(60));
  EXPECT_EQ(Hedges(), before + 1);
  EXPECT_TRUE(fake.ResultOf(slow));
}

TEST_F(RepeatLease, AllowsReplacementsOfAttemptsThatWereNotRun) {
  fake.controller.RepeatUntil(fake.now);
  first = {milliseconds(5), AttemptStatus::kNotSent};
  const RequestId unsent = fake.Search("unsent");
  fake.Run(milliseconds(100));
  EXPECT_TRUE(fake.ResultOf(unsent));

  first = {milliseconds(5), AttemptStatus::kFailed};
  const RequestId failed = fake.Search("failed");
  fake.Run(milliseconds(100));
  EXPECT_FALSE(fake.ResultOf(failed));
  EXPECT_EQ(Retries(), 0);
}

// Guards against a hedge for a request in flight whose route has since become
// one whose requests run at most once.
TEST_F(RepeatLease, DoesNotRenewForARequestThatMayRunOnce) {
  const int before = Hedges();
  const RequestId order = fake.Search("order");
  fake.controller.ForbidRepeats(order);
  fake.Run(milliseconds(500));
  EXPECT_EQ(Hedges(), before);
  EXPECT_TRUE(fake.ResultOf(order));
}

// Extra attempts stay within their budget for any behavior of the targets.
RC_GTEST_PROP(ExtraAttempts, StayWithinTheBudgetAtAnyLoad, ()) {
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  const int gap_ms = *rc::gen::inRange(1, 30);
  const int failing = *rc::gen::inRange(0, 60);
  FakeTargets fake(seed);
  fake.AddTargets(4, 3);
  fake.behaviour = [&](const AttemptCommand&) {
    const auto draw = static_cast<int>(fake.random.Below(100));
    FakeReply reply{milliseconds(5 + fake.random.Below(40))};
    if (draw < failing / 3) {
      reply.status = AttemptStatus::kFailed;
    } else if (draw < failing * 2 / 3) {
      reply.status = AttemptStatus::kShed;
      reply.retry_after = milliseconds(50);
    } else if (draw < failing) {
      reply.status = AttemptStatus::kLost;
    }
    return reply;
  };
  for (int i = 0; i < 200; ++i) {
    fake.Search("q" + std::to_string(fake.random.Below(20)));
    fake.Run(milliseconds(gap_ms));
  }
  fake.Run(seconds(3));
  RC_ASSERT(fake.results.size() == 200U);
  const double max_extra = 0.05 * fake.sent[AttemptKind::kPrimary];
  RC_ASSERT(fake.ExtraAttempts() <= max_extra + 1.0);
}

// Late, lost and reordered answers must not mix snapshots or requests, and the
// reported coverage must not exceed what was answered.
RC_GTEST_PROP(Answers, AreConsistentInAnyOrderOfOutcomes, ()) {
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  FakeTargets fake(seed);
  fake.AddTargets(4, 2);
  std::map<std::pair<RequestId, PartNumber>, int> answered;
  fake.behaviour = [&](const AttemptCommand& command) {
    const std::size_t draw = fake.random.Below(100);
    FakeReply reply{milliseconds(1 + fake.random.Below(60))};
    if (draw < 5) {
      reply.silent = true;
    } else if (draw < 10) {
      reply.status = AttemptStatus::kNotSent;
    } else if (draw < 15) {
      reply.status = AttemptStatus::kWrongSnapshot;
    } else if (draw < 20) {
      reply.status = AttemptStatus::kFailed;
    } else {
      ++answered[{command.request, command.part}];
    }
    return reply;
  };
  for (int i = 0; i < 60; ++i) {
    if (fake.random.Below(20) == 0) {
      const std::uint64_t number = fake.random.Below(3) + 1;
      for (auto& [name, target] : fake.targets) {
        target.snapshots[0].manifest =
            FakeTargets::ManifestOf(4, "d" + std::to_string(number), number);
      }
      fake.AnnounceAll();
    }
    fake.Search("q" + std::to_string(i), RequestClass::kNormal,
                milliseconds(200));
    fake.Run(milliseconds(5));
  }
  fake.Run(seconds(2));
  RC_ASSERT(fake.results.size() == 60U);
  for (const auto& [id, result] : fake.results) {
    RC_ASSERT(fake.LatencyOf(id) <= milliseconds(201));
    if (!result) {
      continue;
    }
    const std::string prefix = result->snapshot.digest + "/";
    const std::string suffix = "/q" + std::to_string(id - 1);
    for (const Hit& hit : result->hits) {
      RC_ASSERT(hit.document.starts_with(prefix));
      RC_ASSERT(hit.document.ends_with(suffix));
    }
    RC_ASSERT(result->coverage.parts_answered == result->hits.size());
    RC_ASSERT(result->coverage.documents_answered ==
              100 * result->coverage.parts_answered);
    RC_ASSERT(result->coverage.parts_answered +
                  result->coverage.missing.size() ==
              4U);
  }
}

TEST(Connections, SilentConnectionIsDetectedAndItsAttemptReplaced) {
  FakeTargets fake;
  fake.AddTargets(4, 1);
  WarmUp(fake);
  bool first = true;
  fake.behaviour = [&](const AttemptCommand& command) {
    FakeReply reply{milliseconds(10)};
    if (command.part == 2 && std::exchange(first, false)) {
      reply.silent = true;
    }
    return reply;
  };
  const RequestId id = fake.Search("q");
  fake.Run(milliseconds(200));
  ASSERT_TRUE(fake.Finished(id));
  EXPECT_TRUE(fake.ResultOf(id)->coverage.complete());
  EXPECT_LE(fake.LatencyOf(id), milliseconds(60));
  EXPECT_EQ(fake.ExtraAttempts(), 0);
}

TEST(Overload, RefusalIsImmediateAndHasARetryAfter) {
  FakeTargets fake;
  fake.slots = 1;
  fake.AddTargets(2, 1);
  WarmUp(fake);
  std::vector<RequestId> ids;
  for (int i = 0; i < 100; ++i) {
    ids.push_back(fake.Search("q", RequestClass::kNormal, milliseconds(100)));
  }
  int refused = 0;
  for (RequestId id : ids) {
    if (fake.Finished(id)) {
      ++refused;
      const Error& error = fake.ResultOf(id).error();
      EXPECT_EQ(error.kind, ErrorKind::kOverloaded);
      EXPECT_EQ(RowOf(error.kind).execution, ExecutionStatus::kNotRun);
      EXPECT_GT(error.retry_after.value_or(Duration{}), Duration{});
    }
  }
  EXPECT_GE(refused, 85);
  fake.Run(seconds(1));
  int complete = 0;
  for (RequestId id : ids) {
    complete += fake.ResultOf(id) && fake.ResultOf(id)->coverage.complete();
  }
  EXPECT_GE(complete, 7);
}

TEST(Overload, UrgentSearchesGoBeforeRoutineOnes) {
  FakeTargets fake;
  fake.slots = 1;
  fake.AddTargets(1, 1);
  WarmUp(fake);
  std::vector<RequestId> routine;
  for (int i = 0; i < 5; ++i) {
    routine.push_back(fake.Search("q", RequestClass::kRoutine, seconds(1)));
  }
  const RequestId urgent = fake.Search("q", RequestClass::kUrgent, seconds(1));
  fake.Run(milliseconds(500));
  ASSERT_TRUE(fake.ResultOf(urgent));
  EXPECT_LE(fake.LatencyOf(urgent), milliseconds(25));
  EXPECT_GE(fake.LatencyOf(routine.back()), fake.LatencyOf(urgent));
}

}  // namespace
}  // namespace snipeworks
