#include <iostream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "model_quota_fleet_test.h"

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class QuotaReplay : public testing::TestWithParam<int> {
 protected:
  std::uint64_t seed() const { return static_cast<std::uint64_t>(GetParam()); }
};

INSTANTIATE_TEST_SUITE_P(Seeds, QuotaReplay, testing::Range(1, 4));

// Guards against refusals within the quota when every request of a customer
// meets another host.
TEST_P(QuotaReplay, UsualDemandIsAdmitted) {
  ModelQuotaFleet fleet(seed());
  fleet.Run(seconds(60));
  PrintQuotas("usual", fleet);
  EXPECT_LE(fleet.WorstWindow(), 1.0);
  EXPECT_EQ(fleet.Total().wrongly_exceeded, 0U);
  EXPECT_EQ(fleet.Total().wrongly_without_contact, 0U);
  std::cout << "reports/s " << fleet.reports() / 63 << " report bytes "
            << fleet.report_bytes() / fleet.reports() << " grant bytes "
            << fleet.grant_bytes() / fleet.reports() << "\n";
}

// Guards against refusals within the quota when one host sees a customer alone,
// and when all customers move to other hosts.
TEST_P(QuotaReplay, UnevenArrivalsAreAdmitted) {
  ModelQuotaFleet fleet(seed());
  for (int i = 0; i < 6; ++i) {
    for (std::size_t customer = 0; customer < kCustomers; ++customer) {
      fleet.SetArrival(customer, {fleet.random().Below(kHosts)});
    }
    fleet.Run(seconds(8));
  }
  PrintQuotas("uneven", fleet);
  EXPECT_LE(fleet.WorstWindow(), 1.0);
  EXPECT_LE(fleet.Total().wrongly_exceeded * 1000, fleet.Total().within_quota);
  EXPECT_EQ(fleet.Total().wrongly_without_contact, 0U);
}

// Guards against a customer that gets more than its quota, or much less, while
// it sends 7.5 times its usual rate, and against refusals of other customers.
TEST_P(QuotaReplay, HotCustomersGetTheirQuota) {
  const std::vector<std::size_t> hot = {0, 1, kLargeCustomers, 20, 21, 22};
  ModelQuotaFleet fleet(seed());
  fleet.SetArrival(1, {5});
  fleet.SetArrival(22, {6});
  fleet.Run(seconds(20));
  fleet.ResetTallies();
  for (const std::size_t customer : hot) {
    fleet.SetDemand(customer, 7.5);
  }
  fleet.Run(seconds(6));
  PrintQuotas("hot", fleet);
  QuotaTally others;
  for (std::size_t i = 0; i < kCustomers; ++i) {
    if (std::ranges::find(hot, i) == hot.end()) {
      others += fleet.tally(i);
    }
  }
  EXPECT_EQ(others.wrongly_exceeded, 0U);
  for (const std::size_t customer : hot) {
    const QuotaTally& tally = fleet.tally(customer);
    std::cout << "  hot " << customer << " admitted " << tally.admitted
              << " exact " << tally.within_quota << " of " << tally.requests
              << "\n";
    EXPECT_GE(static_cast<double>(tally.admitted),
              0.8 * static_cast<double>(tally.within_quota))
        << customer;
    fleet.SetDemand(customer, 1.0);
  }
  fleet.ResetTallies();
  fleet.Run(seconds(20));
  PrintQuotas("after hot", fleet);
  EXPECT_LE(fleet.WorstWindow(), 1.0);
}

// Guards against a bound that holds only while the leader answers.
TEST_P(QuotaReplay, BoundHoldsWhenTheLeaderIsLostInABurst) {
  for (const int delay_ms : {0, 50, 200, 500, 900, 1500, 4000}) {
    ModelQuotaFleet fleet(seed());
    fleet.Run(seconds(15));
    fleet.LoseLeader();
    fleet.Run(milliseconds(delay_ms));
    for (std::size_t i = 0; i < kCustomers; ++i) {
      fleet.SetDemand(i, 7.5);
    }
    fleet.Run(seconds(6));
    for (std::size_t i = 0; i < kCustomers; ++i) {
      fleet.SetDemand(i, 1.0);
    }
    fleet.LoseLeader();
    fleet.Run(seconds(10));
    PrintQuotas(("lost leader " + std::to_string(delay_ms)).c_str(), fleet);
    EXPECT_LE(fleet.WorstWindow(), 1.0) << delay_ms;
  }
}

// Guards against shares that are given out twice: by two leaders, to a host
// that is silent, frozen or started again, or after a lost grant.
TEST_P(QuotaReplay, BoundHoldsThroughFailures) {
  ModelQuotaFleet fleet(seed());
  fleet.Run(seconds(10));
  for (int i = 0; i < 40; ++i) {
    const std::size_t host = fleet.random().Below(kHosts);
    const Duration ends = milliseconds(200 + fleet.random().Below(14000));
    if (!fleet.Disturbed(host)) {
      switch (fleet.random().Below(5)) {
        case 0:
          fleet.Kill(host);
          fleet.After(ends, [&, host] { fleet.StartHost(host); });
          break;
        case 1:
          fleet.Freeze(host, true);
          fleet.After(ends, [&, host] { fleet.Freeze(host, false); });
          break;
        case 2:
          fleet.Partition(host, true, true);
          fleet.After(ends, [&, host] { fleet.Partition(host, false, false); });
          break;
        case 3:
          fleet.Partition(host, false, true);
          fleet.After(ends, [&, host] { fleet.Partition(host, false, false); });
          break;
        default:
          for (std::size_t j = 0; j < kHosts; j += 3) {
            fleet.Partition(j, true, true);
            fleet.After(ends, [&, j] { fleet.Partition(j, false, false); });
          }
      }
    }
    if (i % 7 == 3) {
      fleet.LoseLeader();
    }
    const std::size_t hot = fleet.random().Below(kCustomers);
    fleet.SetDemand(hot, 7.5);
    fleet.SetDemand(i % kLargeCustomers, 5.0);
    fleet.Run(seconds(2));
    fleet.SetDemand(hot, 1.0);
    fleet.SetDemand(i % kLargeCustomers, 1.0);
  }
  PrintQuotas("failures", fleet);
  EXPECT_LE(fleet.WorstWindow(), 1.0);
  EXPECT_GE(fleet.Total().admitted * 10, fleet.Total().within_quota * 8);
}

// Guards against refusals after a single host is lost: the others go on.
TEST_P(QuotaReplay, LostHostsDoNotDisturbOthers) {
  ModelQuotaFleet fleet(seed());
  fleet.Run(seconds(10));
  fleet.ResetTallies();
  fleet.Kill(3);
  fleet.Freeze(4, true);
  fleet.Run(seconds(15));
  fleet.StartHost(3);
  fleet.Freeze(4, false);
  fleet.Run(seconds(5));
  PrintQuotas("lost hosts", fleet);
  EXPECT_LE(fleet.WorstWindow(), 1.0);
  EXPECT_EQ(fleet.Total().wrongly_exceeded, 0U);
}

// Guards against refusals of large customers between two leaders.
TEST_P(QuotaReplay, NewLeaderLearnsShares) {
  ModelQuotaFleet fleet(seed());
  fleet.Run(seconds(15));
  fleet.ResetTallies();
  fleet.LoseLeader();
  fleet.Run(seconds(4));
  PrintQuotas("new leader", fleet);
  const QuotaTally change = fleet.Total();
  EXPECT_LE((change.wrongly_exceeded + change.wrongly_without_contact) * 6,
            change.within_quota);
  fleet.ResetTallies();
  fleet.Run(seconds(15));
  PrintQuotas("after new leader", fleet);
  EXPECT_LE(fleet.WorstWindow(), 1.0);
  EXPECT_EQ(fleet.Total().wrongly_exceeded, 0U);
}

TEST_P(QuotaReplay, BoundHoldsAfterLossOfPower) {
  ModelQuotaFleet fleet(seed());
  fleet.Run(seconds(15));
  for (std::size_t i = 0; i < kCustomers; i += 3) {
    fleet.SetDemand(i, 7.5);
  }
  fleet.Run(seconds(1));
  fleet.LosePower();
  fleet.Run(seconds(6));
  for (std::size_t i = 0; i < kCustomers; i += 3) {
    fleet.SetDemand(i, 1.0);
  }
  PrintQuotas("power", fleet);
  EXPECT_LE(fleet.WorstWindow(), 1.0);
  fleet.Run(seconds(10));
  fleet.ResetTallies();
  fleet.Run(seconds(10));
  PrintQuotas("after power", fleet);
  EXPECT_EQ(fleet.Total().wrongly_exceeded, 0U);
}

TEST_P(QuotaReplay, LoweredQuotaBindsAfterOneWindow) {
  for (const bool in_contact : {true, false}) {
    ModelQuotaFleet fleet(seed());
    fleet.Run(seconds(15));
    if (!in_contact) {
      for (std::size_t i = 0; i < kHosts; i += 2) {
        fleet.Partition(i, true, true);
      }
      fleet.Run(seconds(2));
    }
    fleet.SetQuotas([](std::size_t customer) {
      const Quota quota = QuotaOf(customer);
      return Quota{quota.requests_per_second / 10.0, quota.burst / 10.0};
    });
    fleet.Run(milliseconds(5500));
    const Instant binding = fleet.now();
    fleet.Run(seconds(20));
    PrintQuotas("lowered", fleet);
    std::cout << "  after " << fleet.WorstWindow(binding) << "\n";
    EXPECT_LE(fleet.WorstWindow(binding), 1.0);
    // What was used beyond the lowered quota is made up for first.
    fleet.SetQuotas(QuotaOf);
    fleet.Run(seconds(50));
    fleet.ResetTallies();
    fleet.Run(seconds(10));
    EXPECT_EQ(fleet.Total().wrongly_exceeded, 0U);
  }
}

}  // namespace
}  // namespace snipeworks
