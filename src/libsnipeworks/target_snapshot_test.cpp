#include "snipeworks/target_snapshot.h"

#include <string>

#include <gtest/gtest.h>

#include "snipeworks/target_directory.h"

namespace snipeworks {
namespace {

using std::chrono::seconds;

constexpr std::int64_t kWallMs = 1'770'000'000'000;

Announcement Target(const std::string& name) {
  Announcement target;
  target.target = name;
  target.incarnation = 7;
  target.sequence = 3;
  target.zone = "a";
  target.address = "127.0.0.1:80";
  target.group = "g";
  return target;
}

TEST(TargetSnapshots, AreReadBackWhileTheyAreRecent) {
  const TargetSnapshot snapshot{kWallMs, {Target("t-1"), Target("t-2")}};
  const std::string bytes = EncodeTargetSnapshot(snapshot);
  const auto read = DecodeTargetSnapshot(bytes, kWallMs + 5000, seconds(60));
  ASSERT_TRUE(read);
  EXPECT_EQ(*read, snapshot.targets);
  EXPECT_FALSE(DecodeTargetSnapshot(bytes, kWallMs + 61'000, seconds(60)));
  EXPECT_FALSE(DecodeTargetSnapshot(bytes, kWallMs - 61'000, seconds(60)));
}

// A file that was torn by a loss of power must not name targets.
TEST(TargetSnapshots, AreRefusedIfTheyAreDamaged) {
  const std::string bytes = EncodeTargetSnapshot({kWallMs, {Target("t-1")}});
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    EXPECT_FALSE(
        DecodeTargetSnapshot(bytes.substr(0, i), kWallMs, seconds(60)));
    std::string flipped = bytes;
    flipped[i] = static_cast<char>(flipped[i] ^ 0x01);
    EXPECT_FALSE(DecodeTargetSnapshot(flipped, kWallMs, seconds(60))) << i;
  }
}

// A target that left before the loss of power must not come back from the file.
TEST(TargetSnapshots, DoNotBringBackTargetsThatHaveDeparted) {
  TargetDirectory directory(seconds(6));
  const Instant now{};
  directory.MarkDeparted(now, {"t-1", 7});
  directory.Apply(now, Target("t-1"));
  EXPECT_EQ(directory.view().Find("t-1")->state, TargetState::kDraining);
}

// A target that does not report again within its lease is gone.
TEST(TargetSnapshots, HoldForOneLease) {
  TargetDirectory directory(seconds(6));
  Instant now{};
  directory.Apply(now, Target("t-1"));
  now += seconds(5);
  EXPECT_TRUE(directory.ExpireLeases(now).empty());
  now += seconds(2);
  EXPECT_EQ(directory.ExpireLeases(now).size(), 1U);
}

}  // namespace
}  // namespace snipeworks
