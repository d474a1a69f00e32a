#include "snipeworks/evidence_board.h"

#include <chrono>

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

using std::chrono::seconds;

constexpr Fingerprint kOne = 1;

PoisonEvidence Told(const char* host,
                    std::vector<CrashedTarget> targets,
                    Duration quarantine = {}) {
  return {kOne, host, std::move(targets), {}, quarantine};
}

class EvidenceBoards : public testing::Test {
 protected:
  EvidenceStore board_;
  Instant now_{seconds(1000)};
};

TEST_F(EvidenceBoards, TellWhatIsNewOnce) {
  EXPECT_TRUE(board_.Add(now_, Told("entry-1", {{"a", 1}})));
  EXPECT_FALSE(board_.Add(now_, Told("entry-1", {{"a", 1}})));
  const std::uint64_t known = board_.serial();
  EXPECT_TRUE(board_.ChangesSince(now_, known).empty());
  EXPECT_EQ(board_.ChangesSince(now_, 0).size(), 1U);

  // A host that comes up later is told everything, others what has changed.
  EXPECT_TRUE(board_.Add(now_, Told("entry-2", {{"b", 1}})));
  const auto changes = board_.ChangesSince(now_, known);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].targets,
            (std::vector<CrashedTarget>{{"a", 1}, {"b", 1}}));
  EXPECT_GT(changes[0].quarantine, Duration{}) << "two suspicions add up";
}

TEST_F(EvidenceBoards, PassOnHowLongARequestIsRefusedYet) {
  board_.Add(now_, Told("entry-1", {{"a", 1}, {"b", 1}}, seconds(40)));
  now_ += seconds(30);
  // Another control host brings back what it was told.
  EXPECT_FALSE(
      board_.Add(now_, Told("control-2", {{"a", 1}, {"b", 1}}, seconds(10))));
  EXPECT_EQ(board_.ChangesSince(now_, 0).at(0).quarantine, seconds(10));
  now_ += seconds(10);
  board_.Prune(now_);
  EXPECT_TRUE(board_.ChangesSince(now_, 0).empty());
}

TEST_F(EvidenceBoards, TellOfARequestThatWasCleared) {
  board_.Add(now_, Told("entry-1", {{"a", 1}}));
  const std::uint64_t known = board_.serial();
  EXPECT_TRUE(board_.Add(now_, Told("entry-2", {})));
  const auto changes = board_.ChangesSince(now_, known);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_TRUE(changes[0].targets.empty());
  EXPECT_TRUE(board_.ChangesSince(now_, 0).empty());
  now_ += seconds(11);
  board_.Prune(now_);
  EXPECT_TRUE(board_.ChangesSince(now_, known).empty());
}

}  // namespace
}  // namespace snipeworks
