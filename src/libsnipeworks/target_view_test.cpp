#include "snipeworks/target_view.h"

#include <algorithm>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace snipeworks {
namespace {

using std::chrono::milliseconds;

constexpr Duration kLease = milliseconds(3000);
const Instant kStart{std::chrono::seconds(1000)};

Announcement MakeAnnouncement(std::uint64_t incarnation,
                              std::uint64_t sequence,
                              TargetState state = TargetState::kServing) {
  Announcement announcement;
  announcement.target = "t";
  announcement.group = "g";
  announcement.incarnation = incarnation;
  announcement.sequence = sequence;
  announcement.state = state;
  return announcement;
}

TEST(Leases, StartWhenASequenceIsFirstSeen) {
  TargetView view(kLease);
  view.Merge(kStart, MakeAnnouncement(1, 1));
  EXPECT_FALSE(view.Merge(kStart + milliseconds(2900), MakeAnnouncement(1, 1)));
  EXPECT_NE(view.Usable(kStart + kLease, "t"), nullptr);
  EXPECT_EQ(view.Usable(kStart + kLease + milliseconds(1), "t"), nullptr);
}

TEST(Leases, AreShortenedByTheAgeOfARelayedCopy) {
  TargetView view(kLease);
  view.Merge(kStart, MakeAnnouncement(1, 1), milliseconds(2500));
  EXPECT_EQ(view.Usable(kStart + milliseconds(600), "t"), nullptr);
}

TEST(Leases, AreNotRenewedByAnOldCopyAfterPruning) {
  TargetView view(kLease);
  view.Merge(kStart, MakeAnnouncement(1, 1));
  const Instant later = kStart + kLease * 30;
  view.Prune(later);
  view.Merge(later, MakeAnnouncement(1, 1), kLease * 30);
  EXPECT_EQ(view.Usable(later, "t"), nullptr);
}

TEST(Draining, IsFinalWithinAnIncarnation) {
  TargetView view(kLease);
  view.Merge(kStart, MakeAnnouncement(1, 5, TargetState::kDraining));
  view.Merge(kStart, MakeAnnouncement(1, 6));
  EXPECT_EQ(view.Usable(kStart, "t"), nullptr);
  view.Merge(kStart, MakeAnnouncement(2, 1));
  EXPECT_NE(view.Usable(kStart, "t"), nullptr);
  view.Merge(kStart, MakeAnnouncement(1, 7));
  EXPECT_NE(view.Usable(kStart, "t"), nullptr);
}

TEST(Draining, SurvivesALeaseExpiryAndALateReport) {
  TargetView view(kLease);
  view.Merge(kStart, MakeAnnouncement(1, 5, TargetState::kDraining));
  view.Merge(kStart, MakeAnnouncement(1, 5, TargetState::kGone));
  view.Merge(kStart, MakeAnnouncement(1, 6));
  EXPECT_EQ(view.Usable(kStart, "t"), nullptr);
}

TEST(Draining, IsAcceptedFromAHostThatHasSeenFewerReports) {
  TargetView view(kLease);
  view.Merge(kStart, MakeAnnouncement(1, 6));
  EXPECT_TRUE(
      view.Merge(kStart, MakeAnnouncement(1, 5, TargetState::kDraining)));
  EXPECT_FALSE(
      view.Merge(kStart, MakeAnnouncement(1, 5, TargetState::kDraining)));
  EXPECT_EQ(view.Usable(kStart, "t"), nullptr);
  EXPECT_EQ(view.Find("t")->sequence, 6U);
}

TEST(Draining, IsForgottenOnceNoReportCanStillArrive) {
  TargetView view(kLease);
  view.Merge(kStart, MakeAnnouncement(1, 5, TargetState::kDraining));
  EXPECT_TRUE(view.ForgetEnded(kStart + std::chrono::minutes(5)).empty());
  EXPECT_EQ(view.ForgetEnded(kStart + std::chrono::minutes(31)),
            std::vector<std::string>{"t"});
  EXPECT_EQ(view.Find("t"), nullptr);
  EXPECT_EQ(view.Digest(), TargetView(kLease).Digest());
}

TEST(Draining, IsNotHiddenByARenewalFromAHostThatMissedIt) {
  TargetView informed(kLease);
  informed.Merge(kStart, MakeAnnouncement(1, 5));
  TargetView behind = informed;
  informed.Merge(kStart, MakeAnnouncement(1, 6, TargetState::kDraining));
  informed.Merge(kStart, MakeAnnouncement(1, 7, TargetState::kDraining));
  EXPECT_FALSE(behind.Renewed({"t", 1, 7, 0, informed.DigestOf("t")}));
  behind.Merge(kStart, *informed.Find("t"));
  EXPECT_EQ(behind.Usable(kStart, "t"), nullptr);
}

TEST(Leases, AreRenewedWhenTheDigestsMatch) {
  TargetView view(kLease);
  view.Merge(kStart, MakeAnnouncement(1, 5));
  const auto renewed = view.Renewed({"t", 1, 6, 3, view.DigestOf("t")});
  ASSERT_TRUE(renewed);
  EXPECT_EQ(renewed->sequence, 6U);
  EXPECT_FALSE(view.Renewed({"t", 2, 1, 3, view.DigestOf("t")}));
}

// Hosts that receive the same announcements in any order, and any number of
// times, agree.
RC_GTEST_PROP(Views, DoNotDependOnOrderOrRepetition, ()) {
  std::vector<Announcement> received;
  for (std::uint64_t sequence = 1; sequence < 6; ++sequence) {
    received.push_back(MakeAnnouncement(
        1 + sequence / 4, sequence,
        sequence == 5 ? TargetState::kDraining : TargetState::kServing));
    received.back().zone = "z" + std::to_string(sequence);
  }
  TargetView first(kLease);
  TargetView second(kLease);
  for (const Announcement& announcement : received) {
    first.Merge(kStart, announcement);
  }
  const auto seed = *rc::gen::arbitrary<unsigned>();
  std::vector<Announcement> shuffled = received;
  shuffled.insert(shuffled.end(), received.begin(), received.end());
  std::mt19937 engine(seed);
  std::ranges::shuffle(shuffled, engine);
  for (const Announcement& announcement : shuffled) {
    second.Merge(kStart, announcement);
  }
  RC_ASSERT(first.Digest() == second.Digest());
}

}  // namespace
}  // namespace snipeworks
