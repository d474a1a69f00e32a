#include "snipeworks/entry_host_registry.h"

#include <map>
#include <string>

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

RelayHost Host(const std::string& name, const std::string& zone = "zone-a") {
  return {name, zone, name + ":7000"};
}

TEST(EntryHostRegistries, ReportEachHostAtALowRate) {
  EntryHostRegistry registry;
  std::size_t sent = 0;
  Instant now = kStart;
  // Two hundred hosts that call once a second, for a minute.
  for (int tick = 0; tick < 120; ++tick, now += milliseconds(500)) {
    for (int host = 0; tick % 2 == 0 && host < 200; ++host) {
      registry.RecordContact(now, Host("entry-" + std::to_string(host)));
    }
    sent += registry.TakeUpdates(now, "control-2").size();
  }
  EXPECT_GE(sent, 200U * 4U);
  EXPECT_LE(sent, 200U * 5U);
  EXPECT_EQ(registry.size(), 200U);
}

TEST(EntryHostRegistries, ReportANewHostAtOnceAndAgainAfterAFailedDelivery) {
  EntryHostRegistry registry;
  registry.RecordContact(kStart, Host("entry-1"));
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
  first.RecordContact(kStart, Host("entry-1"));
  Instant now = kStart;
  for (; now < kStart + seconds(70); now += milliseconds(500)) {
    for (const RelayHost& host : first.TakeUpdates(now, "second")) {
      second.RecordRelayedContact(now, host);
      EXPECT_TRUE(second.TakeUpdates(now, "third").empty());
    }
    for (const RelayHost& host : second.TakeUpdates(now, "first")) {
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

TEST(EntryHostRegistries, NameSomeRelaysOfEachZoneAndSpreadTheirWork) {
  EntryHostRegistry registry;
  for (int i = 0; i < 60; ++i) {
    for (const char* zone : {"zone-a", "zone-b", "zone-c"}) {
      registry.RecordContact(
          kStart, Host(zone + std::string("-") + std::to_string(i), zone));
    }
  }
  std::map<std::string, int> origins_by_relay;
  for (int i = 0; i < 60; ++i) {
    const std::string origin = "zone-a-" + std::to_string(i);
    const std::vector<RelayHost> relays = registry.RelaysFor(origin);
    EXPECT_EQ(relays.size(), 12U);
    for (const RelayHost& relay : relays) {
      EXPECT_NE(relay.host, origin);
      ++origins_by_relay[relay.host];
    }
  }
  // No host serves as a relay of a large part of a zone.
  for (const auto& [relay, origins] : origins_by_relay) {
    EXPECT_LE(origins, 30) << relay;
  }
  // A host that has moved or gone is named no more.
  registry.RecordContact(kStart + seconds(61), Host("zone-a-0"));
  registry.Prune(kStart + seconds(61));
  EXPECT_TRUE(registry.RelaysFor("zone-a-0").empty());
}

}  // namespace
}  // namespace snipeworks
