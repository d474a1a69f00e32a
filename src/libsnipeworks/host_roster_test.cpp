#include "snipeworks/host_roster.h"

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

TEST(HostRosters, TellOfEachHostSeldom) {
  HostRoster roster;
  std::size_t told = 0;
  Instant now = kStart;
  // Two hundred hosts that ask once a second, for a minute.
  for (int tick = 0; tick < 120; ++tick, now += milliseconds(500)) {
    for (int host = 0; tick % 2 == 0 && host < 200; ++host) {
      roster.Hear(now, "entry-" + std::to_string(host));
    }
    told += roster.TakeNews(now, "control-2").size();
  }
  EXPECT_GE(told, 200U * 4U);
  EXPECT_LE(told, 200U * 5U);
  EXPECT_EQ(roster.size(), 200U);
}

TEST(HostRosters, TellOfANewHostAtOnceAndAgainIfThatWasLost) {
  HostRoster roster;
  roster.Hear(kStart, "entry-1");
  EXPECT_EQ(roster.TakeNews(kStart, "control-2").size(), 1U);
  EXPECT_TRUE(roster.TakeNews(kStart, "control-2").empty());
  EXPECT_EQ(roster.TakeNews(kStart, "control-3").size(), 1U);
  roster.NotTold("control-2");
  EXPECT_EQ(roster.TakeNews(kStart, "control-2").size(), 1U);
}

// Two control hosts that passed on what they had from each other would keep a
// host that is gone for ever.
TEST(HostRosters, ForgetAHostThatNobodyHears) {
  HostRoster first;
  HostRoster second;
  first.Hear(kStart, "entry-1");
  Instant now = kStart;
  for (; now < kStart + seconds(70); now += milliseconds(500)) {
    for (const std::string& host : first.TakeNews(now, "second")) {
      second.HearOf(now, host);
      EXPECT_TRUE(second.TakeNews(now, "third").empty());
    }
    for (const std::string& host : second.TakeNews(now, "first")) {
      first.HearOf(now, host);
    }
    first.Prune(now);
    second.Prune(now);
    if (now < kStart + seconds(60)) {
      EXPECT_EQ(first.size(), 1U);
    }
  }
  EXPECT_EQ(first.size(), 0U);
  EXPECT_EQ(second.size(), 0U);
}

}  // namespace
}  // namespace snipeworks
