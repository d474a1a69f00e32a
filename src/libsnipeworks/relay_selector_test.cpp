#include "snipeworks/relay_selector.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

RelaySelector SelectorOf(const std::vector<RelayHost>& hosts) {
  RelaySelector selector("zone-a", 7);
  selector.SetHosts(hosts);
  return selector;
}

TEST(RelaySelectors, ChooseHostsOfTheOwnZoneWhileTheyHaveLittleToDo) {
  RelaySelector selector = SelectorOf({{"a1", "zone-a", "a1:1"},
                                       {"b1", "zone-b", "b1:1"},
                                       {"b2", "zone-b", "b2:1"}});
  EXPECT_EQ(selector.Choose(kStart, {}), "a1:1");
  // A queue at the host of the own zone sends requests to the others.
  for (int i = 0; i < 4; ++i) {
    selector.OnSent("a1:1");
  }
  EXPECT_NE(selector.Choose(kStart, {}), "a1:1");
  for (int i = 0; i < 4; ++i) {
    selector.OnEnded("a1:1");
  }
  EXPECT_EQ(selector.Choose(kStart, {}), "a1:1");
}

TEST(RelaySelectors, SpreadRequestsOverAllHosts) {
  RelaySelector selector = SelectorOf({{"b1", "zone-b", "b1:1"},
                                       {"b2", "zone-b", "b2:1"},
                                       {"c1", "zone-c", "c1:1"}});
  std::map<std::string, int> sent;
  for (int i = 0; i < 90; ++i) {
    const auto chosen = selector.Choose(kStart, {});
    ASSERT_TRUE(chosen);
    selector.OnSent(*chosen);
    ++sent[*chosen];
  }
  EXPECT_EQ(sent, (std::map<std::string, int>{
                      {"b1:1", 30}, {"b2:1", 30}, {"c1:1", 30}}));
}

TEST(RelaySelectors, LeaveHostsAloneThatRefuseOrDoNotRespond) {
  RelaySelector selector =
      SelectorOf({{"a1", "zone-a", "a1:1"}, {"a2", "zone-a", "a2:1"}});
  selector.OnRefused(kStart, "a1:1");
  EXPECT_EQ(selector.Choose(kStart, {}), "a2:1");
  EXPECT_EQ(selector.Choose(kStart, {"a2:1"}), std::nullopt);
  selector.OnUnreachable(kStart, "a2:1");
  EXPECT_FALSE(selector.HasCandidate(kStart));
  EXPECT_EQ(selector.Choose(kStart, {}), std::nullopt);

  // One that refused is asked again soon, one that is silent less and less.
  EXPECT_EQ(selector.Choose(kStart + milliseconds(500), {}), "a1:1");
  Instant now = kStart + seconds(1);
  EXPECT_TRUE(selector.Choose(now, {"a1:1"}));
  selector.OnUnreachable(now, "a2:1");
  EXPECT_FALSE(selector.Choose(now + milliseconds(1500), {"a1:1"}));
  // The list of hosts does not change that.
  selector.SetHosts({{"a1", "zone-a", "a1:1"}, {"a2", "zone-a", "a2:1"}});
  EXPECT_FALSE(selector.Choose(now + milliseconds(1500), {"a1:1"}));
  EXPECT_TRUE(selector.Choose(now + seconds(2), {"a1:1"}));
}

}  // namespace
}  // namespace snipeworks
