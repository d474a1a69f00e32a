#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "crashing_fleet_test.h"

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kHosts = 9;
constexpr std::size_t kZones = 3;
constexpr std::size_t kShards = 10;
constexpr Fingerprint kCrashing = 7;

std::vector<std::string> Shards() {
  std::vector<std::string> shards;
  for (std::size_t i = 0; i < kShards; ++i) {
    shards.push_back("shard-" + std::to_string(i));
  }
  return shards;
}

class CrashingRequests : public testing::TestWithParam<std::uint64_t> {
 protected:
  CrashingRequests() {
    for (const std::string& shard : Shards()) {
      fleet_.AddGroup(shard, 3);
    }
    fleet_.AddGroup("ledger", 15);
    fleet_.crashing_fingerprints = {kCrashing};
  }

  /// Sends the crashing request once a second, through the hosts in turn.
  void SendForAMinute(const CrashingFleet::Caller& caller) {
    for (std::size_t i = 0; i < 60; ++i) {
      last_ = fleet_.Send(i % kHosts, caller);
      fleet_.RunFor(seconds(1));
      ASSERT_NE(fleet_.ResultOf(last_), nullptr)
          << "request " << i << " did not end";
    }
  }

  void ExpectLastRequestQuarantined() {
    const auto& result = fleet_.ResultOf(last_)->result;
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().kind, ErrorKind::kQuarantined);
    EXPECT_GT(result.error().retry_after.value_or(Duration{}), Duration{});
  }

  CrashingFleet fleet_{GetParam(), kHosts, kZones};
  std::shared_ptr<const SearchPlan> search_ = CrashingFleet::PlanOver(Shards());
  std::shared_ptr<const SearchPlan> lookup_ =
      CrashingFleet::PlanOver({"ledger"});
  RequestId last_ = 0;
};

TEST_P(CrashingRequests, ToOneGroupCrashAtMostTwoTargetsInAMinute) {
  SendForAMinute({kCrashing, 0, lookup_, true});
  EXPECT_LE(fleet_.crashes, 2U);
  ExpectLastRequestQuarantined();
}

TEST_P(CrashingRequests, ThatRunAtMostOnceCrashAtMostTwoTargetsInAMinute) {
  SendForAMinute({kCrashing, 0, lookup_, false});
  EXPECT_LE(fleet_.crashes, 2U);
  ExpectLastRequestQuarantined();
}

// The first attempts on all shards are in flight before any of them yields
// evidence.
TEST_P(CrashingRequests, OverAllShardsCrashAtMostOneTargetOfEachAndOneMore) {
  SendForAMinute({kCrashing, 0, search_, true});
  EXPECT_LE(fleet_.crashes, kShards + 1);
  ExpectLastRequestQuarantined();
}

TEST_P(CrashingRequests, AreStoppedWhenEvidenceArrivesAfterTheNextRequest) {
  fleet_.evidence_delay = milliseconds(1500);
  SendForAMinute({kCrashing, 0, lookup_, true});
  EXPECT_LE(fleet_.crashes, 4U);
  ExpectLastRequestQuarantined();
}

TEST_P(CrashingRequests, DoNotGetOtherRequestsQuarantined) {
  fleet_.SendTraffic(search_, 135.0, seconds(30));
  fleet_.SendTraffic(lookup_, 45.0, seconds(30));
  fleet_.RunFor(seconds(5));
  for (std::size_t i = 0; i < 20; ++i) {
    last_ = fleet_.Send(i % kHosts, {kCrashing, 0, i % 2 ? search_ : lookup_});
    fleet_.RunFor(seconds(1));
  }
  fleet_.RunFor(seconds(10));
  ExpectLastRequestQuarantined();
  EXPECT_EQ(fleet_.normal_quarantined, 0U);
  EXPECT_EQ(fleet_.normal_served, fleet_.normal_requests);
}

TEST_P(CrashingRequests, AreNotSuspectedWhenAZoneFails) {
  fleet_.SendTraffic(search_, 135.0, seconds(20));
  fleet_.SendTraffic(lookup_, 45.0, seconds(20));
  for (std::size_t i = 0; i < 3; ++i) {
    fleet_.RunFor(seconds(5));
    fleet_.CrashIf([i](const Announcement& one) {
      return one.zone == "zone-" + std::to_string(i);
    });
  }
  fleet_.RunFor(seconds(10));
  EXPECT_EQ(fleet_.normal_quarantined, 0U);
  EXPECT_EQ(fleet_.normal_served, fleet_.normal_requests);
}

// The runs that distinguish a crashing request from a target that crashed by
// itself count as retries.
TEST_P(CrashingRequests, AreIdentifiedWithinTheRetryBudget) {
  fleet_.SendTraffic(lookup_, 600.0, seconds(10));
  fleet_.RunFor(seconds(2));
  for (std::size_t i = 0; i < 20; ++i) {
    fleet_.CrashIf([&](const Announcement& one) {
      return one.group == "ledger" && fleet_.random.Below(4) == 0;
    });
    fleet_.RunFor(milliseconds(300));
  }
  fleet_.RunFor(seconds(5));
  const auto first = static_cast<double>(fleet_.first_arrivals["ledger"]);
  const auto extra = static_cast<double>(fleet_.extra_arrivals["ledger"]);
  EXPECT_GT(extra, 0.0);
  EXPECT_LE(extra, 0.2 * first + 58.0);
}

// With seed 18 a normal request runs on both targets that a crashing request
// ends.
INSTANTIATE_TEST_SUITE_P(Seeds, CrashingRequests, testing::Values(1, 2, 3, 18));

}  // namespace
}  // namespace snipeworks
