// Searches while a zone is evacuated.

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "fake_targets_test.h"

namespace snipeworks {
namespace {

using std::chrono::milliseconds;

// Targets "t<part>-<replica>" are in the zone "z<replica>".
class EvacuatedZones : public testing::Test {
 protected:
  void Evacuate(std::vector<std::string> zones) {
    fake.controller.SetEvacuatedZones(std::move(zones));
  }

  // Number of attempts in `zone` from index `from` of fake.commands on.
  std::size_t SentIn(const std::string& zone, std::size_t from) const {
    return static_cast<std::size_t>(
        std::count_if(fake.commands.begin() + static_cast<std::ptrdiff_t>(from),
                      fake.commands.end(), [&](const AttemptCommand& command) {
                        return command.target.ends_with("-" + zone.substr(1));
                      }));
  }

  FakeTargets fake;
};

TEST_F(EvacuatedZones, GetNoNewWork) {
  fake.AddTargets(3, 2);
  WarmUp(fake);
  const std::size_t before = fake.commands.size();
  Evacuate({"z0", "unknown"});
  for (int i = 0; i < 30; ++i) {
    const RequestId id = fake.Search("q" + std::to_string(i));
    fake.Run(milliseconds(25));
    EXPECT_TRUE(fake.ResultOf(id)->coverage.complete());
  }
  EXPECT_EQ(SentIn("z0", before), 0U);
  Evacuate({});
  for (int i = 0; i < 30; ++i) {
    fake.Search("r" + std::to_string(i));
    fake.Run(milliseconds(25));
  }
  EXPECT_GT(SentIn("z0", before), 0U);
}

// Hedges and retries of what runs at other targets choose a target anew.
TEST_F(EvacuatedZones, GetNoHedgesAndNoRetries) {
  fake.AddTargets(1, 2);
  WarmUp(fake);
  Evacuate({"z0"});
  const std::size_t before = fake.commands.size();
  bool fails = false;
  fake.behaviour = [&](const AttemptCommand&) {
    return fails ? FakeReply{milliseconds(2), AttemptStatus::kFailed}
                 : FakeReply{milliseconds(400)};
  };
  for (int i = 0; i < 10; ++i) {
    fails = i % 2 == 1;
    fake.Search("q" + std::to_string(i));
    fake.Run(milliseconds(500));
  }
  EXPECT_EQ(SentIn("z0", before), 0U);
}

TEST_F(EvacuatedZones, LeaveWhatRunsThereToFinish) {
  fake.AddTargets(1, 1);
  WarmUp(fake);
  fake.behaviour = [](const AttemptCommand&) {
    return FakeReply{milliseconds(50)};
  };
  const RequestId id = fake.Search("q");
  fake.Run(milliseconds(5));
  Evacuate({"z0"});
  fake.Run(milliseconds(60));
  EXPECT_TRUE(fake.ResultOf(id));
}

// An attempt may wait for a connection longer than it takes to evacuate.
TEST_F(EvacuatedZones, GetNothingThatWaitsForAConnection) {
  fake.AddTargets(2, 2);
  WarmUp(fake);
  fake.unsent_cancelled.clear();
  Evacuate({"z1"});
  fake.Run(milliseconds(1));
  const std::vector<std::string> expected = {"t0-1", "t1-1"};
  EXPECT_EQ(fake.unsent_cancelled, expected);
}

TEST_F(EvacuatedZones, AreNamedAsTheReason) {
  fake.AddTargets(2, 1);
  WarmUp(fake);
  Evacuate({"z0"});
  const RequestId refused = fake.Search("q0");
  fake.Run(milliseconds(5));
  ASSERT_FALSE(fake.ResultOf(refused));
  EXPECT_EQ(fake.ResultOf(refused).error().kind, ErrorKind::kNoTarget);
  EXPECT_NE(fake.ResultOf(refused).error().detail.find("evacuated"),
            std::string::npos);
}

// Parts that wait for a slot are not left waiting for targets that get no work.
TEST_F(EvacuatedZones, EndWhatWaitsForThem) {
  fake.slots = 1;
  fake.AddTargets(1, 1);
  WarmUp(fake);
  fake.behaviour = [](const AttemptCommand&) {
    return FakeReply{milliseconds(40)};
  };
  fake.Search("q");
  const RequestId waiting = fake.Search("q");
  fake.Run(milliseconds(5));
  const std::size_t before = fake.commands.size();
  Evacuate({"z0"});
  fake.Run(milliseconds(20));
  ASSERT_TRUE(fake.Finished(waiting));
  EXPECT_NE(fake.ResultOf(waiting).error().detail.find("evacuated"),
            std::string::npos);
  EXPECT_EQ(fake.commands.size(), before);
}

}  // namespace
}  // namespace snipeworks
