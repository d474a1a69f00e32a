#include "snipeworks/group_set.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "snipeworks/control_calls.h"
#include "snipeworks/forward_message.h"
#include "snipeworks/forward_plan.h"
#include "snipeworks/relay_messages.h"
#include "snipeworks/routing.h"

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using Names = std::vector<std::string>;

// A document whose route "all" has these shards.
std::string DocumentWith(const std::string& version,
                         const std::string& shards) {
  return R"({"version": )" + version + R"(, "routes": [
      {"name": "all", "host": "search.test", "path_prefix": "/",
       "kind": "repeatable", "timeout_ms": 1000, "shards": )" +
         shards + R"(, "top_records": 2, "min_shard_share": 0.75}],
      "groups": [{"name": "a"}, {"name": "b"}, {"name": "c"}]})";
}

Routing ParsedWith(const std::string& version, const std::string& shards) {
  auto routing = ParseRouting(DocumentWith(version, shards), RoutingNames());
  EXPECT_TRUE(routing) << routing.error().detail;
  return *routing;
}

// `bytes`, an encoded message with the groups "a", "b" and "c", as an earlier
// version encodes it that knows them as "a", "a" and "b".
std::string WithRepeatedGroup(std::string bytes) {
  const std::string once =
      "\xa1"
      "a"
      "\xa1"
      "b"
      "\xa1"
      "c";
  const std::string repeated =
      "\xa1"
      "a"
      "\xa1"
      "a"
      "\xa1"
      "b";
  const auto at = bytes.find(once);
  EXPECT_NE(at, std::string::npos);
  return bytes.replace(at, once.size(), repeated);
}

TEST(GroupSets, KeepTheFirstMentionOfEachName) {
  const GroupSet groups = GroupSet::Of({"b", "a", "b", "c", "a", "b"});
  EXPECT_EQ(groups.names(), (Names{"b", "a", "c"}));
  EXPECT_EQ(groups, GroupSet::Of({"b", "a", "c"}));
  EXPECT_TRUE(GroupSet::Of({}).empty());
}

// Guards against a shard that is searched, counted and merged twice because the
// operator's document, or a host of an earlier version, names it twice.
class RepeatedShards : public testing::Test {
 protected:
  const Routing once = ParsedWith("1", R"(["a", "b", "c"])");
};

TEST_F(RepeatedShards, AreDroppedFromDocuments) {
  const Routing routing = ParsedWith("1", R"(["a", "a", "b", "c", "a"])");
  EXPECT_EQ(routing, once);
}

TEST_F(RepeatedShards, AreDroppedFromVersionsOfOtherHosts) {
  const auto routing = Decode<Routing>(WithRepeatedGroup(Encode(once)));
  ASSERT_TRUE(routing);
  EXPECT_EQ(routing->routes[0].shards.names(), (Names{"a", "b"}));
}

TEST_F(RepeatedShards, AreDroppedFromDifferencesBetweenVersions) {
  const Routing before = ParsedWith("0", R"(["c"])");
  const auto change = DiffRouting(before, once);
  ASSERT_TRUE(change);
  const auto decoded =
      Decode<RoutingChange>(WithRepeatedGroup(Encode(*change)));
  ASSERT_TRUE(decoded);
  const auto changed = ApplyRoutingChange(before, *decoded);
  ASSERT_TRUE(changed);
  EXPECT_EQ(changed->routes[0].shards.names(), (Names{"a", "b"}));
}

TEST_F(RepeatedShards, AreDroppedFromRelayedRequests) {
  RelayedForward relayed;
  relayed.groups = GroupSet::Of({"a", "b", "c"});
  const auto decoded =
      Decode<RelayedForward>(WithRepeatedGroup(Encode(relayed)));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->groups.names(), (Names{"a", "b"}));
}

TEST_F(RepeatedShards, AreNoChangeOfTheRoute) {
  const auto change =
      DiffRouting(once, ParsedWith("2", R"(["a", "b", "b", "c"])"));
  ASSERT_TRUE(change);
  EXPECT_TRUE(change->routes.empty());
}

TEST_F(RepeatedShards, CountOnceInPlansAndAnswers) {
  ForwardPlanner planner({}, milliseconds(10), 1);
  planner.SetRouting(ParsedWith("2", R"(["a", "a", "a", "b", "c"])"));
  SearchRequest request;
  request.plan = planner.Plan(*planner.table()->Find("search.test", "/"));
  EXPECT_EQ(request.plan->groups, (Names{"a", "b", "c"}));
  request.forwarded = std::make_shared<ForwardedRequest>();
  const auto part = [](const std::string& group) {
    auto answer = std::make_shared<TargetAnswer>();
    answer->signature = group;
    answer->body = std::string(16, group.front());
    return answer;
  };
  SearchAnswer answer;
  answer.answers = {part("a"), part("c")};
  const HttpResponse response =
      ToResponse(answer, request, {.top_records = 2}, ForwardNames());
  EXPECT_EQ(FindHeader(response.headers, ForwardNames().missing_parts), "1");
}

// A group that is named twice among weighted ones has the sum of its weights.
TEST(RepeatedWeightedGroups, AddUp) {
  auto routing = ParseRouting(
      R"({"version": 1, "routes": [
            {"name": "split", "host": "h", "path_prefix": "/",
             "timeout_ms": 1000, "weighted_groups": [
               {"group": "a", "weight": 1}, {"group": "b", "weight": 2},
               {"group": "a", "weight": 1}]}],
          "groups": [{"name": "a"}, {"name": "b"}]})",
      RoutingNames());
  ASSERT_TRUE(routing) << routing.error().detail;
  ForwardPlanner planner({}, milliseconds(10), 1);
  planner.SetRouting(*routing);
  const Route* split = planner.table()->Find("h", "/");
  int sent_to_a = 0;
  for (int i = 0; i < 400; ++i) {
    sent_to_a += planner.Plan(*split)->groups[0] == "a" ? 1 : 0;
  }
  EXPECT_NEAR(sent_to_a, 200, 3);
}

}  // namespace
}  // namespace snipeworks
