#include "snipeworks/wire.h"

#include <string>
#include <tuple>

#include <gtest/gtest.h>

#include "snipeworks/membership_messages.h"
#include "snipeworks/routing.h"

namespace snipeworks {
namespace {

// The groups of versions without limits of cold targets.
struct EarlierGroupSpec {
  std::string name;
  std::string health_path;
  std::uint32_t max_connections = 0;
};

template <SameStruct<EarlierGroupSpec> S>
auto WireFields(S& v) {
  return std::tie(v.name, v.health_path, v.max_connections);
}

// Hosts of earlier versions must read messages that use nothing new, and theirs
// must be read: otherwise hosts that are replaced one by one lose contact.
TEST(OptionalFields, AreLeftOutWhileTheyHaveTheirDefaults) {
  const GroupSpec group{"a", "/health", 30};
  const auto earlier = Decode<EarlierGroupSpec>(Encode(group));
  ASSERT_TRUE(earlier);
  EXPECT_EQ(earlier->name, "a");
  EXPECT_EQ(earlier->max_connections, 30U);
  EXPECT_EQ(Decode<GroupSpec>(Encode(*earlier)), group);
}

TEST(OptionalFields, AreKeptUpToTheLastThatIsSet) {
  GroupSpec group{"a", "/health", 30};
  group.cold_start_ms = 3000;
  EXPECT_EQ(Decode<GroupSpec>(Encode(group)), group);
  EXPECT_FALSE(Decode<EarlierGroupSpec>(Encode(group)));
  group = {"a", "/health", 30, 5.0};
  EXPECT_EQ(Decode<GroupSpec>(Encode(group)), group);
}

TEST(OptionalFields, OfNestedMessagesAreLeftOutToo) {
  Routing routing;
  routing.routes.push_back({});
  const Routing with_customers{1, {}, {}, {}, {{"c", {"k"}, 0, 2.0, 4.0}}};
  EXPECT_EQ(Decode<Routing>(Encode(routing)), routing);
  EXPECT_EQ(Decode<Routing>(Encode(with_customers)), with_customers);
  EXPECT_LT(EncodedFieldCount(routing), EncodedFieldCount(with_customers));
}

// Entry hosts and control hosts of earlier versions read both messages while
// no zone is evacuated.
TEST(OptionalFields, OfWatchesAreLeftOutWithoutEvacuations) {
  constexpr std::size_t kEarlierRequestFields = 14;
  constexpr std::size_t kEarlierReplyFields = 18;
  WatchRequest request;
  WatchReply reply;
  EXPECT_EQ(EncodedFieldCount(request), kEarlierRequestFields);
  EXPECT_EQ(EncodedFieldCount(reply), kEarlierReplyFields);
  reply.evacuation_index = 7;
  reply.evacuated_zones = {{"a", 1}};
  const auto decoded = Decode<WatchReply>(Encode(reply));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->evacuated_zones, reply.evacuated_zones);
  // The end of the last evacuation.
  reply.evacuated_zones.clear();
  EXPECT_EQ(Decode<WatchReply>(Encode(reply))->evacuation_index, 7U);
}

}  // namespace
}  // namespace snipeworks
