#ifndef SNIPEWORKS_QUOTA_LIMITER_H_
#define SNIPEWORKS_QUOTA_LIMITER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "snipeworks/clock.h"
#include "snipeworks/quota_bounds.h"
#include "snipeworks/quota_messages.h"
#include "snipeworks/routing.h"
#include "snipeworks/string_map.h"

namespace snipeworks {

/// Whether a host admits a request of a customer.
struct QuotaDecision {
  enum class Outcome {
    kAdmitted,
    kExceeded,   ///< The quota is used up.
    kNoContact,  ///< No leader answers and the host has no share.
  };
  Outcome outcome = Outcome::kAdmitted;
  /// True if the request counts against the customer's quota.
  bool charged = false;
  bool reported = false;   ///< The leader is told of the charge.
  Duration retry_after{};  ///< If not admitted: when room is expected.

  friend bool operator==(const QuotaDecision&, const QuotaDecision&) = default;
};

/// The part of customers' quotas that an entry host may use.
///
/// While the leader of the control hosts answers and has not closed a customer,
/// the host admits the customer's requests and reports them. Otherwise it
/// admits them by its share of the quota, from a token bucket that starts
/// empty.
///
/// Load pattern: a customer sends few requests, each to another host, so that
/// no fixed division of the quota fits; hosts lose the leader for seconds.
///
/// Does no I/O and reads no clock.
class QuotaLimiter {
 public:
  QuotaLimiter(std::string host, std::uint64_t epoch, QuotaBounds bounds);

  /// Takes the quotas of `routing`. Customers without one are not limited.
  void SetQuotas(Instant now, const Routing& routing);

  /// Decides on a request of `customer` and charges it if it is admitted.
  QuotaDecision Take(Instant now, const std::string& customer);
  /// Takes back a charge: the request was not sent to any target.
  void Credit(Instant now,
              const std::string& customer,
              const QuotaDecision& charge);

  /// When the next report is due; nullopt if no customer has a quota or a
  /// report waits for its answer.
  std::optional<Instant> NextReport() const;
  /// The report to send now. OnGrant or OnReportLost has to follow.
  QuotaReport TakeReport(Instant now);
  void OnGrant(Instant now, const QuotaGrant& grant);
  /// The report with this serial was not answered.
  void OnReportLost(Instant now, std::uint64_t report_serial);

  /// True if the leader has answered a report of the last second.
  bool InContact(Instant now) const { return now < contact_until_; }

  /// Number of customers with a quota.
  std::size_t customers() const { return limited_; }
  std::size_t closed() const;
  /// Number of customers with a quota of which the host holds a share.
  std::size_t shares(Instant now) const;
  double ShareOf(Instant now, const std::string& customer) const;

 private:
  // What the host and the leader have told each other of a customer. It lasts
  // until the host ends, whatever versions leave the customer or its quota out:
  // both ends go on from the same counts and shares when these come back.
  struct State {
    Quota quota;
    /// The newest routing version that has the quota; 0 for none so far.
    std::uint64_t limited_version = 0;
    double share = 0.0;
    bool closed = false;
    /// Routing version that introduced or lowered the quota. A capacity of one
    /// token counts only for shares that were given by this version or a newer
    /// one.
    std::uint64_t lowered_version = 0;
    double tokens = 0.0;
    /// When `tokens` was right; in the future while no tokens are collected.
    Instant tokens_at{};
    std::uint32_t demand = 0;
    std::int64_t used = 0;
    std::int64_t counted = 0;
    /// True if the customer is in active_.
    bool active = false;
    /// When the first of the charges was made that are not counted yet.
    Instant uncounted_since{};
  };

  // Points into customers_.
  struct Active {
    const std::string* customer;
    State* state;
  };

  void Activate(const std::string& customer, State& state);
  bool IsLimited(const State& state) const {
    return state.limited_version > 0 &&
           state.limited_version == routing_version_;
  }
  void SetQuota(Instant now,
                const Customer& customer,
                std::uint64_t previous_version);
  void ApplyClosed(Instant now, const QuotaGrant& grant, bool was_in_contact);
  void Settle(Instant now, State& state) const;
  double Capacity(const State& state) const;
  double UncountedAllowance(Instant now, const State& state) const;
  QuotaDecision TakeToken(Instant now, State& state);
  void ApplyShares(Instant now, const QuotaGrant& grant);
  void ReportSoon(Instant now, Duration delay);

  std::string host_;
  std::uint64_t epoch_;
  QuotaBounds bounds_;
  StringMap<State> customers_;
  std::size_t limited_ = 0;  ///< Of customers_, those with a quota.
  /// The customers with a share, something to report, or a closed quota:
  /// reports and grants look at no others.
  std::vector<Active> active_;
  std::uint64_t routing_version_ = 0;
  std::uint64_t term_ = 0;
  std::uint64_t grant_serial_ = 0;
  std::uint64_t granted_version_ = 0;
  Instant contact_until_{};
  Instant lease_until_{};
  bool lists_shares_ = true;
  std::uint64_t report_serial_ = 0;
  std::optional<QuotaReport> in_flight_;
  Instant sent_at_{};
  Instant next_report_at_{};
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_QUOTA_LIMITER_H_
