#include "snipeworks/quota_allocator.h"

#include <gtest/gtest.h>

#include "snipeworks/quota_limiter.h"

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(100)};
constexpr char kCustomer[] = "alpha";

Routing OneCustomer(std::uint64_t version, double rate, double burst) {
  Routing routing;
  routing.version = version;
  Customer customer;
  customer.name = kCustomer;
  customer.requests_per_second = rate;
  customer.burst = burst;
  routing.customers.push_back(customer);
  return routing;
}

// A leader with complete knowledge, and hosts that it can be reached from.
class QuotaTest : public testing::Test {
 protected:
  QuotaTest() {
    allocator.BeginLeading(kStart, 1, {});
    allocator.SetQuotas(kStart, routing);
    now += seconds(2);
    allocator.Tick(now);
    host.SetQuotas(now, routing);
  }

  // The host reports and gets the grant.
  void Exchange(QuotaLimiter& reporting) {
    now += milliseconds(100);
    const QuotaReport report = reporting.TakeReport(now);
    const QuotaGrant grant = allocator.OnReport(now, report);
    now += milliseconds(5);
    reporting.OnGrant(now, grant);
    allocator.Tick(now);
  }

  // The host takes requests until it holds most of the quota.
  void GiveShare(QuotaLimiter& holder) {
    for (int i = 0; i < 5; ++i) {
      Take(holder, 2);
      Exchange(holder);
    }
    ASSERT_NEAR(holder.ShareOf(now, kCustomer), 0.9, 0.01);
  }

  int Take(QuotaLimiter& limiter, int requests) {
    int admitted = 0;
    for (int i = 0; i < requests; ++i) {
      admitted += limiter.Take(now, kCustomer).outcome ==
                          QuotaDecision::Outcome::kAdmitted
                      ? 1
                      : 0;
    }
    return admitted;
  }

  double SharesGiven() {
    const auto usage = allocator.Usage(now, 1);
    return usage.empty() ? 0.0 : usage.front().shares;
  }

  void Wait(Duration duration) {
    for (Duration passed{}; passed < duration; passed += milliseconds(100)) {
      now += milliseconds(100);
      allocator.Tick(now);
    }
  }

  Instant now = kStart;
  Routing routing = OneCustomer(1, 20.0, 20.0);
  QuotaAllocator allocator{QuotaBounds{}};
  QuotaLimiter host{"a", 1, QuotaBounds{}};
};

// Guards against work for every host of a fleet without quotas.
TEST_F(QuotaTest, WithoutQuotasNothingIsReported) {
  QuotaLimiter idle("b", 1, QuotaBounds{});
  idle.SetQuotas(now, OneCustomer(1, 0.0, 0.0));
  EXPECT_FALSE(idle.NextReport());
  EXPECT_EQ(idle.Take(now, kCustomer).outcome,
            QuotaDecision::Outcome::kAdmitted);
  EXPECT_FALSE(idle.Take(now, kCustomer).charged);
}

TEST_F(QuotaTest, WithoutContactAndShareRequestsAreRefusedAsNotReady) {
  EXPECT_EQ(host.Take(now, kCustomer).outcome,
            QuotaDecision::Outcome::kNoContact);
}

// Guards against a share that is given to others while its host may use it.
TEST_F(QuotaTest, ShareOfSilentHostStaysReservedUntilItsLeaseEnds) {
  GiveShare(host);
  Wait(seconds(10));
  EXPECT_NEAR(SharesGiven(), 0.9, 0.01);
  QuotaLimiter other("b", 1, QuotaBounds{});
  other.SetQuotas(now, routing);
  for (int i = 0; i < 3; ++i) {
    Take(other, 2);
    Exchange(other);
  }
  EXPECT_LT(other.ShareOf(now, kCustomer), 0.01);
  Wait(seconds(1));
  for (int i = 0; i < 12; ++i) {
    Take(other, 2);
    Exchange(other);
  }
  EXPECT_GT(other.ShareOf(now, kCustomer), 0.5);
}

// Guards against a second share for a host that starts again under its name.
TEST_F(QuotaTest, ShareOfEarlierStartStaysReserved) {
  GiveShare(host);
  QuotaLimiter again("a", 2, QuotaBounds{});
  again.SetQuotas(now, routing);
  for (int i = 0; i < 3; ++i) {
    Take(again, 2);
    Exchange(again);
  }
  EXPECT_LT(again.ShareOf(now, kCustomer), 0.01);
  EXPECT_NEAR(SharesGiven(), 0.9, 0.01);
}

// Guards against a grant that is not counted since its answer was lost.
TEST_F(QuotaTest, ShareInALostGrantCountsAsHeld) {
  Exchange(host);
  Take(host, 2);
  now += milliseconds(100);
  const QuotaReport report = host.TakeReport(now);
  const QuotaGrant lost = allocator.OnReport(now, report);
  host.OnReportLost(now, report.serial);
  EXPECT_NEAR(SharesGiven(), 0.9, 0.01);
  Exchange(host);
  EXPECT_NEAR(host.ShareOf(now, kCustomer), 0.9, 0.01);
}

// Guards against requests that are counted twice when their report is repeated.
TEST_F(QuotaTest, RepeatedReportCountsOnce) {
  Exchange(host);
  Take(host, 5);
  now += milliseconds(100);
  const QuotaReport report = host.TakeReport(now);
  allocator.OnReport(now, report);
  const double tokens = allocator.Usage(now, 1).front().tokens;
  host.OnReportLost(now, report.serial);
  allocator.OnReport(now, host.TakeReport(now));
  EXPECT_NEAR(allocator.Usage(now, 1).front().tokens, tokens, 0.01);
}

// Guards against a frozen host that uses what it held, or an answer that waited
// for it.
TEST_F(QuotaTest, HostThatWasFrozenHoldsNothing) {
  GiveShare(host);
  now += milliseconds(100);
  const QuotaReport report = host.TakeReport(now);
  const QuotaGrant grant = allocator.OnReport(now, report);
  now += seconds(12);
  host.OnGrant(now, grant);
  EXPECT_EQ(host.ShareOf(now, kCustomer), 0.0);
  EXPECT_EQ(host.Take(now, kCustomer).outcome,
            QuotaDecision::Outcome::kNoContact);
}

// Guards against contact by an answer that the leader counts as not received.
TEST_F(QuotaTest, AnswerThatWaitedIsNotUsed) {
  GiveShare(host);
  now += milliseconds(100);
  const QuotaReport report = host.TakeReport(now);
  const QuotaGrant grant = allocator.OnReport(now, report);
  now += kQuotaContact - milliseconds(50);
  host.OnGrant(now, grant);
  EXPECT_FALSE(host.InContact(now));
}

// Guards against a full bucket at the loss of contact, beside what the others
// use of the leader's.
TEST_F(QuotaTest, ShareIsUsedWithoutContactFromAnEmptyBucket) {
  GiveShare(host);
  now += kQuotaContact;
  EXPECT_EQ(Take(host, 5), 0);
  EXPECT_EQ(host.Take(now, kCustomer).outcome,
            QuotaDecision::Outcome::kExceeded);
  now += seconds(1);
  EXPECT_EQ(Take(host, 50), 18);
}

// Guards against an old leader whose grant arrives after a newer one's.
TEST_F(QuotaTest, GrantOfEarlierLeaderIsNotUsed) {
  QuotaAllocator next{QuotaBounds{}};
  next.BeginLeading(now, 2, {});
  next.SetQuotas(now, routing);
  now += milliseconds(100);
  host.OnGrant(now, next.OnReport(now, host.TakeReport(now)));
  EXPECT_TRUE(host.InContact(now));
  now += kQuotaContact;
  host.OnGrant(now, allocator.OnReport(now, host.TakeReport(now)));
  EXPECT_FALSE(host.InContact(now));
}

// Guards against a new leader that gives out what hosts hold.
TEST_F(QuotaTest, NewLeaderGivesNothingBeforeAllHostsHaveReported) {
  GiveShare(host);
  allocator.BeginLeading(now, 2, {"a", "b"});
  allocator.SetQuotas(now, routing);
  QuotaLimiter other("b", 1, QuotaBounds{});
  other.SetQuotas(now, routing);
  for (int i = 0; i < 20; ++i) {
    Take(other, 1);
    Exchange(other);
  }
  EXPECT_FALSE(allocator.complete());
  EXPECT_EQ(other.ShareOf(now, kCustomer), 0.0);
  Exchange(host);
  Exchange(host);
  EXPECT_TRUE(allocator.complete());
  EXPECT_NEAR(SharesGiven(), 0.9, 0.01);
}

// Guards against a charge for a request that no target got.
TEST_F(QuotaTest, CreditedRequestsAreNotCounted) {
  Exchange(host);
  Wait(milliseconds(100));
  const QuotaDecision charge = host.Take(now, kCustomer);
  EXPECT_TRUE(charge.charged);
  host.Credit(now, kCustomer, charge);
  const QuotaReport report = host.TakeReport(now);
  ASSERT_EQ(report.uses.size(), 1U);
  EXPECT_EQ(report.uses.front().used, report.uses.front().counted);
}

// Guards against a token that counts for a share given by a larger quota.
TEST_F(QuotaTest, LoweredQuotaNeedsANewGrantForItsLastToken) {
  GiveShare(host);
  host.SetQuotas(now, OneCustomer(2, 1.0, 1.0));
  now += kQuotaContact + seconds(5);
  EXPECT_EQ(Take(host, 5), 0);
}

}  // namespace
}  // namespace snipeworks
