#include "snipeworks/action_controller.h"

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class FakeActionTargets : public ActionTargetPool {
 public:
  Result<ActionTarget> Acquire(Instant,
                               const ActionTargetQuery&,
                               const std::vector<std::string>& tried) override {
    if (tried.size() >= targets) {
      return Fail(ErrorKind::kNoTarget, "none left");
    }
    return ActionTarget{
        "t" + std::to_string(tried.size()), "127.0.0.1:1", {1, "d"}, 0};
  }
  void Release(Instant,
               const ActionTargetQuery&,
               const ActionTarget&,
               const AttemptOutcome&,
               Duration) override {}

  std::size_t targets = 3;
};

class Actions : public testing::Test {
 protected:
  void Submit() {
    controller.Submit(now, {1, "g", "c", "1800000000.abcdefgh", "order"});
    CollectSteps();
  }
  void Claim(CommandStatus status) {
    CommandResult result;
    result.status = status;
    controller.OnClaimResult(now, 1, result);
    CollectSteps();
  }
  void Outcome(AttemptStatus status) {
    AttemptOutcome outcome;
    outcome.status = status;
    controller.OnOutcome(now, sent.back().id, outcome);
    CollectSteps();
  }
  void CollectSteps() {
    for (ActionStep& step : controller.TakeSteps()) {
      if (auto* send = std::get_if<SendAction>(&step)) {
        sent.push_back(send->command);
      } else if (auto* record = std::get_if<RecordOutcome>(&step)) {
        recorded.push_back(record->command.outcome);
      } else if (auto* finish = std::get_if<FinishAction>(&step)) {
        finished.push_back(finish->result);
      }
    }
  }

  Instant now{seconds(1000)};
  FakeActionTargets targets;
  ActionController controller{"entry-1", 7, targets};
  std::vector<AttemptCommand> sent;
  std::vector<ClaimState> recorded;
  std::vector<Result<ActionAnswer>> finished;
};

TEST_F(Actions, NothingIsSentBeforeTheClaimIsGranted) {
  Submit();
  EXPECT_TRUE(sent.empty());
  Claim(CommandStatus::kGranted);
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_TRUE(sent[0].fresh_connection);
}

TEST_F(Actions, RetriesOnlyWithProofThatTheAttemptDidNotRun) {
  Submit();
  Claim(CommandStatus::kGranted);
  Outcome(AttemptStatus::kNotSent);
  Outcome(AttemptStatus::kShed);
  EXPECT_EQ(sent.size(), 3U);
  Outcome(AttemptStatus::kLost);
  EXPECT_EQ(sent.size(), 3U);
  ASSERT_EQ(finished.size(), 1U);
  EXPECT_EQ(finished[0].error().kind, ErrorKind::kOutcomeUnknown);
  EXPECT_EQ(recorded, std::vector{ClaimState::kMayHaveRun});
}

TEST_F(Actions, ProbeAnswerIsNotProof) {
  Submit();
  Claim(CommandStatus::kGranted);
  Outcome(AttemptStatus::kSilent);
  EXPECT_EQ(sent.size(), 1U);
  EXPECT_EQ(finished.at(0).error().kind, ErrorKind::kOutcomeUnknown);
}

TEST_F(Actions, KeyIsReleasedWhenEveryTargetRefuses) {
  targets.targets = 1;
  Submit();
  Claim(CommandStatus::kGranted);
  Outcome(AttemptStatus::kDraining);
  ASSERT_EQ(finished.size(), 1U);
  EXPECT_EQ(RowOf(finished[0].error().kind).execution,
            ExecutionStatus::kNotRun);
  EXPECT_EQ(recorded, std::vector{ClaimState::kNotRun});
}

TEST_F(Actions, ClaimGrantedAfterTheAnswerIsReleased) {
  Submit();
  now += seconds(6);
  controller.Tick(now);
  CollectSteps();
  ASSERT_EQ(finished.size(), 1U);
  EXPECT_EQ(finished[0].error().kind, ErrorKind::kClaimUnavailable);
  EXPECT_TRUE(recorded.empty());
  Claim(CommandStatus::kGranted);
  EXPECT_TRUE(sent.empty());
  EXPECT_EQ(recorded, std::vector{ClaimState::kNotRun});
  EXPECT_EQ(finished.size(), 1U);
}

TEST_F(Actions, SuspendedHostDoesNotSendAfterTheDeadline) {
  Submit();
  now += seconds(6);
  Claim(CommandStatus::kGranted);
  EXPECT_TRUE(sent.empty());
  EXPECT_EQ(RowOf(finished.at(0).error().kind).execution,
            ExecutionStatus::kNotRun);
}

TEST_F(Actions, LateAnswerIsRecorded) {
  Submit();
  Claim(CommandStatus::kGranted);
  now += seconds(6);
  controller.Tick(now);
  CollectSteps();
  EXPECT_EQ(finished.at(0).error().kind, ErrorKind::kOutcomeUnknown);
  Outcome(AttemptStatus::kAnswered);
  EXPECT_EQ(recorded, std::vector{ClaimState::kDone});
  EXPECT_EQ(finished.size(), 1U);
}

TEST_F(Actions, KeyHeldByAnotherRequestIsRefused) {
  Submit();
  Claim(CommandStatus::kInProgress);
  EXPECT_EQ(finished.at(0).error().kind, ErrorKind::kInProgress);
  EXPECT_TRUE(sent.empty());
  EXPECT_TRUE(recorded.empty());
}

TEST(IdempotencyKeys, ContainTheirCreationTime) {
  EXPECT_EQ(KeyCreationSeconds("1800000000.abcdefgh"), 1800000000);
  EXPECT_FALSE(KeyCreationSeconds("abcdefgh"));
  EXPECT_FALSE(KeyCreationSeconds("1800000000.short"));
  EXPECT_FALSE(KeyCreationSeconds("-5.abcdefgh"));
}

}  // namespace
}  // namespace snipeworks
