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

class RecordedDepartures : public ::testing::Test {
 protected:
  CommandResult Record(const Departure& departure, std::int64_t time_s) {
    ControlCommand command = ToCommand(departure, time_s);
    command.time_s = time_s;
    return state.Apply(command);
  }

  ControlState state;
  const Departure departure{"t", 7};
};

TEST_F(RecordedDepartures, AreKeptOverARestart) {
  EXPECT_FALSE(state.HasDeparture(departure, kNow));
  EXPECT_TRUE(IsRecorded(Record(departure, kNow)));
  EXPECT_TRUE(state.HasDeparture(departure, kNow));
  EXPECT_EQ(state.TakeDepartures(kNow), std::vector{departure});
  EXPECT_TRUE(state.TakeDepartures(kNow).empty());
  ControlState restarted;
  restarted.Load(state.Save());
  EXPECT_TRUE(restarted.HasDeparture(departure, kNow + 100));
  EXPECT_EQ(restarted.TakeDepartures(kNow + 100), std::vector{departure});
}

TEST_F(RecordedDepartures, OfAnotherStartAreNoneOfThis) {
  Record(departure, kNow);
  EXPECT_FALSE(state.HasDeparture({"t", 8}, kNow));
  EXPECT_FALSE(state.HasDeparture({"t", 6}, kNow));
  EXPECT_FALSE(state.HasDeparture({"tt", 7}, kNow));
}

TEST_F(RecordedDepartures, CanBeRecordedAgainAtAnyTime) {
  for (const std::int64_t after_s : {0L, 59L, 61L, 3599L, 3600L, 90'000L}) {
    EXPECT_TRUE(IsRecorded(Record(departure, kNow + after_s))) << after_s;
    EXPECT_TRUE(state.HasDeparture(departure, kNow + after_s)) << after_s;
  }
}

// A target that names no start may use its name again after this time.
TEST_F(RecordedDepartures, AreForgottenAfterTheirRetention) {
  Record(departure, kNow);
  const std::int64_t expiry = kNow + kDepartureRetentionS;
  EXPECT_TRUE(state.HasDeparture(departure, expiry - 1));
  EXPECT_FALSE(state.HasDeparture(departure, expiry));
  EXPECT_TRUE(state.TakeDepartures(expiry).empty());
  state.Apply(Claim("k", "a", expiry));
  ControlState restarted;
  restarted.Load(state.Save());
  EXPECT_FALSE(restarted.HasDeparture(departure, kNow));
}

TEST_F(RecordedDepartures, AreNoClaimsOfCallers) {
  Record(departure, kNow);
  state.Apply(Claim("k", "a"));
  EXPECT_EQ(state.claims(), 1U);
  ControlState restarted;
  restarted.Load(state.Save());
  EXPECT_EQ(restarted.claims(), 1U);
  Record({"u", 1}, kNow + kDepartureRetentionS);
  EXPECT_EQ(state.claims(), 1U);
}

// A host that knows no departures took part in these.
TEST_F(RecordedDepartures, AreClaimsToOtherVersions) {
  const ControlCommand command = ToCommand(departure, kNow);
  EXPECT_EQ(command.kind, CommandKind::kClaim);
  EXPECT_EQ(command.caller, "\ndeparted");
  EXPECT_EQ(command.key, "t\n7");
  EXPECT_EQ(command.created_s, kNow + 3600 - 24 * 3600);
}

TEST(Departures, AreReadFromTheirClaimsAlone) {
  for (const Departure& departure :
       {Departure{"t", 0}, Departure{"", 1}, Departure{"a b\xc3\xb6", 9},
        Departure{"t", 18446744073709551615U}}) {
    const ControlCommand command = ToCommand(departure, kNow);
    EXPECT_EQ(DepartureOf(command.caller, command.key), departure);
    EXPECT_EQ(DepartureOf(command, kNow + 10), departure);
    EXPECT_EQ(DepartureOf(command, kNow + kDepartureRetentionS), std::nullopt);
  }
  EXPECT_FALSE(DepartureOf("caller", "t\n7"));
  EXPECT_FALSE(DepartureOf("\ndeparted", "t"));
  EXPECT_FALSE(DepartureOf("\ndeparted", "t\n"));
  EXPECT_FALSE(DepartureOf("\ndeparted", "t\n7x"));
  EXPECT_FALSE(DepartureOf("\ndeparted", "t\n-1"));
  EXPECT_FALSE(DepartureOf("\ndeparted", "t\n99999999999999999999"));
}

ControlCommand Order(CommandKind kind,
                     const std::string& id,
                     std::int64_t time_s = kNow) {
  ControlCommand command;
  command.kind = kind;
  command.change_id = id;
  command.zone = "zone";
  command.time_s = time_s;
  return command;
}

TEST(StoredEvacuations, AreKeptInSnapshots) {
  ControlState state;
  EXPECT_EQ(state.Apply(Order(CommandKind::kEvacuate, "1")).status,
            CommandStatus::kAccepted);
  EXPECT_EQ(state.Apply(Order(CommandKind::kEvacuate, "2")).status,
            CommandStatus::kUnchanged);
  ControlState restarted;
  restarted.Load(state.Save());
  const std::vector<EvacuatedZone> expected = {{"zone", kNow}};
  EXPECT_EQ(restarted.evacuated_zones(), expected);
  // The snapshot also has the ids of the orders.
  restarted.Apply(Order(CommandKind::kReadmit, "3"));
  restarted.Apply(Order(CommandKind::kEvacuate, "1"));
  EXPECT_TRUE(restarted.evacuated_zones().empty());
}

// Hosts of earlier versions read a store again once no zone is evacuated.
TEST(StoredEvacuations, LeaveNoTraceAfterTheirEnd) {
  ControlState state;
  state.Apply(Claim("k", "a"));
  ControlState other;
  other.Load(state.Save());
  state.Apply(Order(CommandKind::kEvacuate, "1"));
  state.Apply(Order(CommandKind::kReadmit, "2"));
  EXPECT_NE(state.Save(), other.Save());
  const std::int64_t later = kNow + kOrderRetentionS + 1;
  state.Apply(Claim("l", "a", later));
  other.Apply(Claim("l", "a", later));
  EXPECT_EQ(state.Save(), other.Save());
}

// An earlier version decodes commands without the field `zone`.
TEST(StoredEvacuations, ChangeNoOtherCommand) {
  const ControlCommand claim = Claim("k", "a");
  EXPECT_EQ(EncodedFieldCount(claim),
            EncodedFieldCount(Order(CommandKind::kEvacuate, "1")) - 1);
}

}  // namespace
}  // namespace snipeworks
