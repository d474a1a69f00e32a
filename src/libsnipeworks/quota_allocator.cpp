#include "snipeworks/quota_allocator.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Clocks of hosts may run at slightly different rates.
constexpr Duration kLeaseMargin = milliseconds(500);
// A host uses its share alone once it is out of contact; it may have sent its
// last report kQuotaMaxRoundTrip before the grant. Silence is noticed by ticks.
constexpr Duration kSilence =
    kQuotaContact - kQuotaMaxRoundTrip - milliseconds(100);
// Within this time all hosts that are in contact have reported to a new leader.
constexpr Duration kMinLearning = seconds(1);
constexpr double kDemandTimeConstantS = 10.0;
// At least this long no leader has counted requests when a new one begins: the
// election timeout of control hosts. Hosts admitted requests meanwhile.
constexpr double kElectionS = 0.6;
// Less demand than this gives no share.
constexpr double kMinDemandWeight = 0.05;
constexpr double kForgottenDemandWeight = 0.01;
// The rest stays free for hosts that are new to a customer.
constexpr double kSharedFraction = 0.9;
// A share follows the demand if it is off by more than this.
constexpr double kShareTolerance = 0.2;
constexpr double kMinShareStep = 0.002;
// How long a new leader leaves the shares of hosts as they are.
constexpr Duration kLearnDemand = seconds(10);
constexpr Duration kRebalanceInterval = seconds(1);
// The rate of a customer that sends far too much, and the time until all hosts
// have learned that it is closed: what is admitted until then must fit into the
// bound together with the burst.
constexpr double kPeakOverQuota = 5.0;
constexpr double kCloseDelayS = 0.3;
// A customer is closed once it has used this part of the slack, and open again
// when less is used.
constexpr double kCloseAtSlack = 0.5;
constexpr double kReopenAtSlack = 0.25;
constexpr std::size_t kHostsShown = 5;

}  // namespace

double QuotaAllocator::Demand::Weight(Instant now) const {
  const double elapsed =
      std::max(0.0, std::chrono::duration<double>(now - at).count());
  return weight * std::exp(-elapsed / kDemandTimeConstantS);
}

void QuotaAllocator::Demand::Add(Instant now, double weight_added) {
  weight = std::max(0.0, Weight(now) + weight_added);
  at = now;
}

void QuotaAllocator::BeginLeading(Instant now,
                                  std::uint64_t term,
                                  const std::vector<std::string>& known_hosts) {
  term_ = term;
  began_ = now;
  complete_ = false;
  unreported_ = {known_hosts.begin(), known_hosts.end()};
  routing_version_ = 0;
  customers_.clear();
  limited_ = 0;
  hosts_.clear();
  ended_.clear();
  closed_.clear();
}

// Requests beyond a full bucket are admitted until all hosts know that the
// customer is closed. A quota that leaves little room for them has a smaller
// bucket here.
double QuotaAllocator::PoolCapacity(const Account& account) const {
  const Quota& quota = account.quota;
  const double room = quota.burst + bounds_.overshoot * bounds_.Nominal(quota) +
                      bounds_.slack / 2.0 -
                      kPeakOverQuota * kCloseDelayS * quota.requests_per_second;
  return std::clamp(room, quota.burst / 2.0, quota.burst) *
         (complete_ ? PoolFraction(account) : 1.0);
}

// The fraction of the quota that no host can use without being counted here.
// Until all shares are known, those are shares of hosts in contact.
double QuotaAllocator::PoolFraction(const Account& account) const {
  const double fraction =
      complete_ ? 1.0 - account.silent : account.outstanding - account.silent;
  return std::clamp(fraction, 0.0, 1.0);
}

void QuotaAllocator::Settle(Instant now, Account& account) const {
  const double elapsed =
      std::chrono::duration<double>(now - account.tokens_at).count();
  account.tokens_at = now;
  account.tokens =
      std::min(PoolCapacity(account),
               account.tokens + elapsed * account.quota.requests_per_second *
                                    PoolFraction(account));
}

void QuotaAllocator::UpdateClosed(const std::string& customer,
                                  Account& account) {
  if (!account.closed && account.tokens < -bounds_.slack * kCloseAtSlack) {
    account.closed = true;
    closed_.insert(customer);
  } else if (account.closed &&
             account.tokens >= -bounds_.slack * kReopenAtSlack) {
    account.closed = false;
    closed_.erase(customer);
  }
}

void QuotaAllocator::Charge(Instant now,
                            const std::string& customer,
                            double requests) {
  auto found = customers_.find(customer);
  if (found != customers_.end()) {
    Settle(now, found->second);
    found->second.tokens -= requests;
    if (IsLimited(found->second)) {
      UpdateClosed(customer, found->second);
    }
  }
}

void QuotaAllocator::SetQuotas(Instant now, const Routing& routing) {
  if (routing.version <= routing_version_) {
    return;
  }
  routing_version_ = routing.version;
  limited_ = 0;
  for (const Customer& customer : routing.customers) {
    if (customer.requests_per_second > 0.0) {
      SetQuota(now, customer);
    }
  }
  for (auto& [customer, account] : customers_) {
    if (!IsLimited(account)) {
      account.closed = false;
      closed_.erase(customer);
    }
    account.outstanding = 0.0;
    account.silent = 0.0;
    account.capacity = 0.0;
  }
  for (const auto& [name, host] : hosts_) {
    AddHoldings(host);
  }
  for (const Host& host : ended_) {
    AddHoldings(host);
  }
}

void QuotaAllocator::SetQuota(Instant now, const Customer& customer) {
  const Quota quota{customer.requests_per_second, customer.burst};
  auto [entry, inserted] = customers_.try_emplace(customer.name);
  Account& account = entry->second;
  if (inserted) {
    account.tokens_at = now;
    account.tokens = quota.requests_per_second * kElectionS;
  } else {
    Settle(now, account);
  }
  account.quota = quota;
  account.limited_version = routing_version_;
  ++limited_;
}

void QuotaAllocator::AddHoldings(const Host& host) {
  for (const auto& [customer, holding] : host.holdings) {
    auto found = customers_.find(customer);
    if (found != customers_.end()) {
      Account& account = found->second;
      account.outstanding += holding.outstanding;
      account.silent += host.silent ? holding.outstanding : 0.0;
      account.capacity += QuotaCapacity(account.quota, holding.outstanding);
    }
  }
}

void QuotaAllocator::SetOutstanding(Instant now,
                                    const Host& host,
                                    const std::string& customer,
                                    Holding& holding,
                                    double outstanding) {
  const double before = std::exchange(holding.outstanding, outstanding);
  auto found = customers_.find(customer);
  if (found == customers_.end() || before == outstanding) {
    return;
  }
  Account& account = found->second;
  Settle(now, account);
  account.outstanding += outstanding - before;
  account.silent += host.silent ? outstanding - before : 0.0;
  account.capacity += QuotaCapacity(account.quota, outstanding) -
                      QuotaCapacity(account.quota, before);
}

void QuotaAllocator::SetSilent(Instant now, Host& host, bool silent) {
  if (std::exchange(host.silent, silent) == silent) {
    return;
  }
  for (const auto& [customer, holding] : host.holdings) {
    auto found = customers_.find(customer);
    if (found != customers_.end() && holding.outstanding > 0.0) {
      Settle(now, found->second);
      found->second.silent +=
          silent ? holding.outstanding : -holding.outstanding;
    }
  }
}

void QuotaAllocator::Drop(Instant now, Host& host) {
  for (auto& [customer, holding] : host.holdings) {
    SetOutstanding(now, host, customer, holding, 0.0);
  }
}

void QuotaAllocator::Tick(Instant now) {
  const auto expired = [&](const Host& host) {
    return now - host.granted_at > kQuotaLease + kLeaseMargin;
  };
  for (auto& [name, host] : hosts_) {
    if (now - host.contact_at > kSilence) {
      SetSilent(now, host, true);
    }
    if (expired(host)) {
      Drop(now, host);
    }
  }
  std::erase_if(hosts_,
                [&](const auto& entry) { return expired(entry.second); });
  for (Host& host : ended_) {
    if (expired(host)) {
      Drop(now, host);
    }
  }
  std::erase_if(ended_, expired);
  const bool learned = unreported_.empty() && now - began_ >= kMinLearning;
  if (!complete_ && (learned || now - began_ > kQuotaLease + kLeaseMargin)) {
    for (auto& [customer, account] : customers_) {
      Settle(now, account);
    }
    complete_ = true;
  }
  for (const std::string& customer : std::set<std::string>(closed_)) {
    Account& account = customers_.find(customer)->second;
    Settle(now, account);
    UpdateClosed(customer, account);
  }
}

// What the earlier start of a host held stays reserved until its lease ends.
QuotaAllocator::Host& QuotaAllocator::HostOf(Instant now,
                                             const QuotaReport& report) {
  auto [entry, inserted] = hosts_.try_emplace(report.host);
  Host& host = entry->second;
  if (!inserted && host.epoch != report.epoch) {
    SetSilent(now, host, true);
    ended_.push_back(std::exchange(host, Host{}));
  }
  host.epoch = report.epoch;
  return host;
}

// A host that does not name the newest grant may not have it: it may hold the
// most of all that it was granted since. A host that was silent may use its
// share alone until it names a recent grant.
void QuotaAllocator::Confirm(Instant now,
                             Host& host,
                             const QuotaReport& report) {
  const bool confirmed = host.serial > 0 && report.term == term_ &&
                         report.grant_serial == host.serial;
  if (confirmed) {
    host.confirmed_at = host.granted_at;
    if (now - host.confirmed_at <= kSilence) {
      SetSilent(now, host, false);
      host.contact_at = now;
    }
    for (auto& [customer, holding] : host.holdings) {
      SetOutstanding(now, host, customer, holding, holding.granted);
    }
  } else if (host.serial > 0) {
    host.contact_at = host.confirmed_at;
  }
  if (!report.lists_shares) {
    return;
  }
  for (const QuotaShare& held : report.holds) {
    Holding& holding = host.holdings[held.customer];
    if (!host.listed) {
      holding.granted = held.share;
    }
    SetOutstanding(now, host, held.customer, holding,
                   std::max(holding.outstanding, held.share));
  }
  host.listed = true;
  unreported_.erase(report.host);
}

// Counts are totals of the host, so that each report replaces the ones before
// it. Hosts of earlier versions begin at 0 again when a customer or its quota
// comes back, and their new totals must not be compared with earlier ones. A
// host that goes on names as counted the total of its newest report on the
// customer, or if that was not answered, what it named in it. Any other number
// means that it has begun again.
bool QuotaAllocator::ReadUses(Instant now,
                              Host& host,
                              const QuotaReport& report) {
  if (report.serial <= host.report_serial) {
    return false;
  }
  host.report_serial = report.serial;
  bool began_anew = false;
  for (const QuotaUse& use : report.uses) {
    Holding& holding = host.holdings[use.customer];
    std::int64_t counted = use.counted;
    if (holding.reported) {
      const bool answered = report.term == term_ &&
                            report.grant_serial <= host.serial &&
                            report.grant_serial >= holding.answered_by;
      const bool continues =
          use.counted ==
          (answered ? holding.reported->used : holding.reported->counted);
      counted = continues ? holding.reported->used : use.counted;
      began_anew |= !continues;
    }
    holding.reported = use;
    holding.answered_by = host.serial + 1;
    holding.demand.Add(now, use.demand);
    auto found = customers_.find(use.customer);
    if (found != customers_.end()) {
      found->second.demand.Add(now, use.demand);
      Charge(now, use.customer, static_cast<double>(use.used - counted));
    }
  }
  return began_anew;
}

double QuotaAllocator::NewShare(Instant now,
                                const Account& account,
                                const Holding& holding) const {
  // A new leader does not know the demand yet: what hosts hold fits it better.
  const bool learning = now - began_ < kLearnDemand && holding.granted > 0.0;
  const double own = holding.demand.Weight(now);
  const double all = account.demand.Weight(now);
  if (!learning && (own < kMinDemandWeight || all <= 0.0)) {
    return 0.0;
  }
  const double desired =
      learning ? holding.granted : kSharedFraction * std::min(1.0, own / all);
  const bool close = std::abs(desired - holding.granted) <
                     std::max(kMinShareStep, kShareTolerance * holding.granted);
  double share = close ? holding.granted : desired;
  if (share > holding.outstanding) {
    const double free = complete_ ? kSharedFraction - account.outstanding : 0.0;
    share = std::min(share, holding.outstanding + std::max(0.0, free));
  }
  // The buckets of all hosts together must leave room for requests that are
  // admitted on contact.
  const double most = account.quota.burst +
                      bounds_.overshoot * bounds_.Nominal(account.quota) +
                      bounds_.slack / 2.0;
  const double before = QuotaCapacity(account.quota, holding.outstanding);
  const double capacity = account.capacity - before +
                          std::max(before, QuotaCapacity(account.quota, share));
  return capacity > most ? 0.0 : share;
}

void QuotaAllocator::Rebalance(Instant now,
                               Host& host,
                               const QuotaReport& report,
                               QuotaGrant& grant) {
  const auto decide = [&](const std::string& customer, Holding& holding) {
    auto found = customers_.find(customer);
    const bool limited = found != customers_.end() && IsLimited(found->second);
    const double share = limited ? NewShare(now, found->second, holding) : 0.0;
    if (share == holding.granted) {
      return;
    }
    holding.granted = share;
    SetOutstanding(now, host, customer, holding,
                   std::max(holding.outstanding, share));
    if (!grant.full) {
      grant.shares.push_back({customer, share});
    }
  };
  if (now - host.rebalanced_at >= kRebalanceInterval) {
    host.rebalanced_at = now;
    for (auto& [customer, holding] : host.holdings) {
      decide(customer, holding);
    }
    std::erase_if(host.holdings, [&](const auto& entry) {
      const Holding& holding = entry.second;
      return holding.outstanding == 0.0 &&
             holding.demand.Weight(now) < kForgottenDemandWeight;
    });
  } else {
    for (const QuotaUse& use : report.uses) {
      auto found = host.holdings.find(use.customer);
      if (found != host.holdings.end()) {
        decide(found->first, found->second);
      }
    }
  }
  if (grant.full) {
    for (const auto& [customer, holding] : host.holdings) {
      if (holding.granted > 0.0) {
        grant.shares.push_back({customer, holding.granted});
      }
    }
  }
}

QuotaGrant QuotaAllocator::OnReport(Instant now, const QuotaReport& report) {
  Host& host = HostOf(now, report);
  QuotaGrant grant;
  grant.leads = true;
  grant.term = term_;
  grant.report_serial = report.serial;
  grant.routing_version = routing_version_;
  grant.lease_ms =
      std::chrono::duration_cast<milliseconds>(kQuotaLease).count();
  // Changes build on the newest grant: a host that lacks it gets all shares.
  // So does one that lists what it holds: its lease may have ended here later.
  // One that counts a customer anew has also dropped the share.
  grant.full = host.serial == 0 || report.term != term_ ||
               report.grant_serial != host.serial || report.lists_shares;
  Confirm(now, host, report);
  if (ReadUses(now, host, report)) {
    grant.full = true;
  }
  if (host.listed) {
    Rebalance(now, host, report, grant);
  } else {
    grant.full = false;
    grant.wants_shares = true;
  }
  grant.serial = ++host.serial;
  grant.closed.assign(closed_.begin(), closed_.end());
  host.granted_at = now;
  return grant;
}

QuotaUsage QuotaAllocator::UsageOf(Instant now,
                                   const std::string& customer) const {
  QuotaUsage usage;
  usage.customer = customer;
  auto found = customers_.find(customer);
  if (found != customers_.end()) {
    Account account = found->second;
    Settle(now, account);
    usage.quota = account.quota;
    usage.requests_per_second =
        account.demand.Weight(now) / kDemandTimeConstantS;
    usage.tokens = account.tokens;
    usage.closed = account.closed;
    usage.shares = account.outstanding;
  }
  return usage;
}

std::vector<QuotaUsage> QuotaAllocator::Usage(Instant now,
                                              std::size_t limit) const {
  std::vector<QuotaUsage> usage;
  for (const auto& [customer, account] : customers_) {
    const bool busy =
        account.demand.Weight(now) >= kMinDemandWeight || account.closed;
    if (busy && IsLimited(account)) {
      usage.push_back(UsageOf(now, customer));
    }
  }
  std::ranges::sort(usage, std::greater(), &QuotaUsage::requests_per_second);
  usage.resize(std::min(usage.size(), limit));
  for (QuotaUsage& item : usage) {
    for (const auto& [name, host] : hosts_) {
      auto found = host.holdings.find(item.customer);
      if (found != host.holdings.end()) {
        item.hosts.emplace_back(
            name, found->second.demand.Weight(now) / kDemandTimeConstantS);
      }
    }
    std::ranges::sort(item.hosts, [](const auto& a, const auto& b) {
      return a.second > b.second;
    });
    item.hosts.resize(std::min(item.hosts.size(), kHostsShown));
  }
  return usage;
}

}  // namespace snipeworks
