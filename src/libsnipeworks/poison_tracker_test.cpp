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
  std::size_t Crash(Fingerprint fingerprint,
                    const char* target,
                    std::uint64_t incarnation = 1) {
    return tracker_.OnCrash(now_, fingerprint, {target, incarnation},
                            kQuarantine);
  }
  Verdict VerdictOn(Fingerprint fingerprint) {
    return tracker_.VerdictOf(now_, fingerprint, kSnapshot);
  }

  PoisonTracker tracker_;
  Instant now_{seconds(1000)};
};

TEST_F(PoisonTrackers, SuspectAfterOneTargetAndRefuseAfterTwo) {
  EXPECT_EQ(VerdictOn(kOne), Verdict::kUnknown);
  Crash(kOne, "a");
  EXPECT_EQ(VerdictOn(kOne), Verdict::kSuspected);
  Crash(kOne, "b");
  EXPECT_EQ(VerdictOn(kOne), Verdict::kQuarantined);
  now_ += kQuarantine;
  EXPECT_EQ(VerdictOn(kOne), Verdict::kUnknown);
}

TEST_F(PoisonTrackers, CountARestartedTargetAsAnother) {
  EXPECT_EQ(Crash(kOne, "a"), 1U);
  EXPECT_EQ(Crash(kOne, "a"), 1U);
  EXPECT_EQ(VerdictOn(kOne), Verdict::kSuspected);
  EXPECT_EQ(Crash(kOne, "a", 2), 2U);
  EXPECT_EQ(VerdictOn(kOne), Verdict::kQuarantined);
}

// Both ran on the two targets that crashed, so one of them is not the cause.
TEST_F(PoisonTrackers, DoNotQuarantineTwoRequestsWithTheSameCrashes) {
  for (const Fingerprint one : {kOne, kOther}) {
    Crash(one, "a");
    Crash(one, "b");
  }
  EXPECT_EQ(VerdictOn(kOne), Verdict::kSuspected);
  EXPECT_EQ(VerdictOn(kOther), Verdict::kSuspected);
  EXPECT_EQ(tracker_.RefusedFor(now_, kOne), Duration{});
  EXPECT_TRUE(tracker_.Quarantined(now_).empty());

  // A third target crashes under one of them, which shows that it is the cause.
  Crash(kOne, "c");
  EXPECT_EQ(VerdictOn(kOne), Verdict::kQuarantined);
  EXPECT_EQ(VerdictOn(kOther), Verdict::kSuspected);
}

TEST_F(PoisonTrackers, RefuseARequestOnceTheOtherHasSurvived) {
  for (const Fingerprint one : {kOne, kOther}) {
    Crash(one, "a");
    Crash(one, "b");
  }
  tracker_.OnSurvived(now_, kOther, kSnapshot);
  EXPECT_EQ(VerdictOn(kOther), Verdict::kSafe);
  EXPECT_EQ(VerdictOn(kOne), Verdict::kQuarantined);
}

TEST_F(PoisonTrackers, AddUpTheEvidenceOfOtherHosts) {
  Crash(kOne, "a");
  const PoisonEvidence evidence{kOne, "entry-2", {{"b", 1}}, {}, {}};
  EXPECT_TRUE(tracker_.Merge(now_, evidence, kQuarantine));
  EXPECT_EQ(VerdictOn(kOne), Verdict::kQuarantined);
  EXPECT_FALSE(tracker_.Merge(now_, evidence, kQuarantine))
      << "the evidence is not new";

  // Repeated evidence does not extend the quarantine.
  now_ += seconds(59);
  tracker_.Merge(now_, tracker_.EvidenceOf(now_, kOne, "entry-3"), kQuarantine);
  now_ += seconds(1);
  EXPECT_EQ(VerdictOn(kOne), Verdict::kUnknown);
}

TEST_F(PoisonTrackers, ForgetASuspectThatSurvivedElsewhere) {
  Crash(kOne, "a");
  tracker_.Merge(now_, {kOne, "entry-2", {}, {}, {}}, kQuarantine);
  EXPECT_EQ(VerdictOn(kOne), Verdict::kUnknown);
  Crash(kOne, "a");
  Crash(kOne, "b");
  tracker_.Merge(now_, {kOne, "entry-2", {}, {}, {}}, kQuarantine);
  EXPECT_EQ(VerdictOn(kOne), Verdict::kQuarantined)
      << "two crashes outweigh that";
}

TEST_F(PoisonTrackers, HoldABoundedNumberOfRequests) {
  for (Fingerprint one = 0; one < 20000; ++one) {
    Crash(one, "a");
  }
  EXPECT_LE(tracker_.All(now_, "").size(), 10000U);
  now_ += kQuarantine;
  EXPECT_EQ(Crash(kOne, "b"), 1U) << "there is space again";
}

}  // namespace
}  // namespace snipeworks
