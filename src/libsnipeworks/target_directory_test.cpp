#include "snipeworks/target_directory.h"

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class Directories : public ::testing::Test {
 protected:
  Directories() { directory.SetRoutedGroups(now, {"g", "other"}); }

  Announcement MakeAnnouncement(const std::string& target,
                                std::uint64_t incarnation,
                                std::uint64_t sequence) {
    Announcement announcement;
    announcement.target = target;
    announcement.group = "g";
    announcement.zone = "z";
    announcement.address = "10.0.0.1:80";
    announcement.incarnation = incarnation;
    announcement.sequence = sequence;
    return announcement;
  }

  TargetState StateOf(const std::string& target) {
    return directory.view().Find(target)->state;
  }

  Instant now{seconds(1000)};
  TargetDirectory directory{seconds(6)};
};

TEST_F(Directories, NumberChangesButNotRenewals) {
  EXPECT_EQ(directory.Apply(now, MakeAnnouncement("a", 1, 1)),
            AnnounceResult::kChange);
  EXPECT_EQ(directory.serial(), 1U);
  EXPECT_EQ(directory.Apply(now, MakeAnnouncement("a", 1, 2)),
            AnnounceResult::kRenewal);
  EXPECT_EQ(directory.Apply(now, MakeAnnouncement("a", 1, 2)),
            AnnounceResult::kStale);
  EXPECT_EQ(directory.serial(), 1U);
  EXPECT_TRUE(directory.ChangesSince(1).empty());
  EXPECT_EQ(directory.ChangesSince(0).size(), 1U);
}

TEST_F(Directories, KeepDrainingFinalUntilTheTargetRestarts) {
  directory.Apply(now, MakeAnnouncement("a", 1, 1));
  Announcement draining = MakeAnnouncement("a", 1, 2);
  draining.state = TargetState::kDraining;
  EXPECT_EQ(directory.Apply(now, draining), AnnounceResult::kChange);
  EXPECT_EQ(directory.Apply(now, MakeAnnouncement("a", 1, 3)),
            AnnounceResult::kRenewal);
  EXPECT_EQ(StateOf("a"), TargetState::kDraining);
  // Sequences restart with the incarnation; a report from before the restart
  // changes nothing.
  EXPECT_EQ(directory.Apply(now, MakeAnnouncement("a", 2, 1)),
            AnnounceResult::kChange);
  EXPECT_EQ(directory.Apply(now, MakeAnnouncement("a", 1, 9)),
            AnnounceResult::kStale);
  EXPECT_EQ(StateOf("a"), TargetState::kServing);
}

TEST_F(Directories, TreatALeaveAsDrainingUnlessItsIncarnationIsOlder) {
  directory.Apply(now, MakeAnnouncement("a", 5, 1));
  EXPECT_FALSE(directory.MarkLeaving(now, "nobody", {}, {}));
  EXPECT_FALSE(directory.MarkLeaving(now, "a", 4, 9));
  EXPECT_EQ(StateOf("a"), TargetState::kServing);
  EXPECT_TRUE(directory.MarkLeaving(now, "a", {}, {}));
  EXPECT_EQ(StateOf("a"), TargetState::kDraining);
  EXPECT_EQ(directory.Apply(now, MakeAnnouncement("a", 5, 2)),
            AnnounceResult::kRenewal);
  EXPECT_EQ(StateOf("a"), TargetState::kDraining);
}

TEST_F(Directories, ExpireSilentTargetsAndRestoreThemOnTheNextReport) {
  directory.Apply(now, MakeAnnouncement("a", 1, 1));
  now += seconds(5);
  EXPECT_TRUE(directory.ExpireLeases(now).empty());
  now += seconds(2);
  EXPECT_EQ(directory.ExpireLeases(now), std::vector<std::string>{"a"});
  EXPECT_EQ(StateOf("a"), TargetState::kGone);
  EXPECT_TRUE(directory.ExpireLeases(now).empty());
  EXPECT_EQ(directory.Apply(now, MakeAnnouncement("a", 1, 2)),
            AnnounceResult::kChange);
  EXPECT_EQ(StateOf("a"), TargetState::kServing);
}

// An address is reused by a target of another group while a report of the
// previous target may still be in transit.
// Another control host may have taken such a name from a path.
TEST_F(Directories, TakeNamesThatAreNotTextFromOtherHosts) {
  EXPECT_EQ(directory.Apply(now, MakeAnnouncement("i-\xff\xfe", 1, 1)),
            AnnounceResult::kChange);
  EXPECT_NE(directory.view().DigestOf("i-\xff\xfe"), 0U);
}

TEST_F(Directories, AssignAnAddressToItsMostRecentlyStartedTarget) {
  directory.Apply(now, MakeAnnouncement("old", 10, 50));
  Announcement next = MakeAnnouncement("next", 20, 1);
  next.group = "other";
  directory.Apply(now, next);
  EXPECT_EQ(StateOf("old"), TargetState::kGone);
  EXPECT_EQ(StateOf("next"), TargetState::kServing);
  directory.Apply(now, MakeAnnouncement("old", 10, 51));
  EXPECT_EQ(StateOf("next"), TargetState::kServing);
  EXPECT_EQ(StateOf("old"), TargetState::kGone);
}

// Guards against reports of another writer, for a group of its own, that put
// the targets at the addresses in them out of use.
TEST_F(Directories, KeepAnAddressForTheGroupThatIsRouted) {
  Announcement foreign = MakeAnnouncement("foreign", 9, 1);
  foreign.group = "unrouted";
  directory.Apply(now, MakeAnnouncement("a", 1, 1));
  directory.Apply(now, foreign);
  EXPECT_EQ(StateOf("a"), TargetState::kServing);
  directory.Apply(now, MakeAnnouncement("a", 1, 2));
  EXPECT_EQ(StateOf("a"), TargetState::kServing);

  // The foreign reports arrive first, as after a restart of this host.
  TargetDirectory restarted(seconds(6));
  restarted.Apply(now, foreign);
  restarted.Apply(now, MakeAnnouncement("a", 1, 3));
  restarted.SetRoutedGroups(now, {"g"});
  EXPECT_EQ(restarted.view().Find("a")->state, TargetState::kServing);
}

TEST_F(Directories, KeepANameForTheGroupThatIsRouted) {
  directory.Apply(now, MakeAnnouncement("a", 1, 1));
  Announcement foreign = MakeAnnouncement("a", 9, 1);
  foreign.group = "unrouted";
  EXPECT_EQ(directory.Apply(now, foreign), AnnounceResult::kStale);
  EXPECT_EQ(directory.view().Find("a")->group, "g");
  // The target has ended: its name may be used by another one.
  now += seconds(7);
  directory.ExpireLeases(now);
  EXPECT_EQ(directory.Apply(now, foreign), AnnounceResult::kChange);
}

// Guards against a new group whose targets wait for their next reports after
// the routes name it.
TEST_F(Directories, GiveAddressesToAGroupOnceItIsRouted) {
  directory.Apply(now, MakeAnnouncement("a", 1, 1));
  Announcement next = MakeAnnouncement("b", 2, 1);
  next.group = "next";
  Announcement elsewhere = MakeAnnouncement("c", 2, 1);
  elsewhere.group = "next";
  elsewhere.address = "10.0.0.2:80";
  directory.Apply(now, next);
  directory.Apply(now, elsewhere);
  const std::uint64_t before = directory.serial();
  directory.SetRoutedGroups(now, {"g", "other", "next"});
  EXPECT_EQ(StateOf("a"), TargetState::kGone);
  EXPECT_EQ(StateOf("b"), TargetState::kServing);
  EXPECT_EQ(StateOf("c"), TargetState::kServing);
  EXPECT_EQ(directory.ChangesSince(before).size(), 1U);
}

// A report that carries the name of a healthy target but comes from another
// writer.
TEST_F(Directories, RejectAChangeOfGroupOrAddressWithinAnIncarnation) {
  directory.Apply(now, MakeAnnouncement("a", 1, 1));
  Announcement forged = MakeAnnouncement("a", 1, 7);
  forged.group = "elsewhere";
  EXPECT_EQ(directory.Apply(now, forged), AnnounceResult::kStale);
  forged = MakeAnnouncement("a", 1, 7);
  forged.address = "10.9.9.9:80";
  EXPECT_EQ(directory.Apply(now, forged), AnnounceResult::kStale);
  EXPECT_EQ(directory.Apply(now, MakeAnnouncement("a", 1, 2)),
            AnnounceResult::kRenewal);
}

TEST_F(Directories, AgreeOnTheDigestOfServingTargets) {
  TargetDirectory other{seconds(6)};
  directory.Apply(now, MakeAnnouncement("a", 1, 1));
  EXPECT_NE(ServingDigest(directory.view()), ServingDigest(other.view()));
  other.Apply(now, MakeAnnouncement("a", 1, 40));
  EXPECT_EQ(ServingDigest(directory.view()), ServingDigest(other.view()));
}

// All control hosts have lost their state; entry hosts have not.
TEST_F(Directories, LearnDrainedTargetsFromEntryHostsAfterARestart) {
  Announcement drained = MakeAnnouncement("a", 1, 7);
  drained.state = TargetState::kDraining;
  directory.MarkDrained(now, drained);
  EXPECT_EQ(StateOf("a"), TargetState::kDraining);
  // A report from before it drained, delayed by a network partition.
  directory.Apply(now, MakeAnnouncement("a", 1, 6));
  directory.Apply(now, MakeAnnouncement("a", 1, 8));
  EXPECT_EQ(StateOf("a"), TargetState::kDraining);
  // The target restarts under the same name.
  directory.Apply(now, MakeAnnouncement("a", 2, 1));
  directory.MarkDrained(now, drained);
  EXPECT_EQ(StateOf("a"), TargetState::kServing);
}

// All processes have been killed; the control log has the departure.
TEST_F(Directories, DoNotRestoreADepartedTargetByALateReport) {
  directory.MarkDeparted(now, {"a", 5});
  EXPECT_EQ(directory.Apply(now, MakeAnnouncement("a", 5, 1)),
            AnnounceResult::kChange);
  EXPECT_EQ(StateOf("a"), TargetState::kDraining);
  // An earlier start of it has ended, too.
  Announcement other = MakeAnnouncement("b", 1, 1);
  other.address = "10.0.0.2:80";
  directory.Apply(now, other);
  directory.MarkDeparted(now, {"b", 5});
  EXPECT_EQ(StateOf("b"), TargetState::kDraining);
  // Starts that are later than the one that departed.
  directory.Apply(now, MakeAnnouncement("a", 6, 1));
  directory.MarkDeparted(now, {"a", 5});
  EXPECT_EQ(StateOf("a"), TargetState::kServing);
}

TEST_F(Directories, LearnFromTheLogThatAServingTargetHasDeparted) {
  directory.Apply(now, MakeAnnouncement("a", 5, 1));
  const std::uint64_t before = directory.serial();
  directory.MarkDeparted(now, {"a", 5});
  EXPECT_EQ(directory.serial(), before + 1);
  EXPECT_EQ(StateOf("a"), TargetState::kDraining);
  directory.MarkDeparted(now, {"a", 5});
  EXPECT_EQ(directory.serial(), before + 1);
}

TEST_F(Directories, ForgetDeparturesThatAreLongPast) {
  directory.MarkDeparted(now, {"a", 0});
  directory.ForgetEnded(now + seconds(kDepartureRetentionS));
  directory.Apply(now, MakeAnnouncement("a", 0, 1));
  EXPECT_EQ(StateOf("a"), TargetState::kDraining);
  TargetDirectory other{seconds(6)};
  other.MarkDeparted(now, {"a", 0});
  other.ForgetEnded(now + seconds(kDepartureRetentionS + 1));
  other.Apply(now, MakeAnnouncement("a", 0, 1));
  EXPECT_EQ(other.view().Find("a")->state, TargetState::kServing);
}

TEST_F(Directories, DoNotRestoreADrainedTargetThatFellSilent) {
  directory.Apply(now, MakeAnnouncement("a", 1, 1));
  directory.MarkLeaving(now, "a", 1, 2);
  EXPECT_TRUE(directory.ExpireLeases(now + seconds(60)).empty());
  directory.Apply(now + seconds(61), MakeAnnouncement("a", 1, 3));
  EXPECT_EQ(StateOf("a"), TargetState::kDraining);
}

TEST_F(Directories, ForgetTargetsThatEndedLongAgo) {
  directory.Apply(now, MakeAnnouncement("a", 1, 1));
  directory.MarkLeaving(now, "a", 1, 2);
  directory.ForgetEnded(now + std::chrono::minutes(31));
  EXPECT_EQ(directory.view().Find("a"), nullptr);
  EXPECT_TRUE(directory.ChangesSince(0).empty());
}

// Entry hosts get changes only: without this they would not learn that a target
// has become cold while it runs.
TEST_F(Directories, ShareThatATargetBecomesCold) {
  const auto report = [&](std::uint64_t sequence, std::uint32_t cold_ms) {
    Announcement announcement = MakeAnnouncement("a", 1, sequence);
    announcement.cold_ms = cold_ms;
    return directory.Apply(now, announcement);
  };
  report(1, 0);
  EXPECT_EQ(report(2, 5000), AnnounceResult::kRenewal);
  directory.SetShareCold(now, true);
  EXPECT_EQ(directory.ChangesSince(now, 1).at(0).cold_ms, 5001U);
  now += seconds(1);
  EXPECT_EQ(report(3, 4100), AnnounceResult::kRenewal);
  EXPECT_EQ(report(4, 5000), AnnounceResult::kChange);
  now += seconds(2);
  EXPECT_EQ(directory.ChangesSince(now, 2).at(0).cold_ms, 3001U);
  EXPECT_EQ(report(5, 0), AnnounceResult::kRenewal);
  EXPECT_EQ(directory.ChangesSince(now, 0).at(0).cold_ms, 0U);
}

}  // namespace
}  // namespace snipeworks
