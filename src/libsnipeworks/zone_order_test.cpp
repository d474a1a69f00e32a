#include "snipeworks/zone_order.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "fake_cluster_test.h"

namespace snipeworks {
namespace {

using std::chrono::milliseconds;

ControlCommand OrderAbout(const std::string& zone,
                          bool evacuate,
                          const std::string& id = "own") {
  ControlCommand order;
  order.kind = evacuate ? CommandKind::kEvacuate : CommandKind::kReadmit;
  order.zone = zone;
  order.change_id = id;
  return order;
}

// Guards against an order that ends, when it arrives late, what was ordered
// and acknowledged after it.
class LateZoneOrders : public testing::Test {
 protected:
  void Commit(const ControlCommand& command) {
    encoded_.push_back(Encode(command));
  }

  bool IsOvertaken(const ControlCommand& order) const {
    return snipeworks::IsOvertaken(order, {encoded_.begin(), encoded_.end()});
  }

 private:
  std::vector<std::string> encoded_;
};

TEST_F(LateZoneOrders, AreOvertakenByALaterOppositeOrder) {
  Commit(OrderAbout("a", false, "resent"));
  Commit(OrderAbout("a", true, "later"));
  EXPECT_TRUE(IsOvertaken(OrderAbout("a", false)));
}

TEST_F(LateZoneOrders, AreHarmlessIfTheyRepeatTheNewestOne) {
  Commit(OrderAbout("a", true, "before"));
  Commit(OrderAbout("a", false, "later"));
  EXPECT_FALSE(IsOvertaken(OrderAbout("a", false)));
}

TEST_F(LateZoneOrders, AreNotOvertakenByOrdersAboutOtherZones) {
  Commit(OrderAbout("ab", true, "later"));
  ControlCommand other;
  other.text = "a";
  Commit(other);
  EXPECT_FALSE(IsOvertaken(OrderAbout("a", false)));
}

// The reply to a proposal was lost: the order itself is in the log.
TEST_F(LateZoneOrders, AreAnsweredAsBeforeIfTheyAreRepeatedProposals) {
  Commit(OrderAbout("a", false, "own"));
  Commit(OrderAbout("a", true, "later"));
  EXPECT_FALSE(IsOvertaken(OrderAbout("a", false, "own")));
}

TEST_F(LateZoneOrders, AreOvertakenByNothingOnTheNewestState) {
  EXPECT_FALSE(IsOvertaken(OrderAbout("a", true)));
}

TEST(ZoneOrdersOfTheLog, AreFoundAmongOtherCommands) {
  const std::vector<std::string> encoded = {
      Encode(OrderAbout("a", true, "1")), Encode(OrderAbout("b", true, "2")),
      Encode(OrderAbout("a", false, "3")), "a"};
  const std::vector<std::string_view> commands(encoded.begin(), encoded.end());
  EXPECT_EQ(ZoneOrders("a", commands),
            (std::vector<ControlCommand>{OrderAbout("a", true, "1"),
                                         OrderAbout("a", false, "3")}));
  EXPECT_TRUE(ZoneOrders("c", commands).empty());
}

// The first reversal is acknowledged without a wait.
TEST(Reversals, AreRepeatedIfTwoOrdersCameShortlyBefore) {
  const auto at = [](bool evacuate, std::int64_t time_s) {
    ControlCommand order = OrderAbout("a", evacuate, std::to_string(time_s));
    order.time_s = time_s;
    return Encode(order);
  };
  const std::vector<std::string> encoded = {at(true, 100), at(false, 150),
                                            at(true, 160)};
  const std::vector<std::string_view> commands(encoded.begin(), encoded.end());
  const ControlCommand readmit = OrderAbout("a", false);
  EXPECT_TRUE(IsRepeatedReversal(readmit, commands, 149));
  EXPECT_FALSE(IsRepeatedReversal(readmit, commands, 150));
  EXPECT_FALSE(IsRepeatedReversal(OrderAbout("a", true), commands, 149));
  EXPECT_FALSE(IsRepeatedReversal(OrderAbout("b", false), commands, 149));
  EXPECT_FALSE(IsRepeatedReversal(readmit, {commands[0]}, 0));
}

class AppliedHistories : public testing::Test {
 protected:
  static Instant At(int ms) { return Instant(milliseconds(1000 + ms)); }

  AppliedHistory history;
};

TEST_F(AppliedHistories, TellWhatWasAppliedAtATime) {
  history.Record(At(0), 5);
  history.Record(At(100), 5);
  history.Record(At(200), 9);
  EXPECT_EQ(history.At(At(-1)), 0U);
  EXPECT_EQ(history.At(At(0)), 5U);
  EXPECT_EQ(history.At(At(199)), 5U);
  EXPECT_EQ(history.At(At(200)), 9U);
  history.Clear();
  EXPECT_EQ(history.At(At(300)), 0U);
}

// An index that is too low only makes orders look older.
TEST_F(AppliedHistories, NeverTellMoreThanWasApplied) {
  for (int i = 0; i < 20000; ++i) {
    history.Record(At(i), static_cast<LogIndex>(i));
  }
  for (int i = 0; i < 20000; ++i) {
    EXPECT_LE(history.At(At(i)), static_cast<LogIndex>(i));
  }
  EXPECT_GE(history.At(At(19999)), 19980U);
}

TEST(CommandsOfTheLog, AreThoseBehindAnIndexUntilCompactionRemovesThem) {
  FakeCluster cluster(9);
  ConsensusNode& leader = *cluster.Leader()->node;
  const LogIndex before = leader.last_index();
  ASSERT_TRUE(leader.Propose(cluster.now, "first"));
  leader.Flush(cluster.now);
  ASSERT_TRUE(leader.Propose(cluster.now, "not stored yet"));
  using Commands = std::vector<std::string_view>;
  EXPECT_EQ(leader.CommandsAfter(before),
            (Commands{"first", "not stored yet"}));
  EXPECT_EQ(leader.CommandsAfter(before + 1), (Commands{"not stored yet"}));
  EXPECT_EQ(leader.CommandsAfter(before + 2), Commands{});
  EXPECT_EQ(leader.CommandsAfter(before + 100), Commands{});
  while (leader.first_index() <= before + 1) {
    cluster.Propose(*cluster.Leader());
    cluster.Run(milliseconds(20));
  }
  EXPECT_EQ(leader.CommandsAfter(before), std::nullopt);
}

}  // namespace
}  // namespace snipeworks
