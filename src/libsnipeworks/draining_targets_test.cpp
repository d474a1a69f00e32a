// Targets that report in their answers that they drain, or that send a
// Retry-After.

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "fake_targets_test.h"

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

FakeReply Shed(Duration retry_after) {
  FakeReply reply{milliseconds(2), AttemptStatus::kShed};
  reply.retry_after = retry_after;
  return reply;
}

// Number of attempts at `target` from index `from` of fake.commands on.
std::size_t SentTo(const FakeTargets& fake,
                   const std::string& target,
                   std::size_t from) {
  return static_cast<std::size_t>(std::count_if(
      fake.commands.begin() + static_cast<std::ptrdiff_t>(from),
      fake.commands.end(),
      [&](const AttemptCommand& command) { return command.target == target; }));
}

TEST(DrainingTargets, TargetThatReportsItInAnAnswerGetsNoMoreAttempts) {
  FakeTargets fake;
  fake.AddTargets(2, 2);
  WarmUp(fake);
  fake.reports_draining = [](const AttemptCommand& command) {
    return command.target == "t0-0";
  };
  while (fake.reported_draining.empty()) {
    fake.Search("q");
    fake.Run(milliseconds(25));
  }
  EXPECT_EQ(fake.reported_draining, std::vector<std::string>{"t0-0"});
  const std::size_t before = fake.commands.size();
  // The announcements that this host receives still say that it is serving.
  for (int i = 0; i < 50; ++i) {
    const RequestId id = fake.Search("q");
    fake.Run(milliseconds(25));
    EXPECT_TRUE(fake.ResultOf(id)->coverage.complete());
  }
  EXPECT_EQ(SentTo(fake, "t0-0", before), 0U);
  EXPECT_EQ(fake.reported_draining.size(), 1U);
}

TEST(DrainingTargets, RestartedTargetIsUsedAgain) {
  FakeTargets fake;
  fake.AddTargets(1, 2);
  WarmUp(fake);
  fake.reports_draining = [](const AttemptCommand& command) {
    return command.target == "t0-0" && command.incarnation == 1;
  };
  while (fake.reported_draining.empty()) {
    fake.Search("q");
    fake.Run(milliseconds(25));
  }
  fake.targets["t0-0"].incarnation = 2;
  fake.targets["t0-0"].sequence = 0;
  fake.AnnounceAll();
  const std::size_t before = fake.commands.size();
  for (int i = 0; i < 1000; ++i) {  // Slow start comes first.
    fake.Search("q");
    fake.Run(milliseconds(25));
  }
  EXPECT_GT(SentTo(fake, "t0-0", before), 0U);
}

TEST(DrainingTargets, AppliesToTheLastTargetOfAPart) {
  FakeTargets fake;
  fake.AddTargets(1, 1);
  WarmUp(fake);
  fake.reports_draining = [](const AttemptCommand&) { return true; };
  fake.Search("q");
  fake.Run(milliseconds(25));
  const std::size_t before = fake.commands.size();
  const RequestId id = fake.Search("q");
  fake.Run(milliseconds(1));
  ASSERT_TRUE(fake.Finished(id));
  EXPECT_EQ(fake.ResultOf(id).error().kind, ErrorKind::kNoTarget);
  EXPECT_EQ(fake.commands.size(), before);
}

TEST(RetryAfter, TargetGetsNoAttemptsUntilItExpires) {
  FakeTargets fake;
  fake.AddTargets(2, 2);
  WarmUp(fake);
  bool refusing = true;
  Instant refused_at{};
  fake.behaviour = [&](const AttemptCommand& command) {
    if (command.target != "t0-0" || !refusing) {
      return FakeReply{milliseconds(10)};
    }
    refused_at = refused_at == Instant{} ? fake.now : refused_at;
    return Shed(seconds(3));
  };
  while (refused_at == Instant{}) {
    fake.Search("q");
    fake.Run(milliseconds(25));
  }
  const std::size_t before = fake.commands.size();
  refusing = false;
  // The other replica drains, so that a hedge, a retry or a fallback could only
  // go to t0-0.
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

TEST(RetryAfter, CallersAreRefusedAtOnceWithTheShortestDelayOfAllTargets) {
  FakeTargets fake;
  fake.AddTargets(1, 2);
  WarmUp(fake);
  fake.behaviour = [](const AttemptCommand& command) {
    return Shed(command.target == "t0-0" ? seconds(5) : seconds(4));
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
