#include "snipeworks/reachability_monitor.h"

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

// Sends one search to 40 targets of other zones, none of which responds.
void SendUnanswered(ReachabilityMonitor& monitor, Instant now) {
  for (int i = 0; i < 40; ++i) {
    monitor.OnSent(now);
  }
}

TEST(Reachability, IsLostWhenNeitherTargetsNorAQuorumOfOtherZonesRespond) {
  ReachabilityMonitor monitor;
  SendUnanswered(monitor, kStart);
  monitor.Update(kStart + milliseconds(100), false);
  EXPECT_FALSE(monitor.cut_off());
  monitor.Update(kStart + milliseconds(500), false);
  EXPECT_TRUE(monitor.cut_off());
}

TEST(Reachability, IsNotLostWhileAQuorumIsInReach) {
  ReachabilityMonitor monitor;
  SendUnanswered(monitor, kStart);
  monitor.Update(kStart + seconds(2), true);
  EXPECT_FALSE(monitor.cut_off());
}

// The control hosts are down while targets respond.
TEST(Reachability, IsNotLostWhileTargetsOfOtherZonesRespond) {
  ReachabilityMonitor monitor;
  for (int i = 0; i < 20; ++i) {
    SendUnanswered(monitor, kStart + i * milliseconds(100));
    monitor.OnResponse();
    monitor.Update(kStart + i * milliseconds(100) + milliseconds(90), false);
    EXPECT_FALSE(monitor.cut_off());
  }
}

TEST(Reachability, IsRegainedWithAQuorumOrAResponse) {
  for (const bool by_response : {false, true}) {
    ReachabilityMonitor monitor;
    SendUnanswered(monitor, kStart);
    monitor.Update(kStart + seconds(1), false);
    ASSERT_TRUE(monitor.cut_off());
    if (by_response) {
      monitor.OnResponse();
    }
    monitor.Update(kStart + seconds(2), !by_response);
    EXPECT_FALSE(monitor.cut_off());
  }
}

// Without any quorum, the host serves again after a while and detects the cut
// again.
TEST(Reachability, IsAssumedAgainAfterSomeSeconds) {
  ReachabilityMonitor monitor;
  SendUnanswered(monitor, kStart);
  monitor.Update(kStart + seconds(1), false);
  ASSERT_TRUE(monitor.cut_off());
  monitor.Update(kStart + seconds(9), false);
  EXPECT_FALSE(monitor.cut_off());
  SendUnanswered(monitor, kStart + seconds(9));
  monitor.Update(kStart + seconds(10), false);
  EXPECT_TRUE(monitor.cut_off());
}

// The load balancer removes every host of the zone after its lag.
TEST(Reachability, DelaysRetriesOfACutOffZoneUntilTheBalancerHasSwitched) {
  constexpr Duration kLag = milliseconds(3000);
  ReachabilityMonitor monitor;
  Instant now = kStart;
  for (int i = 0; i < 20; ++i) {
    monitor.OnSent(now);
  }
  now += milliseconds(500);
  monitor.Update(now, false);
  ASSERT_TRUE(monitor.cut_off());
  const Instant cut = now;
  EXPECT_EQ(monitor.RetryAfter(cut, true, kLag), kLag);
  EXPECT_EQ(monitor.RetryAfter(cut + milliseconds(2000), true, kLag),
            milliseconds(1000));
  EXPECT_LE(monitor.RetryAfter(cut + milliseconds(4000), true, kLag),
            milliseconds(10));
  EXPECT_LE(monitor.RetryAfter(cut, false, kLag), milliseconds(10));
}

}  // namespace
}  // namespace snipeworks
