#include "snipeworks/entry_host_registry.h"

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

TEST(EntryHostRegistries, TellOfEachHostSeldom) {
  EntryHostRegistry registry;
  std::size_t told = 0;
  Instant now = kStart;
  // Two hundred hosts that ask once a second, for a minute.
  for (int tick = 0; tick < 120; ++tick, now += milliseconds(500)) {
    for (int host = 0; tick % 2 == 0 && host < 200; ++host) {
      registry.Hear(now, "entry-" + std::to_string(host));
    }
    told += registry.TakeNews(now, "control-2").size();
  }
  EXPECT_GE(told, 200U * 4U);
  EXPECT_LE(told, 200U * 5U);
  EXPECT_EQ(registry.size(), 200U);
}

TEST(EntryHostRegistries, TellOfANewHostAtOnceAndAgainIfThatWasLost) {
  EntryHostRegistry registry;
  registry.Hear(kStart, "entry-1");
  EXPECT_EQ(registry.TakeNews(kStart, "control-2").size(), 1U);
  EXPECT_TRUE(registry.TakeNews(kStart, "control-2").empty());
  EXPECT_EQ(registry.TakeNews(kStart, "control-3").size(), 1U);
  registry.NotTold("control-2");
  EXPECT_EQ(registry.TakeNews(kStart, "control-2").size(), 1U);
}

// Two control hosts that passed on what they had from each other would keep a
// host that is gone for ever.
TEST(EntryHostRegistries, ForgetAHostThatNobodyHears) {
  EntryHostRegistry first;
  EntryHostRegistry second;
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
