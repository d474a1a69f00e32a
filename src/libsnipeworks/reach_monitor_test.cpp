#include "snipeworks/reach_monitor.h"

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

// One search over forty targets of other zones, none of which responds.
void SendInVain(ReachabilityMonitor& monitor, Instant now) {
  for (int i = 0; i < 40; ++i) {
    monitor.OnSent(now);
  }
}

TEST(Reach, IsLostWhenNeitherTargetsNorAQuorumOfOtherZonesRespond) {
  ReachabilityMonitor monitor;
  SendInVain(monitor, kStart);
  monitor.Update(kStart + milliseconds(100), false);
  EXPECT_FALSE(monitor.cut_off());
  monitor.Update(kStart + milliseconds(500), false);
  EXPECT_TRUE(monitor.cut_off());
}

TEST(Reach, IsNotLostWhileAQuorumIsHeard) {
  ReachabilityMonitor monitor;
  SendInVain(monitor, kStart);
  monitor.Update(kStart + seconds(2), true);
  EXPECT_FALSE(monitor.cut_off());
}

// The control hosts are down, and targets respond.
TEST(Reach, IsNotLostWhileTargetsOfOtherZonesRespond) {
  ReachabilityMonitor monitor;
  for (int i = 0; i < 20; ++i) {
    SendInVain(monitor, kStart + i * milliseconds(100));
    monitor.OnResponse();
    monitor.Update(kStart + i * milliseconds(100) + milliseconds(90), false);
    EXPECT_FALSE(monitor.cut_off());
  }
}

TEST(Reach, IsRegainedWithAQuorumOrAResponse) {
  for (const bool by_response : {false, true}) {
    ReachabilityMonitor monitor;
    SendInVain(monitor, kStart);
    monitor.Update(kStart + seconds(1), false);
    ASSERT_TRUE(monitor.cut_off());
    if (by_response) {
      monitor.OnResponse();
    }
    monitor.Update(kStart + seconds(2), !by_response);
    EXPECT_FALSE(monitor.cut_off());
  }
}

// Without a quorum for good, the host serves again and finds out anew.
TEST(Reach, IsTriedAgainAfterSomeSeconds) {
  ReachabilityMonitor monitor;
  SendInVain(monitor, kStart);
  monitor.Update(kStart + seconds(1), false);
  ASSERT_TRUE(monitor.cut_off());
  monitor.Update(kStart + seconds(9), false);
  EXPECT_FALSE(monitor.cut_off());
  SendInVain(monitor, kStart + seconds(9));
  monitor.Update(kStart + seconds(10), false);
  EXPECT_TRUE(monitor.cut_off());
}

// The balancer looks away from every host of the zone after its lag.
TEST(Reach, SendsCallersOfACutZoneBackWhenTheyMeetAnotherZone) {
  constexpr Duration kLag = milliseconds(3000);
  ReachabilityMonitor reach;
  Instant now = kStart;
  for (int i = 0; i < 20; ++i) {
    reach.OnSent(now);
  }
  now += milliseconds(500);
  reach.Update(now, false);
  ASSERT_TRUE(reach.cut_off());
  const Instant cut = now;
  EXPECT_EQ(reach.RetryAfter(cut, true, kLag), kLag);
  EXPECT_EQ(reach.RetryAfter(cut + milliseconds(2000), true, kLag),
            milliseconds(1000));
  EXPECT_LE(reach.RetryAfter(cut + milliseconds(4000), true, kLag),
            milliseconds(10));
  EXPECT_LE(reach.RetryAfter(cut, false, kLag), milliseconds(10));
}

}  // namespace
}  // namespace snipeworks
