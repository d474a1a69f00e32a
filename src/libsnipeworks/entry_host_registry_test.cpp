#include "snipeworks/entry_host_registry.h"

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

TEST(EntryHostRegistries, ReportEachHostAtALowRate) {
  EntryHostRegistry registry;
  std::size_t sent = 0;
  Instant now = kStart;
  // Two hundred hosts that call once a second, for a minute.
  for (int tick = 0; tick < 120; ++tick, now += milliseconds(500)) {
    for (int host = 0; tick % 2 == 0 && host < 200; ++host) {
      registry.RecordContact(now, "entry-" + std::to_string(host));
    }
    sent += registry.TakeUpdates(now, "control-2").size();
  }
  EXPECT_GE(sent, 200U * 4U);
  EXPECT_LE(sent, 200U * 5U);
  EXPECT_EQ(registry.size(), 200U);
}

TEST(EntryHostRegistries, ReportANewHostAtOnceAndAgainAfterAFailedDelivery) {
  EntryHostRegistry registry;
  registry.RecordContact(kStart, "entry-1");
  EXPECT_EQ(registry.TakeUpdates(kStart, "control-2").size(), 1U);
  EXPECT_TRUE(registry.TakeUpdates(kStart, "control-2").empty());
  EXPECT_EQ(registry.TakeUpdates(kStart, "control-3").size(), 1U);
  registry.OnDeliveryFailed("control-2");
  EXPECT_EQ(registry.TakeUpdates(kStart, "control-2").size(), 1U);
}

// If two control hosts relayed what they heard from each other, they would keep
// a lost entry host forever.
TEST(EntryHostRegistries, ForgetAHostThatNoControlHostHearsFrom) {
  EntryHostRegistry first;
  EntryHostRegistry second;
  first.RecordContact(kStart, "entry-1");
  Instant now = kStart;
  for (; now < kStart + seconds(70); now += milliseconds(500)) {
    for (const std::string& host : first.TakeUpdates(now, "second")) {
      second.RecordRelayedContact(now, host);
      EXPECT_TRUE(second.TakeUpdates(now, "third").empty());
    }
    for (const std::string& host : second.TakeUpdates(now, "first")) {
      first.RecordRelayedContact(now, host);
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
