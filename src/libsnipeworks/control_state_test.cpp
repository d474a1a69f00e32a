#include "snipeworks/control_state.h"

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

constexpr std::int64_t kNow = 1'800'000'000;

ControlCommand Change(const std::string& id,
                      std::uint64_t base,
                      const std::string& text = "{}") {
  ControlCommand command;
  command.kind = CommandKind::kSettings;
  command.change_id = id;
  command.base_version = base;
  command.text = text;
  command.time_s = kNow;
  return command;
}

ControlCommand Claim(const std::string& key,
                     const std::string& owner,
                     std::int64_t time_s = kNow,
                     std::uint64_t body = 1) {
  ControlCommand command;
  command.kind = CommandKind::kClaim;
  command.caller = "caller";
  command.key = key;
  command.owner = owner;
  command.body_hash = body;
  command.created_s = kNow;
  command.time_s = time_s;
  return command;
}

ControlCommand Outcome(const std::string& key,
                       const std::string& owner,
                       ClaimState state,
                       std::int64_t time_s = kNow) {
  ControlCommand command = Claim(key, owner, time_s);
  command.kind = CommandKind::kOutcome;
  command.outcome = state;
  command.body = "done";
  return command;
}

TEST(Settings, TheFirstOfTwoChangesToOneVersionWins) {
  ControlState state;
  EXPECT_EQ(state.Apply(Change("a", 0)).status, CommandStatus::kAccepted);
  const CommandResult second = state.Apply(Change("b", 0));
  EXPECT_EQ(second.status, CommandStatus::kConflict);
  EXPECT_EQ(second.version, 1U);
}

TEST(Settings, AResendGetsTheFirstResultEvenAfterARestart) {
  ControlState state;
  state.Apply(Change("a", 0));
  state.Apply(Change("b", 1));
  ControlState restarted;
  restarted.Load(state.Save());
  const CommandResult again = restarted.Apply(Change("a", 0));
  EXPECT_EQ(again.status, CommandStatus::kAccepted);
  EXPECT_EQ(again.version, 1U);
  EXPECT_EQ(restarted.settings().version, 2U);
}

TEST(Settings, InvalidSettingsAreRejected) {
  ControlState state;
  const CommandResult result =
      state.Apply(Change("a", 0, R"({"defaults":{"nope":1}})"));
  EXPECT_EQ(result.status, CommandStatus::kInvalid);
  EXPECT_EQ(state.settings().version, 0U);
}

TEST(Claims, AClaimIsGrantedToOneOwnerOnly) {
  ControlState state;
  EXPECT_EQ(state.Apply(Claim("k", "a")).status, CommandStatus::kGranted);
  EXPECT_EQ(state.Apply(Claim("k", "b")).status, CommandStatus::kInProgress);
  EXPECT_EQ(state.Apply(Claim("k", "a")).status, CommandStatus::kGranted);
  EXPECT_EQ(state.Apply(Claim("k", "c", kNow, 2)).status,
            CommandStatus::kKeyReused);
}

TEST(Claims, AStoredOutcomeIsReturned) {
  ControlState state;
  state.Apply(Claim("k", "a"));
  state.Apply(Outcome("k", "a", ClaimState::kDone));
  const CommandResult replay = state.Apply(Claim("k", "b"));
  EXPECT_EQ(replay.status, CommandStatus::kDone);
  EXPECT_EQ(replay.body, "done");
}

TEST(Claims, OnlyTheOwnersProofOfNotRunReleasesTheKey) {
  ControlState state;
  state.Apply(Claim("k", "a"));
  EXPECT_EQ(state.Apply(Outcome("k", "b", ClaimState::kNotRun)).status,
            CommandStatus::kUnknown);
  EXPECT_EQ(state.Apply(Claim("k", "b")).status, CommandStatus::kInProgress);
  state.Apply(Outcome("k", "a", ClaimState::kNotRun));
  EXPECT_EQ(state.Apply(Claim("k", "b")).status, CommandStatus::kGranted);
}

TEST(Claims, AnExpiredOpenClaimStaysMayHaveRun) {
  ControlState state;
  state.Apply(Claim("k", "a"));
  const std::int64_t later = kNow + kMaxClaimOpenS + 1;
  EXPECT_EQ(state.Apply(Claim("k", "b", later)).status,
            CommandStatus::kMayHaveRun);
  state.Apply(Outcome("k", "a", ClaimState::kNotRun, later));
  EXPECT_EQ(state.Apply(Claim("k", "b", later)).status,
            CommandStatus::kMayHaveRun);
}

TEST(Claims, ADeletedKeyIsRejectedAndNeverGrantedAgain) {
  ControlState state;
  state.Apply(Claim("k", "a"));
  state.Apply(Outcome("k", "a", ClaimState::kDone));
  const std::int64_t last = kNow + kClaimRetentionS - 1;
  EXPECT_EQ(state.Apply(Claim("k", "b", last)).status, CommandStatus::kDone);
  EXPECT_EQ(state.Apply(Claim("k", "b", last + 1)).status,
            CommandStatus::kKeyExpired);
  EXPECT_EQ(state.claims(), 0U);
  // A leader whose clock is behind does not set the time back.
  EXPECT_EQ(state.Apply(Claim("k", "b", kNow)).status,
            CommandStatus::kKeyExpired);
}

TEST(Claims, AKeyCreatedInTheFutureIsRejected) {
  ControlState state;
  EXPECT_EQ(state.Apply(Claim("k", "a", kNow - kMaxKeyClockSkewS - 1)).status,
            CommandStatus::kKeyExpired);
}

}  // namespace
}  // namespace snipeworks
