#include "snipeworks/routing.h"

#include <gtest/gtest.h>

#include "snipeworks/control_calls.h"
#include "snipeworks/forward_plan.h"
#include "snipeworks/record_merge.h"

namespace snipeworks {
namespace {

using std::chrono::milliseconds;

constexpr char kDocument[] = R"({
  "version": 7,
  "routes": [
    {"name": "all", "host": "Search.example", "path_prefix": "/",
     "kind": "repeatable", "timeout_ms": 1000, "objective_ms": 100, "rank": 1,
     "shards": ["a", "b", "c"], "max_attempts": 2, "top_records": 5,
     "min_shard_share": 0.5},
    {"name": "orders", "host": "search.example", "path_prefix": "/orders/",
     "kind": "once", "timeout_ms": 500, "group": "a"},
    {"name": "split", "host": "search.example", "path_prefix": "/orders/new/",
     "kind": "repeatable", "timeout_ms": 500,
     "weighted_groups": [{"group": "a", "weight": 3}, {"group": "b"}]}
  ],
  "groups": [{"name": "a", "max_connections": 9}, {"name": "b"}, {"name": "c"}],
  "limits": {"max_body_bytes": 10, "idle_timeout_ms": 15000},
  "later": "unknown fields are ignored"
})";

Routing ParsedDocument() {
  auto routing = ParseRouting(kDocument, RoutingNames());
  EXPECT_TRUE(routing) << routing.error().detail;
  return *routing;
}

// kDocument with `old_text` replaced.
std::string DocumentWith(const std::string& old_text,
                         const std::string& replacement) {
  std::string text = kDocument;
  const auto at = text.find(old_text);
  EXPECT_NE(at, std::string::npos) << old_text;
  return text.replace(at, old_text.size(), replacement);
}

TEST(RoutingDocuments, ParseAllFields) {
  const Routing routing = ParsedDocument();
  EXPECT_EQ(routing.version, 7U);
  ASSERT_EQ(routing.routes.size(), 3U);
  EXPECT_TRUE(routing.routes[0].repeatable);
  EXPECT_FALSE(routing.routes[1].repeatable);
  EXPECT_EQ(routing.routes[0].shards.size(), 3U);
  EXPECT_EQ(routing.routes[2].groups,
            (std::vector<WeightedGroup>{{"a", 3}, {"b", 1}}));
  EXPECT_EQ(routing.groups[0].max_connections, 9U);
  EXPECT_EQ(routing.limits.idle_timeout_ms, 15000);
  EXPECT_EQ(Decode<Routing>(Encode(routing)), routing);
}

TEST(RoutingDocuments, RejectInvalidDocuments) {
  for (const std::string& document :
       {std::string(kDocument).substr(0, 300), std::string("[]"),
        std::string("\xff\xfe"), DocumentWith("\"version\": 7,", ""),
        DocumentWith("\"version\": 7", "\"version\": \"7\""),
        DocumentWith("\"group\": \"a\"}", "\"group\": \"none\"}"),
        DocumentWith("\"b\", \"c\"]", "\"b\", \"none\"]"),
        DocumentWith("\"/orders/new/\"", "\"/orders/\""),
        DocumentWith("\"weight\": 3}, {\"group\": \"b\"}", "\"weight\": 0}"),
        DocumentWith("\"timeout_ms\": 1000", "\"timeout_ms\": 0")}) {
    EXPECT_FALSE(ParseRouting(document, RoutingNames())) << document;
  }
}

TEST(RouteTables, FindTheLongestPrefix) {
  const RouteTable table(ParsedDocument());
  EXPECT_EQ(table.Find("search.example", "/x")->name, "all");
  EXPECT_EQ(table.Find("SEARCH.example:80", "/orders/7")->name, "orders");
  EXPECT_EQ(table.Find("search.example", "/orders/new/7")->name, "split");
  EXPECT_EQ(table.Find("search.example", "/orders")->name, "all");
  EXPECT_EQ(table.Find("other.example", "/x"), nullptr);
}

TEST(ControlCalls, AreSelectedByMethodAndPath) {
  const ControlNames names;
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/targets/t-1/report";
  request.body = R"({"group":"a","address":"10.0.0.1:80","zone":"z","slots":2,
    "state":"draining","sequence":4,"incarnation":99,"cold_ms":10,"version":"1"})";
  auto report = DecodeControlCall(request, names);
  ASSERT_TRUE(report);
  const Announcement& announcement =
      std::get<TargetReport>(*report).announcement;
  EXPECT_EQ(announcement.target, "t-1");
  EXPECT_EQ(announcement.state, TargetState::kDraining);
  EXPECT_EQ(announcement.incarnation, 99U);
  request.path = "/v1/targets/t-1/leave";
  request.body.clear();
  auto leave = DecodeControlCall(request, names);
  ASSERT_TRUE(leave);
  EXPECT_EQ(std::get<LeaveRequest>(*leave).target, "t-1");
  EXPECT_FALSE(std::get<LeaveRequest>(*leave).incarnation);
  request.path = "/v1/targets/a/b/leave";
  EXPECT_EQ(DecodeControlCall(request, names).error().kind,
            ErrorKind::kUnknownPath);
}

// A report with a missing, mistyped or invalid field must not register a
// target.
TEST(ControlCalls, RejectMalformedReports) {
  const std::string rest =
      R"("version":"1","slots":1,"cold_ms":0,"incarnation":1,"zone":"z",)";
  for (const std::string& body :
       {std::string(), std::string("{}"), std::string("\xff"),
        "{" + rest + R"("group":7,"address":"10.0.0.1:80",
        "state":"serving","sequence":1})",
        "{" + rest + R"("group":"a","address":"10.0.0.1:80",
        "state":"asleep","sequence":1})",
        "{" + rest + R"("group":"a","address":"nowhere",
        "state":"serving","sequence":1})",
        "{" + rest + R"("group":"a","address":"10.0.0.1:80",
        "state":"serving"})",
        "{" + rest + R"("group":"a","address":"10.0.0.1:80",
        "state":"serving","sequence":-1})"}) {
    EXPECT_FALSE(ParseReport("t", body, ReportNames())) << body;
  }
  EXPECT_TRUE(ParseReport("t",
                          "{" + rest + R"("group":"a","address":"10.0.0.1:80",
        "state":"serving","sequence":1})",
                          ReportNames()));
}

TEST(Planners, SplitByWeightOverEveryFewRequests) {
  ForwardPlanner planner({}, milliseconds(10), 1);
  planner.SetRouting(ParsedDocument());
  const Route* split = planner.table()->Find("search.example", "/orders/new/1");
  int sent_to_a = 0;
  for (int i = 1; i <= 400; ++i) {
    sent_to_a += planner.Plan(*split)->groups[0] == "a" ? 1 : 0;
    EXPECT_NEAR(sent_to_a, i * 0.75, 1.5);
  }
}

TEST(Planners, DerivePolicyFromObjectiveAndShardShare) {
  ForwardPlanner planner({}, milliseconds(15), 1);
  planner.SetRouting(ParsedDocument());
  const auto plan = planner.Plan(*planner.table()->Find("search.example", "/"));
  EXPECT_EQ(plan->version, 7U);
  EXPECT_EQ(plan->policy.soft_deadline_ms, 85);
  EXPECT_EQ(plan->policy.min_coverage_permille, 500);
  EXPECT_EQ(plan->policy.max_attempts, 2);
  EXPECT_EQ(plan->policy.answer_rule(), AnswerRule::kSoftDeadline);
}

TEST(Records, TheGreatestOfAllPartsComeFirst) {
  const std::string low(kRecordBytes, '\x01');
  const std::string high(kRecordBytes, '\xff');
  const std::string middle(kRecordBytes, 'm');
  const std::string first = low + high + "rest";
  const std::string second = middle + high;
  EXPECT_EQ(TopRecords({first, second}, 3), high + high + middle);
  EXPECT_EQ(TopRecords({first, second}, 10), high + high + middle + low);
  EXPECT_EQ(TopRecords({"short"}, 10), "");
}

}  // namespace
}  // namespace snipeworks
