#include "snipeworks/target_directory.h"

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class Directories : public ::testing::Test {
 protected:
  Announcement News(const std::string& target,
                    std::uint64_t incarnation,
                    std::uint64_t sequence) {
    Announcement news;
    news.target = target;
    news.group = "g";
    news.zone = "z";
    news.address = "10.0.0.1:80";
    news.incarnation = incarnation;
    news.sequence = sequence;
    return news;
  }

  TargetState StateOf(const std::string& target) {
    return directory.view().Find(target)->state;
  }

  Instant now{seconds(1000)};
  TargetDirectory directory{seconds(6)};
};

TEST_F(Directories, NumberChangesAndNotRenewals) {
  EXPECT_EQ(directory.Take(now, News("a", 1, 1)), AnnounceResult::kChange);
  EXPECT_EQ(directory.serial(), 1U);
  EXPECT_EQ(directory.Take(now, News("a", 1, 2)), AnnounceResult::kRenewal);
  EXPECT_EQ(directory.Take(now, News("a", 1, 2)), AnnounceResult::kStale);
  EXPECT_EQ(directory.serial(), 1U);
  EXPECT_TRUE(directory.ChangesSince(1).empty());
  EXPECT_EQ(directory.ChangesSince(0).size(), 1U);
}

TEST_F(Directories, KeepDrainingFinalUntilTheTargetStartsAgain) {
  directory.Take(now, News("a", 1, 1));
  Announcement draining = News("a", 1, 2);
  draining.state = TargetState::kDraining;
  EXPECT_EQ(directory.Take(now, draining), AnnounceResult::kChange);
  EXPECT_EQ(directory.Take(now, News("a", 1, 3)), AnnounceResult::kRenewal);
  EXPECT_EQ(StateOf("a"), TargetState::kDraining);
  // Its counts start anew; a report from before its restart changes nothing.
  EXPECT_EQ(directory.Take(now, News("a", 2, 1)), AnnounceResult::kChange);
  EXPECT_EQ(directory.Take(now, News("a", 1, 9)), AnnounceResult::kStale);
  EXPECT_EQ(StateOf("a"), TargetState::kServing);
}

TEST_F(Directories, TakeALeaveAsDrainingUnlessItIsOfAnEarlierStart) {
  directory.Take(now, News("a", 5, 1));
  EXPECT_FALSE(directory.Leave(now, "nobody", {}, {}));
  EXPECT_FALSE(directory.Leave(now, "a", 4, 9));
  EXPECT_EQ(StateOf("a"), TargetState::kServing);
  EXPECT_TRUE(directory.Leave(now, "a", {}, {}));
  EXPECT_EQ(StateOf("a"), TargetState::kDraining);
  EXPECT_EQ(directory.Take(now, News("a", 5, 2)), AnnounceResult::kRenewal);
  EXPECT_EQ(StateOf("a"), TargetState::kDraining);
}

TEST_F(Directories, DropWhatIsSilentAndTakeItBackWhenItSpeaks) {
  directory.Take(now, News("a", 1, 1));
  now += seconds(5);
  EXPECT_TRUE(directory.DropSilent(now).empty());
  now += seconds(2);
  EXPECT_EQ(directory.DropSilent(now), std::vector<std::string>{"a"});
  EXPECT_EQ(StateOf("a"), TargetState::kGone);
  EXPECT_TRUE(directory.DropSilent(now).empty());
  EXPECT_EQ(directory.Take(now, News("a", 1, 2)), AnnounceResult::kChange);
  EXPECT_EQ(StateOf("a"), TargetState::kServing);
}

// An address is used again by a target of another group; a report of the one
// before may still be on its way.
TEST_F(Directories, GiveAnAddressToTheTargetThatStartedThereLast) {
  directory.Take(now, News("old", 10, 50));
  Announcement next = News("next", 20, 1);
  next.group = "other";
  directory.Take(now, next);
  EXPECT_EQ(StateOf("old"), TargetState::kGone);
  EXPECT_EQ(StateOf("next"), TargetState::kServing);
  directory.Take(now, News("old", 10, 51));
  EXPECT_EQ(StateOf("next"), TargetState::kServing);
  EXPECT_EQ(StateOf("old"), TargetState::kGone);
}

// A report under the name of a good target, from another writer.
TEST_F(Directories, KeepATargetWhereItStarted) {
  directory.Take(now, News("a", 1, 1));
  Announcement forged = News("a", 1, 7);
  forged.group = "elsewhere";
  EXPECT_EQ(directory.Take(now, forged), AnnounceResult::kStale);
  forged = News("a", 1, 7);
  forged.address = "10.9.9.9:80";
  EXPECT_EQ(directory.Take(now, forged), AnnounceResult::kStale);
  EXPECT_EQ(directory.Take(now, News("a", 1, 2)), AnnounceResult::kRenewal);
}

TEST_F(Directories, AgreeOnTheDigestOfWhatServes) {
  TargetDirectory other{seconds(6)};
  directory.Take(now, News("a", 1, 1));
  EXPECT_NE(ServingDigest(directory.view()), ServingDigest(other.view()));
  other.Take(now, News("a", 1, 40));
  EXPECT_EQ(ServingDigest(directory.view()), ServingDigest(other.view()));
}

// All control hosts have lost their memory; entry hosts have not.
TEST_F(Directories, TakeFromEntryHostsWhatHasDrainedBeforeARestart) {
  Announcement drained = News("a", 1, 7);
  drained.state = TargetState::kDraining;
  directory.TakeDrained(now, drained);
  EXPECT_EQ(StateOf("a"), TargetState::kDraining);
  // A report from before its end, held back by a cut.
  directory.Take(now, News("a", 1, 6));
  directory.Take(now, News("a", 1, 8));
  EXPECT_EQ(StateOf("a"), TargetState::kDraining);
  // It starts again under its name.
  directory.Take(now, News("a", 2, 1));
  directory.TakeDrained(now, drained);
  EXPECT_EQ(StateOf("a"), TargetState::kServing);
}

TEST_F(Directories, DoNotBringBackADrainedTargetThatFellSilent) {
  directory.Take(now, News("a", 1, 1));
  directory.Leave(now, "a", 1, 2);
  EXPECT_TRUE(directory.DropSilent(now + seconds(60)).empty());
  directory.Take(now + seconds(61), News("a", 1, 3));
  EXPECT_EQ(StateOf("a"), TargetState::kDraining);
}

TEST_F(Directories, ForgetWhatEndedLongAgo) {
  directory.Take(now, News("a", 1, 1));
  directory.Leave(now, "a", 1, 2);
  directory.ForgetEnded(now + std::chrono::minutes(31));
  EXPECT_EQ(directory.view().Find("a"), nullptr);
  EXPECT_TRUE(directory.ChangesSince(0).empty());
}

}  // namespace
}  // namespace snipeworks
