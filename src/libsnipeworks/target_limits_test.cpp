#include "snipeworks/target_limits.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <iostream>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "snipeworks/random.h"
#include "snipeworks/replica_selector.h"
#include "snipeworks/target_stats.h"

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

TEST(LimitsOfColdTargets, HoldWhileTheTargetIsCold) {
  TargetLimits limits{TargetLimitBounds{}};
  limits.SetFleetHosts(kStart, 2, 2);
  limits.SetCold(kStart, 4.0, kStart + seconds(3), 0.0);
  EXPECT_TRUE(limits.IsLimited(kStart));
  EXPECT_EQ(limits.NextAllowed(kStart),
            kStart + milliseconds(500) + Duration(1));
  limits.OnStart(kStart + milliseconds(501));
  limits.OnStart(kStart + milliseconds(2900));
  EXPECT_EQ(limits.NextAllowed(kStart + milliseconds(2900)),
            kStart + seconds(3));
  EXPECT_FALSE(limits.IsLimited(kStart + seconds(3)));
  // A group without a limit.
  limits.SetCold(kStart, 0.0, kStart + seconds(9), 0.0);
  EXPECT_EQ(limits.NextAllowed(kStart), kStart);
}

TEST(LimitsOfColdTargets, BindTogetherWithTheStatedOne) {
  TargetLimits limits{TargetLimitBounds{}};
  limits.SetCold(kStart, 2.0, kStart + seconds(60), 0.0);
  limits.OnStated(kStart, {1.0}, 0.0);
  EXPECT_EQ(limits.NextAllowed(kStart), kStart + seconds(1) + Duration(1));
  EXPECT_EQ(limits.share(kStart), 1.0);
  limits.OnStated(kStart, {10.0}, 0.0);
  EXPECT_EQ(limits.NextAllowed(kStart),
            kStart + milliseconds(500) + Duration(1));
  EXPECT_EQ(limits.share(kStart), 2.0);
}

TEST(LimitsOfColdTargets, HoldAfterTheStartOfATarget) {
  Announcement target;
  target.incarnation = 1;
  TargetStats stats(kStart, target, 10);
  stats.set_started_at(kStart - seconds(4));
  const ColdLimit limit{5.0, seconds(6)};
  stats.SetColdLimit(kStart, limit, 0.0);
  EXPECT_TRUE(stats.limits().IsCold(kStart + milliseconds(1900)));
  EXPECT_FALSE(stats.limits().IsCold(kStart + seconds(2)));
  // It says in a report that it is cold.
  const Instant reported = kStart + seconds(60);
  target.cold_ms = 3000;
  stats.OnAnnouncement(reported, target, 10);
  stats.SetColdLimit(reported, limit, 0.0);
  EXPECT_TRUE(stats.limits().IsCold(reported + milliseconds(2900)));
  EXPECT_FALSE(stats.limits().IsCold(reported + seconds(3)));
  // It starts again.
  const Instant restarted = kStart + seconds(90);
  target.cold_ms = 0;
  target.incarnation = 2;
  stats.OnAnnouncement(restarted, target, 10);
  stats.SetColdLimit(restarted, limit, 0.0);
  EXPECT_TRUE(stats.limits().IsCold(restarted + milliseconds(5900)));
}

// Hosts that are partitioned from control hosts, and no longer counted, still
// send to the target.
TEST(LimitsOfColdTargets, AreSharedWithHostsThatWereKnownLately) {
  Random random(1);
  TargetView view(seconds(3600));
  ReplicaSelector selector(view, random, {});
  Announcement target;
  target.target = "t";
  target.group = "g";
  target.cold_ms = 3'600'000;
  view.Merge(kStart, target);
  selector.SetColdLimits(kStart, {{"g", ColdLimit{200.0, {}}}});
  selector.SetFleetHosts(kStart, 66);
  selector.OnAnnouncement(kStart, target);
  const TargetLimits& limits = selector.Stats("t")->limits();
  const double share = limits.share(kStart);
  EXPECT_NEAR(share, 200.0 / 66, 0.01);
  selector.SetFleetHosts(kStart + seconds(60), 44);
  selector.UpdateLimits(kStart + seconds(599));
  EXPECT_EQ(limits.share(kStart), share);
  selector.UpdateLimits(kStart + seconds(661));
  EXPECT_NEAR(limits.share(kStart), 200.0 / 44, 0.01);
  selector.SetFleetHosts(kStart + seconds(700), 70);
  EXPECT_NEAR(limits.share(kStart), 200.0 / 70, 0.01);
}

// Load pattern: hosts that do not know of each other's requests send to one
// cold target; their demand differs, and many callers may come at once.
class FleetsOfHosts : public testing::Test {
 protected:
  // The most requests in a second, and the mean per second, if each host sends
  // as it may while `wants(host, now)`.
  using Wants = std::function<bool(std::size_t, Instant)>;

  static std::pair<std::size_t, double> Replay(std::uint64_t seed,
                                               std::size_t hosts,
                                               double limit,
                                               const Wants& wants,
                                               Duration length) {
    Random random(seed);
    std::vector<TargetLimits> fleet(hosts, TargetLimits{TargetLimitBounds{}});
    for (TargetLimits& host : fleet) {
      const auto count = static_cast<std::uint32_t>(hosts);
      host.SetFleetHosts(kStart, count, count);
      host.SetCold(kStart, limit, kStart + length, random.Unit());
    }
    std::vector<Instant> sent;
    for (Instant now = kStart; now < kStart + length; now += kStep) {
      for (std::size_t i = 0; i < hosts; ++i) {
        while (wants(i, now) && fleet[i].NextAllowed(now) <= now) {
          fleet[i].OnStart(now);
          sent.push_back(now);
        }
      }
    }
    std::size_t most = 0;
    auto first = sent.begin();
    for (auto last = sent.begin(); last != sent.end(); ++last) {
      while (*last - *first >= seconds(1)) {
        ++first;
      }
      most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return {most, static_cast<double>(sent.size()) /
                      std::chrono::duration<double>(length).count()};
  }

  static constexpr Duration kStep = milliseconds(5);
};

TEST_F(FleetsOfHosts, KeepToTheLimitOfAColdTargetTogether) {
  const auto always = [](std::size_t, Instant) { return true; };
  const auto uneven = [](std::size_t host, Instant now) {
    return (now.time_since_epoch() / milliseconds(40)) % (host % 7 + 1) == 0;
  };
  const auto bursts = [](std::size_t, Instant now) {
    return now.time_since_epoch() % seconds(3) < milliseconds(150);
  };
  const auto one_host = [](std::size_t host, Instant) { return host == 0; };
  for (const std::size_t hosts : {1, 9, 66, 86, 6100}) {
    const bool many = hosts > 1000;
    const Duration length = seconds(many ? 4 : 30);
    const std::uint64_t seeds = many ? 1 : 4;
    for (const double limit : {1.0, 4.0, 20.0, 200.0}) {
      const auto allowed = static_cast<std::size_t>(1.5 * limit) + 5;
      std::vector<double> means;
      std::size_t worst = 0;
      for (const Wants& wants :
           {Wants(always), Wants(uneven), Wants(bursts), Wants(one_host)}) {
        double mean = 0.0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
          const auto [most, one_mean] =
              Replay(seed, hosts, limit, wants, length);
          worst = std::max(worst, most);
          mean += one_mean / static_cast<double>(seeds);
        }
        means.push_back(mean);
      }
      EXPECT_LE(worst, allowed) << hosts << " hosts, limit " << limit;
      std::cout << hosts << " hosts, limit " << limit << ": worst second "
                << worst << " of " << allowed << "; per second with demand at "
                << "all hosts " << means[0] << ", uneven " << means[1]
                << ", in bursts " << means[2] << ", at one host " << means[3]
                << "\n";
    }
  }
}

}  // namespace
}  // namespace snipeworks
