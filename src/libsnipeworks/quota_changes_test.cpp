#include <algorithm>
#include <cstdint>
#include <iostream>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "model_quota_fleet_test.h"

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kName[] = "alpha";
constexpr std::size_t kEntryHosts = 9;
// Charges that a host in contact makes before the leader has counted them.
constexpr int kUncounted = 8;

// Versions with a second customer, so that hosts report throughout.
Routing VersionWith(std::uint64_t version, double rate) {
  Routing routing;
  routing.version = version;
  const auto add = [&](const std::string& name, double per_second) {
    Customer customer;
    customer.name = name;
    customer.requests_per_second = per_second;
    customer.burst = per_second;
    routing.customers.push_back(customer);
  };
  add("other", 100.0);
  if (rate > 0.0) {
    add(kName, rate);
  }
  return routing;
}

// A host of the versions that drop what they know of a customer together with
// its quota.
class ForgetfulHost {
 public:
  explicit ForgetfulHost(std::string name) : name_(std::move(name)) {}

  void SetQuotas(Instant /*now*/, const Routing& routing) {
    const bool limited = std::ranges::any_of(
        routing.customers,
        [](const Customer& customer) { return customer.name == kName; });
    if (!limited) {
      use_ = {};
      share_ = 0.0;
    }
  }

  bool Take(Instant /*now*/) {
    if (closed_ || use_.used - use_.counted >= kUncounted) {
      return false;
    }
    ++use_.used;
    ++use_.demand;
    return true;
  }

  QuotaReport TakeReport(Instant /*now*/) {
    QuotaReport report;
    report.host = name_;
    report.epoch = 1;
    report.serial = ++serial_;
    report.term = term_;
    report.grant_serial = grant_serial_;
    report.lists_shares = term_ == 0 || lists_shares_;
    use_.customer = kName;
    if (use_.demand > 0 || use_.used != use_.counted) {
      report.uses.push_back(use_);
    }
    use_.demand = 0;
    sent_ = report;
    return report;
  }

  void OnGrant(Instant /*now*/, const QuotaGrant& grant) {
    term_ = grant.term;
    grant_serial_ = grant.serial;
    lists_shares_ = grant.wants_shares;
    for (const QuotaUse& use : sent_.uses) {
      use_.counted = use.used;
    }
    share_ = grant.full ? 0.0 : share_;
    for (const QuotaShare& share : grant.shares) {
      share_ = share.customer == kName ? share.share : share_;
    }
    closed_ = std::ranges::find(grant.closed, kName) != grant.closed.end();
  }

  double Share() const { return share_; }

 private:
  std::string name_;
  QuotaUse use_;
  QuotaReport sent_;
  double share_ = 0.0;
  bool closed_ = false;
  bool lists_shares_ = true;
  std::uint64_t serial_ = 0;
  std::uint64_t term_ = 0;
  std::uint64_t grant_serial_ = 0;
};

class CurrentHost {
 public:
  explicit CurrentHost(const std::string& name)
      : limiter_(name, 1, QuotaBounds{}) {}

  void SetQuotas(Instant now, const Routing& routing) {
    limiter_.SetQuotas(now, routing);
    now_ = now;
  }
  bool Take(Instant now) {
    now_ = now;
    return limiter_.Take(now, kName).outcome ==
           QuotaDecision::Outcome::kAdmitted;
  }
  QuotaReport TakeReport(Instant now) { return limiter_.TakeReport(now); }
  void OnGrant(Instant now, const QuotaGrant& grant) {
    limiter_.OnGrant(now, grant);
    now_ = now;
  }
  double Share() const { return limiter_.ShareOf(now_, kName); }
  QuotaLimiter& limiter() { return limiter_; }

 private:
  QuotaLimiter limiter_;
  Instant now_{};
};

// A leader and nine hosts, at which a customer has been served for a while.
template <typename Host>
class ReturningQuota : public testing::Test {
 protected:
  ReturningQuota() {
    for (std::size_t i = 0; i < kEntryHosts; ++i) {
      hosts.emplace_back("host-" + std::to_string(i));
    }
    leader.BeginLeading(now, 1, {});
    Accept(20.0);
    Exchange();
    now += seconds(2);
    leader.Tick(now);
    // 12.5 requests a second, at one host after the other.
    for (int i = 0; i < 250; ++i) {
      now += milliseconds(80);
      hosts[i % kEntryHosts].Take(now);
      Exchange();
    }
  }

  void Accept(double rate) {
    ++version;
    leader.SetQuotas(now, VersionWith(version, rate));
    for (Host& host : hosts) {
      host.SetQuotas(now, VersionWith(version, rate));
    }
  }

  void Exchange() {
    for (Host& host : hosts) {
      host.OnGrant(now, leader.OnReport(now, host.TakeReport(now)));
    }
    leader.Tick(now);
  }

  void Wait(Duration time) {
    for (const Instant end = now + time; now < end;) {
      now += milliseconds(100);
      Exchange();
    }
  }

  // The requests admitted of 60 a second, at one host after the other.
  int Burst() {
    int admitted = 0;
    for (std::size_t i = 0; i < 243; ++i) {
      now += Duration(16667);
      admitted += hosts[i * kEntryHosts / 243].Take(now) ? 1 : 0;
      if (i % 6 == 5) {
        Exchange();
      }
    }
    return admitted;
  }

  double SharesHeld() const {
    double sum = 0.0;
    for (const Host& host : hosts) {
      sum += host.Share();
    }
    return sum;
  }
  double SharesGiven() const { return leader.UsageOf(now, kName).shares; }
  double Tokens() const { return leader.UsageOf(now, kName).tokens; }

  static constexpr double kAllowed = (20.0 * 5.0 + 20.0) * 1.1 + 20.0;

  Instant now{seconds(100)};
  std::uint64_t version = 0;
  QuotaAllocator leader{QuotaBounds{}};
  std::vector<Host> hosts;
};

using BothVersions = testing::Types<CurrentHost, ForgetfulHost>;
TYPED_TEST_SUITE(ReturningQuota, BothVersions);

// Guards against a burst at each host for a customer that comes back: hosts
// that count anew gave back what they had reported before.
TYPED_TEST(ReturningQuota, DoesNotGiveBackWhatWasCounted) {
  for (const Duration absence :
       {Duration{}, Duration(milliseconds(1500)), Duration(seconds(20))}) {
    this->Accept(0.0);
    this->Wait(absence);
    this->Accept(20.0);
    this->Wait(seconds(9));
    const double before = this->Tokens();
    EXPECT_LE(before, 20.0);
    for (TypeParam& host : this->hosts) {
      host.Take(this->now);
    }
    this->Exchange();
    EXPECT_NEAR(this->Tokens(), before - 9.0, 0.1);
    EXPECT_LE(this->Burst() + 9, this->kAllowed);
    this->Wait(seconds(20));
  }
}

// Guards against a share that the leader takes for held and its host has
// dropped: the host refuses requests within the quota once no leader answers.
TYPED_TEST(ReturningQuota, LeavesBothEndsWithTheSameShares) {
  EXPECT_NEAR(this->SharesHeld(), 0.9, 0.05);
  for (const Duration absence : {Duration{}, Duration(milliseconds(1500))}) {
    this->Accept(0.0);
    this->Wait(absence);
    this->Accept(20.0);
    for (int i = 0; i < 38; ++i) {
      this->now += milliseconds(80);
      EXPECT_TRUE(this->hosts[i % kEntryHosts].Take(this->now));
      this->Exchange();
    }
    EXPECT_NEAR(this->SharesHeld(), this->SharesGiven(), 0.01);
    EXPECT_GE(this->SharesHeld(), 0.8);
  }
}

// Guards against refusals within the quota of a host that missed the version
// between, and goes on from what it has counted.
TYPED_TEST(ReturningQuota, ChargesHostsThatMissedAVersionOnlyOnce) {
  const double before = this->Tokens();
  ++this->version;
  this->leader.SetQuotas(this->now, VersionWith(this->version, 0.0));
  this->Exchange();
  this->Accept(20.0);
  EXPECT_NEAR(this->Tokens(), before, 0.5);
  for (TypeParam& host : this->hosts) {
    EXPECT_TRUE(host.Take(this->now));
  }
  this->Exchange();
  EXPECT_NEAR(this->Tokens(), before - 9.0, 0.5);
}

using ReturningQuotaHere = ReturningQuota<CurrentHost>;

// Guards against a debt that is forgiven with each version that leaves the
// quota out.
TEST_F(ReturningQuotaHere, KeepsWhatItOwes) {
  Burst();
  const double owed = Tokens();
  EXPECT_LT(owed, 0.0);
  for (int i = 0; i < 5; ++i) {
    Accept(0.0);
    Accept(20.0);
  }
  EXPECT_NEAR(Tokens(), owed, 0.5);
}

// Guards against a report that is read after a newer one, and against a grant
// for a report from before the absence.
TEST_F(ReturningQuotaHere, IgnoresMessagesThatNewerOnesHaveReplaced) {
  CurrentHost& host = hosts.front();
  host.Take(now);
  const QuotaReport late = host.TakeReport(now);
  host.limiter().OnReportLost(now, late.serial);
  now += milliseconds(100);
  host.Take(now);
  Exchange();
  const double tokens = Tokens();
  leader.OnReport(now, late);
  EXPECT_NEAR(Tokens(), tokens, 0.1);

  now += milliseconds(100);
  host.Take(now);
  const QuotaReport report = host.TakeReport(now);
  const QuotaGrant grant = leader.OnReport(now, report);
  Accept(0.0);
  Accept(20.0);
  host.OnGrant(now, grant);
  int admitted = 0;
  while (host.Take(now)) {
    ++admitted;
  }
  EXPECT_LE(admitted, kUncounted);
}

// Guards against a share that reaches a host before the version that gives the
// customer a quota.
TEST_F(ReturningQuotaHere, TakesSharesAheadOfTheirVersion) {
  Accept(0.0);
  Wait(seconds(2));
  EXPECT_EQ(SharesHeld(), 0.0);
  ++version;
  leader.SetQuotas(now, VersionWith(version, 20.0));
  Wait(seconds(2));
  for (CurrentHost& host : hosts) {
    host.SetQuotas(now, VersionWith(version, 20.0));
  }
  EXPECT_NEAR(SharesHeld(), SharesGiven(), 0.01);
  EXPECT_GE(SharesHeld(), 0.5);
}

class QuotaChangesReplay : public testing::TestWithParam<int> {
 protected:
  std::uint64_t seed() const { return static_cast<std::uint64_t>(GetParam()); }

  // All quotas but those of the customers below `left_out`.
  static auto Without(std::size_t left_out) {
    return [left_out](std::size_t customer) {
      return customer < left_out ? Quota{} : QuotaOf(customer);
    };
  }
};

INSTANTIATE_TEST_SUITE_P(Seeds, QuotaChangesReplay, testing::Range(1, 4));

// Guards against a burst at each host after quotas have come back, while hosts
// are frozen, killed and cut off.
TEST_P(QuotaChangesReplay, BoundHoldsOnceQuotasAreBack) {
  ModelQuotaFleet fleet(seed());
  double worst = 0.0;
  for (int round = 0; round < 3; ++round) {
    fleet.Run(seconds(30));
    for (std::size_t i = 0; i < 6; ++i) {
      const std::size_t host = fleet.random().Below(kHosts);
      const Duration ends = milliseconds(500 + fleet.random().Below(4000));
      if (fleet.Disturbed(host)) {
        continue;
      }
      if (i % 2 == 0) {
        fleet.Kill(host);
        fleet.After(ends, [&fleet, host] { fleet.StartHost(host); });
      } else {
        fleet.Partition(host, true, true);
        fleet.After(ends,
                    [&fleet, host] { fleet.Partition(host, false, false); });
      }
    }
    for (std::size_t i = 0; i <= fleet.random().Below(3); ++i) {
      fleet.SetQuotas(Without(kLargeCustomers));
      fleet.Run(milliseconds(fleet.random().Below(2500)));
      fleet.SetQuotas(QuotaOf);
      fleet.Run(milliseconds(fleet.random().Below(1000)));
    }
    fleet.Run(milliseconds(9500));
    const Instant binding = fleet.now();
    for (std::size_t i = 0; i < kLargeCustomers; ++i) {
      fleet.SetDemand(i, 7.5);
    }
    // At one host after the other: each has its own counts from before.
    for (std::size_t step = 0; step < 60; ++step) {
      for (std::size_t i = 0; i < kLargeCustomers; ++i) {
        fleet.SetArrival(i, {step % kHosts});
      }
      fleet.Run(milliseconds(100));
    }
    worst = std::max(worst, fleet.WorstWindow(binding));
    for (std::size_t i = 0; i < kLargeCustomers; ++i) {
      fleet.SetDemand(i, 1.0);
      fleet.SetArrival(i, {});
    }
  }
  PrintQuotas("changes", fleet);
  std::cout << "  worst after quotas came back " << worst << "\n";
  EXPECT_LE(worst, 1.0);
}

// Guards against refusals within the quota after it has come back.
TEST_P(QuotaChangesReplay, NothingIsRefusedWithinQuotasThatCameBack) {
  ModelQuotaFleet fleet(seed());
  fleet.Run(seconds(15));
  for (int i = 0; i < 3; ++i) {
    fleet.SetQuotas(Without(kCustomers / 2));
    fleet.Run(milliseconds(fleet.random().Below(2500)));
    fleet.SetQuotas(QuotaOf);
    fleet.Run(seconds(3));
  }
  fleet.ResetTallies();
  fleet.Run(seconds(10));
  PrintQuotas("usual after changes", fleet);
  EXPECT_EQ(fleet.Total().wrongly_exceeded, 0U);
  EXPECT_EQ(fleet.Total().wrongly_without_contact, 0U);
}

}  // namespace
}  // namespace snipeworks
