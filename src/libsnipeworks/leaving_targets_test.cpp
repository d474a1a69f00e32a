// Targets that say in their answers that they leave, or want to be left alone.

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "fake_targets_test.h"

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

FakeReply Refused(Duration retry_after) {
  FakeReply reply{milliseconds(2), AttemptStatus::kShed};
  reply.retry_after = retry_after;
  return reply;
}

// How many attempts `target` got after `from`.
std::size_t SentTo(const FakeTargets& fake,
                   const std::string& target,
                   std::size_t from) {
  return static_cast<std::size_t>(std::count_if(
      fake.commands.begin() + static_cast<std::ptrdiff_t>(from),
      fake.commands.end(),
      [&](const AttemptCommand& one) { return one.target == target; }));
}

TEST(Leaving, ATargetThatSaysSoInAnAnswerGetsNothingMore) {
  FakeTargets fake;
  fake.AddTargets(2, 2);
  WarmUp(fake);
  fake.leaving = [](const AttemptCommand& one) { return one.target == "t0-0"; };
  while (fake.told_to_leave.empty()) {
    fake.Search("q");
    fake.Run(milliseconds(25));
  }
  EXPECT_EQ(fake.told_to_leave, std::vector<std::string>{"t0-0"});
  const std::size_t before = fake.commands.size();
  // It goes on reporting itself as serving, as far as this host hears.
  for (int i = 0; i < 50; ++i) {
    const RequestId id = fake.Search("q");
    fake.Run(milliseconds(25));
    EXPECT_TRUE(fake.ResultOf(id)->coverage.complete());
  }
  EXPECT_EQ(SentTo(fake, "t0-0", before), 0U);
  EXPECT_EQ(fake.told_to_leave.size(), 1U);
}

TEST(Leaving, ALaterStartOfTheTargetIsUsedAgain) {
  FakeTargets fake;
  fake.AddTargets(1, 2);
  WarmUp(fake);
  fake.leaving = [](const AttemptCommand& one) {
    return one.target == "t0-0" && one.incarnation == 1;
  };
  while (fake.told_to_leave.empty()) {
    fake.Search("q");
    fake.Run(milliseconds(25));
  }
  fake.targets["t0-0"].incarnation = 2;
  fake.targets["t0-0"].sequence = 0;
  fake.AnnounceAll();
  const std::size_t before = fake.commands.size();
  for (int i = 0; i < 1000; ++i) {  // It warms up first.
    fake.Search("q");
    fake.Run(milliseconds(25));
  }
  EXPECT_GT(SentTo(fake, "t0-0", before), 0U);
}

TEST(Leaving, TheLastTargetOfAPartIsNotSentTo) {
  FakeTargets fake;
  fake.AddTargets(1, 1);
  WarmUp(fake);
  fake.leaving = [](const AttemptCommand&) { return true; };
  fake.Search("q");
  fake.Run(milliseconds(25));
  const std::size_t before = fake.commands.size();
  const RequestId id = fake.Search("q");
  fake.Run(milliseconds(1));
  ASSERT_TRUE(fake.Finished(id));
  EXPECT_EQ(fake.ResultOf(id).error().kind, ErrorKind::kNoTarget);
  EXPECT_EQ(fake.commands.size(), before);
}

TEST(LeftAlone, ATargetThatAskedForItGetsNothingUntilItsTimeIsOver) {
  FakeTargets fake;
  fake.AddTargets(2, 2);
  WarmUp(fake);
  bool refusing = true;
  Instant refused_at{};
  fake.behaviour = [&](const AttemptCommand& one) {
    if (one.target != "t0-0" || !refusing) {
      return FakeReply{milliseconds(10)};
    }
    refused_at = refused_at == Instant{} ? fake.now : refused_at;
    return Refused(seconds(3));
  };
  while (refused_at == Instant{}) {
    fake.Search("q");
    fake.Run(milliseconds(25));
  }
  const std::size_t before = fake.commands.size();
  refusing = false;
  // Also a hedge, a retry or a target of last resort would be one too many.
  for (auto& [name, target] : fake.targets) {
    if (name == "t0-1") {
      target.state = TargetState::kDraining;
    }
  }
  fake.AnnounceAll();
  while (fake.now < refused_at + milliseconds(2900)) {
    fake.Search("q");
    fake.Run(milliseconds(25));
  }
  EXPECT_EQ(SentTo(fake, "t0-0", before), 0U);
  fake.Run(milliseconds(300));
  fake.Search("q");
  fake.Run(milliseconds(25));
  EXPECT_GT(SentTo(fake, "t0-0", before), 0U);
}

TEST(LeftAlone, WhenAllTargetsAskForItCallersAreToldAtOnceWhenToComeBack) {
  FakeTargets fake;
  fake.AddTargets(1, 2);
  WarmUp(fake);
  fake.behaviour = [](const AttemptCommand& one) {
    return Refused(one.target == "t0-0" ? seconds(5) : seconds(4));
  };
  fake.Search("q");
  fake.Run(milliseconds(50));
  const RequestId id = fake.Search("q");
  fake.Run(milliseconds(1));
  ASSERT_TRUE(fake.Finished(id));
  EXPECT_LE(fake.LatencyOf(id), milliseconds(5));
  const Error& error = fake.ResultOf(id).error();
  EXPECT_EQ(RowOf(error.kind).execution, ExecutionStatus::kNotRun);
  EXPECT_GT(error.retry_after, milliseconds(3800));
  EXPECT_LE(error.retry_after, milliseconds(4000));
}

}  // namespace
}  // namespace snipeworks
