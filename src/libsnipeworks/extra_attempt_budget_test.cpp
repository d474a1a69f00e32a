#include "snipeworks/extra_attempt_budget.h"

#include <deque>
#include <vector>

#include <gtest/gtest.h>

#include "snipeworks/random.h"

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(ExtraAttemptBudgets, AllowARatioOfPrimaryAttempts) {
  ExtraAttemptBudget budget;
  const ExtraAttemptLimits limits{0.1, 0.0};
  const Instant now{seconds(100)};
  EXPECT_FALSE(budget.TryAcquire(now, limits));
  for (int i = 0; i < 20; ++i) {
    budget.OnPrimary(now);
  }
  EXPECT_TRUE(budget.TryAcquire(now, limits));
  EXPECT_FALSE(budget.TryAcquire(now, limits, 0.2));
  EXPECT_TRUE(budget.TryAcquire(now, limits));
  EXPECT_FALSE(budget.TryAcquire(now, limits));
  budget.Refund(now);
  EXPECT_TRUE(budget.TryAcquire(now, limits));
  EXPECT_EQ(budget.RemainingShare(now, limits), 0.0);
  EXPECT_FALSE(budget.TryAcquire(now + seconds(11), limits));
}

// Load pattern: many unevenly loaded hosts request an extra attempt for every
// request; some restart and lose the record of what they have spent.
void RunUnevenFleet(bool rounded) {
  constexpr std::size_t kHosts = 40;
  constexpr double kRatio = 0.2;
  constexpr double kSlack = 60.0;
  constexpr double kMargin = 0.9;  // The margin of SearchEngine.
  const ExtraAttemptLimits fleet_limits{kRatio, kSlack};
  ExtraAttemptLimits own{kRatio * kMargin, kSlack * kMargin / kHosts};
  Random random(20261204);
  std::vector<double> rounding(kHosts);
  for (double& one : rounding) {
    one = rounded ? random.Unit() : 0.0;
  }
  std::vector<ExtraAttemptBudget> hosts(kHosts);
  std::deque<Instant> primaries;
  std::deque<Instant> extras;
  Instant now{seconds(1000)};
  std::size_t granted = 0;
  for (int step = 0; step < 60000; ++step) {
    now += milliseconds(1);
    // The load alternates, so windows contain many requests and then few.
    const bool busy = (step / 7000) % 2 == 0;
    const std::size_t requests = busy ? 2 : random.Below(20) == 0 ? 1 : 0;
    for (std::size_t i = 0; i < requests; ++i) {
      const std::size_t host =
          std::min(random.Below(kHosts), random.Below(kHosts));
      hosts[host].OnPrimary(now);
      primaries.push_back(now);
      own.rounding = rounding[host];
      if (hosts[host].TryAcquire(now, own)) {
        extras.push_back(now);
        ++granted;
      }
    }
    if (random.Below(3000) == 0) {
      hosts[random.Below(kHosts)] = ExtraAttemptBudget();
    }
    // Primary attempts of the preceding window count too, as arrivals lag.
    while (!primaries.empty() &&
           primaries.front() < now - fleet_limits.window * 2) {
      primaries.pop_front();
    }
    while (!extras.empty() && extras.front() < now - fleet_limits.window) {
      extras.pop_front();
    }
    EXPECT_LE(static_cast<double>(extras.size()),
              kRatio * static_cast<double>(primaries.size()) + kSlack);
  }
  EXPECT_GT(granted, 1000U);
}

TEST(ExtraAttemptBudgets, KeepTheWholeFleetToItsBudgetInAnyWindow) {
  RunUnevenFleet(false);
  RunUnevenFleet(true);
}

// Load pattern: with many hosts the share of each is a few attempts, and
// rounding it down at every host would lose part of the fleet's budget.
TEST(ExtraAttemptBudgets, OfManyHostsLoseNothingToRounding) {
  constexpr std::size_t kHosts = 86;
  const ExtraAttemptLimits fleet_limits{0.2, 212.0};
  const auto granted_in_window = [&](bool rounded) {
    Random random(20261204);
    std::vector<ExtraAttemptBudget> hosts(kHosts);
    std::vector<ExtraAttemptLimits> limits(kHosts, fleet_limits);
    for (ExtraAttemptLimits& one : limits) {
      one.slack = fleet_limits.slack / kHosts;
      one.rounding = rounded ? random.Unit() : 0.0;
    }
    std::size_t granted = 0;
    for (int step = 0; step < 2000; ++step) {
      const Instant now = Instant(seconds(1000)) + step * milliseconds(10);
      const std::size_t host = random.Below(kHosts);
      hosts[host].OnPrimary(now);
      granted +=
          hosts[host].TryAcquire(now, limits[host]) && step >= 1000 ? 1 : 0;
    }
    return static_cast<double>(granted);
  };
  // The window contains 1,000 requests.
  const double allowed = fleet_limits.ratio * 1000 + fleet_limits.slack;
  const double rounded = granted_in_window(true);
  EXPECT_GE(rounded, 0.95 * allowed);
  EXPECT_LE(rounded, 1.05 * allowed);
  EXPECT_LT(granted_in_window(false), 0.9 * allowed);
}

}  // namespace
}  // namespace snipeworks
