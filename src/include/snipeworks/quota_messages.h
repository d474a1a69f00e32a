#ifndef SNIPEWORKS_QUOTA_MESSAGES_H_
#define SNIPEWORKS_QUOTA_MESSAGES_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "snipeworks/wire.h"

namespace snipeworks {

/// Path of the call by which entry hosts report the use of quotas.
inline constexpr char kControlQuotaPath[] = "/control/quota";

/// What an entry host did for one customer.
struct QuotaUse {
  std::string customer;
  std::uint32_t demand = 0;  ///< Requests since the last answered report.
  /// Requests admitted in contact with a leader since the host started, and how
  /// many of them a leader has counted.
  std::int64_t used = 0;
  std::int64_t counted = 0;

  friend bool operator==(const QuotaUse&, const QuotaUse&) = default;
};

template <SameStruct<QuotaUse> S>
auto WireFields(S& v) {
  return std::tie(v.customer, v.demand, v.used, v.counted);
}

/// A fraction of a customer's quota, 0 to 1.
struct QuotaShare {
  std::string customer;
  double share = 0.0;

  friend bool operator==(const QuotaShare&, const QuotaShare&) = default;
};

template <SameStruct<QuotaShare> S>
auto WireFields(S& v) {
  return std::tie(v.customer, v.share);
}

struct QuotaReport {
  std::string host;
  std::uint64_t epoch = 0;  ///< Changes with each start of the host.
  std::uint64_t serial = 0;
  /// Of the newest grant in force at the host; 0 if there is none.
  std::uint64_t term = 0;
  std::uint64_t grant_serial = 0;
  std::vector<QuotaUse> uses;
  /// True if `holds` lists all shares of the host.
  bool lists_shares = false;
  std::vector<QuotaShare> holds;
  std::int64_t lease_ms = 0;  ///< Left of the lease of the shares.
};

template <SameStruct<QuotaReport> S>
auto WireFields(S& v) {
  return std::tie(v.host, v.epoch, v.serial, v.term, v.grant_serial, v.uses,
                  v.lists_shares, v.holds, v.lease_ms);
}

struct QuotaGrant {
  bool leads = false;  ///< If not, only `leader` is set.
  std::string leader;  ///< Peer address; empty if it is not known.
  std::uint64_t term = 0;
  std::uint64_t serial = 0;
  std::uint64_t report_serial = 0;
  std::uint64_t routing_version = 0;  ///< By which shares were given.
  /// The leader does not know the shares of this host: its next report has to
  /// list them. Shares that are not in `shares` stay as they are.
  bool wants_shares = false;
  /// True if `shares` lists all shares of the host, false for changes alone.
  bool full = false;
  std::vector<QuotaShare> shares;
  /// All customers whose requests are admitted by shares alone, in the order of
  /// their names.
  std::vector<std::string> closed;
  std::int64_t lease_ms = 0;  ///< From the time when the report was sent.
};

template <SameStruct<QuotaGrant> S>
auto WireFields(S& v) {
  return std::tie(v.leads, v.leader, v.term, v.serial, v.report_serial,
                  v.routing_version, v.wants_shares, v.full, v.shares, v.closed,
                  v.lease_ms);
}

}  // namespace snipeworks

#endif  // SNIPEWORKS_QUOTA_MESSAGES_H_
