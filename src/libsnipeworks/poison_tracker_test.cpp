#include "snipeworks/poison_tracker.h"

#include <chrono>

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

using std::chrono::seconds;
using Verdict = PoisonTracker::Verdict;

constexpr Fingerprint kOne = 1;
constexpr Fingerprint kOther = 2;
constexpr Duration kQuarantine = seconds(60);
const SnapshotId kSnapshot{1, "d"};

class PoisonTrackers : public testing::Test {
 protected:
  std::size_t Break(Fingerprint fingerprint,
                    const char* target,
                    std::uint64_t incarnation = 1) {
    return tracker_.OnCrash(now_, fingerprint, {target, incarnation},
                            kQuarantine);
  }
  Verdict Of(Fingerprint fingerprint) {
    return tracker_.VerdictOf(now_, fingerprint, kSnapshot);
  }

  PoisonTracker tracker_;
  Instant now_{seconds(1000)};
};

TEST_F(PoisonTrackers, SuspectAfterOneTargetAndRefuseAfterTwo) {
  EXPECT_EQ(Of(kOne), Verdict::kUnknown);
  Break(kOne, "a");
  EXPECT_EQ(Of(kOne), Verdict::kSuspected);
  Break(kOne, "b");
  EXPECT_EQ(Of(kOne), Verdict::kQuarantined);
  now_ += kQuarantine;
  EXPECT_EQ(Of(kOne), Verdict::kUnknown);
}

TEST_F(PoisonTrackers, CountATargetThatWasStartedAgainAsAnother) {
  EXPECT_EQ(Break(kOne, "a"), 1U);
  EXPECT_EQ(Break(kOne, "a"), 1U);
  EXPECT_EQ(Of(kOne), Verdict::kSuspected);
  EXPECT_EQ(Break(kOne, "a", 2), 2U);
  EXPECT_EQ(Of(kOne), Verdict::kQuarantined);
}

// Both ran on two targets that broke, so one of them has broken neither.
TEST_F(PoisonTrackers, RunTwoRequestsAloneThatTheSameTargetsCountAgainst) {
  for (const Fingerprint one : {kOne, kOther}) {
    Break(one, "a");
    Break(one, "b");
  }
  EXPECT_EQ(Of(kOne), Verdict::kSuspected);
  EXPECT_EQ(Of(kOther), Verdict::kSuspected);
  EXPECT_EQ(tracker_.RefusedFor(now_, kOne), Duration{});
  EXPECT_TRUE(tracker_.Quarantined(now_).empty());

  // A third target breaks under one of them: that one did it.
  Break(kOne, "c");
  EXPECT_EQ(Of(kOne), Verdict::kQuarantined);
  EXPECT_EQ(Of(kOther), Verdict::kSuspected);
}

TEST_F(PoisonTrackers, RefuseARequestOnceTheOtherHasSurvived) {
  for (const Fingerprint one : {kOne, kOther}) {
    Break(one, "a");
    Break(one, "b");
  }
  tracker_.OnSurvived(now_, kOther, kSnapshot);
  EXPECT_EQ(Of(kOther), Verdict::kSafe);
  EXPECT_EQ(Of(kOne), Verdict::kQuarantined);
}

TEST_F(PoisonTrackers, AddUpWhatOtherHostsTell) {
  Break(kOne, "a");
  const PoisonEvidence told{kOne, "entry-2", {{"b", 1}}, {}, {}};
  EXPECT_TRUE(tracker_.Merge(now_, told, kQuarantine));
  EXPECT_EQ(Of(kOne), Verdict::kQuarantined);
  EXPECT_FALSE(tracker_.Merge(now_, told, kQuarantine)) << "it is no news";

  // Told over and over, it lasts no longer.
  now_ += seconds(59);
  tracker_.Merge(now_, tracker_.EvidenceOf(now_, kOne, "entry-3"), kQuarantine);
  now_ += seconds(1);
  EXPECT_EQ(Of(kOne), Verdict::kUnknown);
}

TEST_F(PoisonTrackers, ForgetASuspectThatSurvivedElsewhere) {
  Break(kOne, "a");
  tracker_.Merge(now_, {kOne, "entry-2", {}, {}, {}}, kQuarantine);
  EXPECT_EQ(Of(kOne), Verdict::kUnknown);
  Break(kOne, "a");
  Break(kOne, "b");
  tracker_.Merge(now_, {kOne, "entry-2", {}, {}, {}}, kQuarantine);
  EXPECT_EQ(Of(kOne), Verdict::kQuarantined) << "two targets outweigh that";
}

TEST_F(PoisonTrackers, HoldABoundedNumberOfRequests) {
  for (Fingerprint one = 0; one < 20000; ++one) {
    Break(one, "a");
  }
  EXPECT_LE(tracker_.All(now_, "").size(), 10000U);
  now_ += kQuarantine;
  EXPECT_EQ(Break(kOne, "b"), 1U) << "there is room again";
}

}  // namespace
}  // namespace snipeworks
