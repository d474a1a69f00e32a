// Replays of fleets of which a zone is evacuated, or targets are cold.

#include <gtest/gtest.h>

#include "model_fleet_test.h"

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261206;
constexpr std::size_t kHosts = 66;
constexpr std::size_t kGroups = 6;

ModelTarget QuickTarget() {
  ModelTarget target_template;
  target_template.announcement.slots = 4;
  target_template.announcement.connections = 66;
  target_template.work = milliseconds(7);
  return target_template;
}

// Load pattern: 66 hosts with uneven demand. Some targets become cold at the
// same time, and all hosts learn of it.
class ColdTargets : public testing::Test {
 protected:
  static constexpr double kLimit = 20.0;
  static constexpr std::size_t kAllowed = 35;  // In a second.
  static constexpr Duration kColdTime = seconds(8);

  ColdTargets() : fleet_(kSeed, kHosts, 3) {
    fleet_.AddTargets(kGroups, QuickTarget());
    fleet_.ShareConditions(milliseconds(400));
    fleet_.ForEachHost([&](SearchController& host) {
      StringMap<ColdLimit> limits;
      for (std::size_t group = 0; group < kGroups; ++group) {
        limits["g" + std::to_string(group)] = {kLimit, {}};
      }
      host.SetColdLimits(fleet_.now(), limits);
    });
  }

  void MakeColdAfter(Duration after, std::size_t first_zone) {
    fleet_.ScheduleAfter(after, [first_zone](ModelFleet& fleet) {
      fleet.ForEachTarget([&](ModelTarget& target) {
        if (target.announcement.zone >= "zone-" + std::to_string(first_zone)) {
          target.announcement.cold_ms =
              static_cast<std::uint32_t>(kColdTime / milliseconds(1));
          fleet.Announce(target);
        }
      });
    });
  }

  // The most arrivals in a second at a target of `first_zone` or a later one,
  // in the time that it is cold. Requests that are on their way arrive within
  // the first milliseconds.
  std::size_t WorstSecond(Instant cold_at, std::size_t first_zone) {
    std::size_t worst = 0;
    fleet_.ForEachTarget([&](ModelTarget& target) {
      if (target.announcement.zone >= "zone-" + std::to_string(first_zone)) {
        std::erase_if(target.arrivals,
                      [&](Instant at) { return at >= cold_at + kColdTime; });
        worst = std::max(
            worst, target.MostArrivals(cold_at + milliseconds(2), seconds(1)));
      }
    });
    return worst;
  }

  ModelFleet fleet_;
};

TEST_F(ColdTargets, GetNoMoreThanTheirLimitWhileOthersServe) {
  const Instant cold_at = fleet_.now() + seconds(4);
  MakeColdAfter(seconds(4), 1);
  const ReplayReport report = fleet_.Replay(
      fleet_.NewPlan(kGroups, milliseconds(80)), 150, seconds(16));
  Print("two zones cold", report);
  EXPECT_LE(WorstSecond(cold_at, 1), kAllowed);
  EXPECT_GE(report.InTimeShare(), 0.95);
  EXPECT_GE(report.coverage, 0.98);
}

// What the limit costs: nobody else can serve, and the rest is refused at once.
TEST_F(ColdTargets, GetNoMoreThanTheirLimitWhereAllAreCold) {
  const Instant cold_at = fleet_.now() + seconds(4);
  MakeColdAfter(seconds(4), 0);
  const ReplayReport report = fleet_.Replay(
      fleet_.NewPlan(kGroups, milliseconds(80)), 150, seconds(16));
  Print("all cold", report);
  for (std::size_t second = 0; second < 16; ++second) {
    std::cout << second << " s: " << report.InTimeShare(second, second + 1)
              << " in time\n";
  }
  EXPECT_LE(WorstSecond(cold_at, 0), kAllowed);
  // Half of the replay has targets that take all requests.
  EXPECT_GE(report.InTimeShare(), 0.5);
  EXPECT_LE(report.failed, report.requests / 100);
  EXPECT_LE(report.RefusalPercentile(90), milliseconds(40));
}

// Load pattern: a zone is evacuated under load and readmitted; hosts learn of
// it one after the other within half a second.
TEST(EvacuatedZonesUnderLoad, AreServedByTheOthers) {
  ModelFleet fleet(kSeed, kHosts, 3);
  fleet.AddTargets(kGroups, QuickTarget());
  fleet.ShareConditions(milliseconds(400));
  const Instant start = fleet.now();
  const auto order = [&](Duration at, const std::vector<std::string>& zones) {
    std::size_t index = 0;
    fleet.ForEachHost([&](SearchController& host) {
      fleet.ScheduleAfter(
          at + milliseconds(7) * index++,
          [&host, zones](ModelFleet&) { host.SetEvacuatedZones(zones); });
    });
  };
  order(seconds(4), {"zone-1"});
  order(seconds(12), {});
  const ReplayReport report =
      fleet.Replay(fleet.NewPlan(kGroups, milliseconds(80)), 150, seconds(18));
  Print("evacuated", report);
  std::size_t while_evacuated = 0;
  std::size_t afterwards = 0;
  fleet.ForEachTarget([&](ModelTarget& target) {
    if (target.announcement.zone != "zone-1") {
      return;
    }
    for (const Instant at : target.arrivals) {
      while_evacuated +=
          at > start + milliseconds(4500) && at < start + seconds(12) ? 1 : 0;
      afterwards += at > start + seconds(13) ? 1 : 0;
    }
  });
  EXPECT_EQ(while_evacuated, 0U);
  EXPECT_GT(afterwards, 100U);
  EXPECT_GE(report.InTimeShare(), 0.98);
  EXPECT_EQ(report.failed, 0U);
}

}  // namespace
}  // namespace snipeworks
