// Runs every parser of external input on randomly corrupted input. A parser may
// reject it but must not fail in any other way, and an announcement that it
// accepts must survive a round trip.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "snipeworks/announcement.h"
#include "snipeworks/caller_api.h"
#include "snipeworks/control_messages.h"
#include "snipeworks/fleet_settings.h"
#include "snipeworks/host_settings.h"
#include "snipeworks/json_reader.h"
#include "snipeworks/target_protocol.h"
#include "snipeworks/trace.h"

namespace snipeworks {
namespace {

Announcement SampleAnnouncement() {
  Announcement one;
  one.target = "t";
  one.incarnation = 3;
  one.sequence = 9;
  one.zone = "z";
  one.address = "127.0.0.1:1";
  one.group = "g";
  one.slots = 3;
  one.connections = 30;
  one.snapshots = {{{{1, "d"}, {{0, 10}, {1, 20}}}, {1}}};
  return one;
}

std::string Corrupted(std::string text) {
  const int changes = *rc::gen::inRange(0, 6);
  for (int i = 0; i < changes && !text.empty(); ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        text[at] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        text.erase(at, *rc::gen::inRange<std::size_t>(1, 8));
        break;
      default:
        text.insert(at, *rc::gen::element<std::string>("{", "}", "[", "\"",
                                                       "-1", "1e99", "null"));
    }
  }
  return text;
}

RC_GTEST_PROP(Parsers, CorruptedAnnouncementsAreHandled, ()) {
  auto parsed = ParseAnnouncement(Corrupted(ToJson(SampleAnnouncement())));
  if (parsed) {
    RC_ASSERT((ParseAnnouncement(ToJson(*parsed)) == parsed));
  }
}

RC_GTEST_PROP(Parsers, CorruptedRunMessagesAreHandled, ()) {
  const RunRequest request{"a", "g", {1, "d"}, 2, "query", Duration(5), ""};
  (void)ParseRunRequest(Corrupted(ToJson(request)));
  RunAnswer answer{"a", {}};
  answer.outcome.status = AttemptStatus::kAnswered;
  answer.outcome.snapshot = {1, "d"};
  answer.outcome.hits = {{"doc", 0.5}};
  (void)ParseRunAnswer(Corrupted(ToJson(answer)));
}

RC_GTEST_PROP(Parsers, CorruptedSettingsAreHandled, ()) {
  (void)FleetSettings::Parse(Corrupted(
      R"({"defaults":{"deadline_ms":5,"answer":"coverage"},
          "exceptions":[{"group":"g","set":{"canary":"off"},"reason":"r"}]})"));
  (void)HostSettings::Parse(Corrupted(
      R"({"host":"h","zone":"z","http":"127.0.0.1:1","peer":"127.0.0.1:2",
          "entry_hosts":[{"host":"h","zone":"z","peer":"127.0.0.1:2"}]})"));
}

RC_GTEST_PROP(Parsers, CorruptedCallerRequestsAreHandled, ()) {
  HttpRequest request;
  request.body = Corrupted(R"({"query":"hide","limit":5})");
  request.headers = {{kDeadlineHeader, Corrupted("100")},
                     {kClassHeader, Corrupted("urgent")}};
  (void)ParseSearch("g", request);
  (void)GroupInPath(Corrupted("/v1/groups/g/search"), "search");
  (void)TraceContext::Parse(
      Corrupted("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"));
}

RC_GTEST_PROP(Parsers, CorruptedHostMessagesAreHandled, ()) {
  AnnouncementBatch batch{"h", {{SampleAnnouncement(), 5}}};
  (void)Decode<AnnouncementBatch>(Corrupted(Encode(batch)));
  (void)Decode<RenewalBatch>(Corrupted(
      Encode(RenewalBatch{"h", 1, 2, {{"t", 1, 2, 3, 4, 5}}, "a:1"})));
  ConsensusMessage message;
  message.entries = {{1, 1, EntryKind::kCommand, "c", {}}};
  (void)Decode<ConsensusMessage>(Corrupted(Encode(message)));
  (void)Decode<ControlCommand>(Corrupted(Encode(ControlCommand())));
}

TEST(Parsers, AnOutOfRangeNumberIsRejected) {
  auto parsed = ParseJson(R"({"limit":1e990})");
  ASSERT_FALSE(parsed);
  EXPECT_EQ(parsed.error().kind, ErrorKind::kBadRequest);
}

TEST(Parsers, MessagesSurviveARoundTrip) {
  ConsensusMessage message;
  message.kind = ConsensusKind::kSnapshot;
  message.from = "c1";
  message.snapshot = {{7, 2, {{"c1", "a", "d", true}}, "state"}};
  EXPECT_EQ(Decode<ConsensusMessage>(Encode(message)), message);
  const RunRequest request{"a", "g", {1, "d"}, 2, "q", Duration(5), "k"};
  EXPECT_EQ(ParseRunRequest(ToJson(request)), request);
}

TEST(FleetSettingsParsing, ErrorsNameTheLine) {
  const auto error_of = [](const std::string& text) {
    auto parsed = FleetSettings::Parse(text);
    return parsed ? "" : parsed.error().detail;
  };
  EXPECT_EQ(error_of("{\n\"defaults\": {\n\"deadline\": 1}}"),
            "line 3: deadline: unknown setting");
  EXPECT_EQ(error_of("{\n\"defaults\": {\"deadline_ms\": 0}}"),
            "line 2: deadline_ms: must be a whole number from 1 to 60000");
  EXPECT_EQ(error_of("{\n // why\n \"exceptions\": [{\"group\": \"g\"}]}"),
            "line 3: exceptions: exceptions.reason: must be a string");
  EXPECT_EQ(error_of("{\n\n x"), "line 3: not valid JSON");
  EXPECT_EQ(error_of(R"({"exceptions":[{"group":"g","set":{"lease_ms":500},
                      "reason":"r"}]})"),
            "line 1: lease_ms: applies to the whole fleet; set it in defaults");
}

TEST(FleetSettingsParsing, AnExceptionChangesItsGroupOnly) {
  auto settings = FleetSettings::Parse(
      R"({"defaults":{"deadline_ms":7},
          "exceptions":[{"group":"g","set":{"deadline_ms":9},"reason":"r"}]})");
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->PolicyFor("g").deadline_ms, 9);
  EXPECT_EQ(settings->PolicyFor("h").deadline_ms, 7);
}

}  // namespace
}  // namespace snipeworks
