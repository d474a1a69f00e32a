#include "snipeworks/evidence_store.h"

#include <chrono>

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

using std::chrono::seconds;

constexpr Fingerprint kOne = 1;

PoisonEvidence Evidence(const char* host,
                        std::vector<CrashedTarget> targets,
                        Duration quarantine = {}) {
  return {kOne, host, std::move(targets), {}, quarantine};
}

class EvidenceStores : public testing::Test {
 protected:
  EvidenceStore store_;
  Instant now_{seconds(1000)};
};

TEST_F(EvidenceStores, ReportEachChangeOnce) {
  EXPECT_TRUE(store_.Add(now_, Evidence("entry-1", {{"a", 1}})));
  EXPECT_FALSE(store_.Add(now_, Evidence("entry-1", {{"a", 1}})));
  const std::uint64_t known = store_.serial();
  EXPECT_TRUE(store_.ChangesSince(now_, known).empty());
  EXPECT_EQ(store_.ChangesSince(now_, 0).size(), 1U);

  // A host that starts later gets all evidence, others get the changes.
  EXPECT_TRUE(store_.Add(now_, Evidence("entry-2", {{"b", 1}})));
  const auto changes = store_.ChangesSince(now_, known);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].targets,
            (std::vector<CrashedTarget>{{"a", 1}, {"b", 1}}));
  EXPECT_GT(changes[0].quarantine, Duration{}) << "two suspicions add up";
}

TEST_F(EvidenceStores, ReportTheRemainingQuarantine) {
  store_.Add(now_, Evidence("entry-1", {{"a", 1}, {"b", 1}}, seconds(40)));
  now_ += seconds(30);
  // Another control host returns the same evidence.
  EXPECT_FALSE(store_.Add(
      now_, Evidence("control-2", {{"a", 1}, {"b", 1}}, seconds(10))));
  EXPECT_EQ(store_.ChangesSince(now_, 0).at(0).quarantine, seconds(10));
  now_ += seconds(10);
  store_.Prune(now_);
  EXPECT_TRUE(store_.ChangesSince(now_, 0).empty());
}

TEST_F(EvidenceStores, ReportThatARequestWasCleared) {
  store_.Add(now_, Evidence("entry-1", {{"a", 1}}));
  const std::uint64_t known = store_.serial();
  EXPECT_TRUE(store_.Add(now_, Evidence("entry-2", {})));
  const auto changes = store_.ChangesSince(now_, known);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_TRUE(changes[0].targets.empty());
  EXPECT_TRUE(store_.ChangesSince(now_, 0).empty());
  now_ += seconds(11);
  store_.Prune(now_);
  EXPECT_TRUE(store_.ChangesSince(now_, known).empty());
}

}  // namespace
}  // namespace snipeworks
