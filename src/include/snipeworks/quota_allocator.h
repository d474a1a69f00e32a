#ifndef SNIPEWORKS_QUOTA_ALLOCATOR_H_
#define SNIPEWORKS_QUOTA_ALLOCATOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "snipeworks/clock.h"
#include "snipeworks/quota_bounds.h"
#include "snipeworks/quota_messages.h"
#include "snipeworks/routing.h"
#include "snipeworks/string_map.h"

namespace snipeworks {

/// The use of one customer's quota, for operators.
struct QuotaUsage {
  std::string customer;
  Quota quota;
  double requests_per_second = 0.0;  ///< Demand, refused requests included.
  double tokens = 0.0;               ///< Requests left at once.
  bool closed = false;
  double shares = 0.0;  ///< Sum of the hosts' shares.
  /// The hosts with the most demand and their requests per second.
  std::vector<std::pair<std::string, double>> hosts;
};

/// Divides customers' quotas among entry hosts, on the leader of the control
/// hosts.
///
/// Counts the requests of all hosts that report against one token bucket for
/// each customer, and closes a customer whose bucket is used up. Also leases
/// out shares of each quota, by which hosts admit requests of closed customers
/// and those without contact to the leader. What silent hosts may use by their
/// shares is not given to others.
///
/// Does no I/O and reads no clock.
class QuotaAllocator {
 public:
  explicit QuotaAllocator(QuotaBounds bounds) : bounds_(bounds) {}

  /// Begins without any knowledge of shares. `known_hosts` are the entry hosts
  /// that may hold some.
  void BeginLeading(Instant now,
                    std::uint64_t term,
                    const std::vector<std::string>& known_hosts);

  /// Takes the quotas of `routing`.
  void SetQuotas(Instant now, const Routing& routing);

  /// Answers a report; the caller must be the leader with a quorum.
  QuotaGrant OnReport(Instant now, const QuotaReport& report);

  /// Notices silent hosts. Call every 100 ms.
  void Tick(Instant now);

  /// True once the shares of all hosts are known or have expired.
  bool complete() const { return complete_; }
  /// Number of customers with a quota.
  std::size_t customers() const { return limited_; }
  std::size_t hosts() const { return hosts_.size(); }
  std::size_t closed() const { return closed_.size(); }
  const std::set<std::string>& closed_customers() const { return closed_; }
  QuotaUsage UsageOf(Instant now, const std::string& customer) const;
  /// The customers with demand, the busiest first; at most `limit`.
  std::vector<QuotaUsage> Usage(Instant now, std::size_t limit) const;

 private:
  // A weight that decays, from which the demand is estimated.
  struct Demand {
    double weight = 0.0;
    Instant at{};

    double Weight(Instant now) const;
    void Add(Instant now, double weight_added);
  };
  struct Holding {
    double granted = 0.0;      ///< In the newest grant.
    double outstanding = 0.0;  ///< The most that the host may hold.
    /// As in the newest report that names the customer; nothing before.
    std::optional<QuotaUse> reported;
    /// Serial of the grant that answered that report.
    std::uint64_t answered_by = 0;
    Demand demand;
  };
  struct Host {
    std::uint64_t epoch = 0;
    std::uint64_t serial = 0;         ///< Of the newest grant.
    std::uint64_t report_serial = 0;  ///< Of the newest report.
    Instant granted_at{};
    /// When the newest grant was made that the host is known to have.
    Instant confirmed_at{};
    /// When the host was last known to be in contact.
    Instant contact_at{};
    bool listed = false;  ///< Its shares are known.
    /// It may use its shares without being counted here.
    bool silent = true;
    Instant rebalanced_at{};
    StringMap<Holding> holdings;
  };
  // Lasts as long as this host leads, whatever versions leave the customer or
  // its quota out: it is then refilled as before, and not closed.
  struct Account {
    Quota quota;
    /// The newest routing version that has the quota.
    std::uint64_t limited_version = 0;
    double tokens = 0.0;
    Instant tokens_at{};
    bool closed = false;
    double outstanding = 0.0;  ///< Sum over all hosts.
    double silent = 0.0;       ///< Sum over silent hosts.
    double capacity = 0.0;     ///< Of the buckets of all hosts.
    Demand demand;
  };

  void Settle(Instant now, Account& account) const;
  double PoolCapacity(const Account& account) const;
  double PoolFraction(const Account& account) const;
  void Charge(Instant now, const std::string& customer, double requests);
  void UpdateClosed(const std::string& customer, Account& account);
  void SetOutstanding(Instant now,
                      const Host& host,
                      const std::string& customer,
                      Holding& holding,
                      double outstanding);
  void SetSilent(Instant now, Host& host, bool silent);
  bool IsLimited(const Account& account) const {
    return account.limited_version == routing_version_;
  }
  void SetQuota(Instant now, const Customer& customer);
  void AddHoldings(const Host& host);
  Host& HostOf(Instant now, const QuotaReport& report);
  void Confirm(Instant now, Host& host, const QuotaReport& report);
  /// Charges what is new in `report`. Returns true if the host has begun to
  /// count anew for a customer.
  bool ReadUses(Instant now, Host& host, const QuotaReport& report);
  double NewShare(Instant now,
                  const Account& account,
                  const Holding& holding) const;
  void Rebalance(Instant now,
                 Host& host,
                 const QuotaReport& report,
                 QuotaGrant& grant);
  void Drop(Instant now, Host& host);

  QuotaBounds bounds_;
  std::uint64_t term_ = 0;
  Instant began_{};
  bool complete_ = false;
  std::set<std::string> unreported_;
  std::uint64_t routing_version_ = 0;
  StringMap<Account> customers_;
  std::size_t limited_ = 0;  ///< Of customers_, those with a quota.
  std::map<std::string, Host> hosts_;
  /// Earlier starts of hosts that began again, until their leases end.
  std::vector<Host> ended_;
  std::set<std::string> closed_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_QUOTA_ALLOCATOR_H_
