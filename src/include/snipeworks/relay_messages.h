#ifndef SNIPEWORKS_RELAY_MESSAGES_H_
#define SNIPEWORKS_RELAY_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "snipeworks/group_set.h"
#include "snipeworks/http_message.h"
#include "snipeworks/policy.h"
#include "snipeworks/relay_selector.h"
#include "snipeworks/wire.h"

namespace snipeworks {

/// Path of requests that one entry host runs for another.
inline constexpr char kRelayPath[] = "/entry/relay";

template <SameStruct<RelayHost> S>
auto WireFields(S& v) {
  return std::tie(v.host, v.zone, v.address);
}

template <SameStruct<HttpHeader> S>
auto WireFields(S& v) {
  return std::tie(v.name, v.value);
}

template <SameStruct<GroupPolicy> S>
auto WireFields(S& v) {
  return std::tie(
      v.answer, v.deadline_ms, v.soft_deadline_ms, v.selection,
      v.hedge_percentile, v.extra_attempts_percent, v.extra_attempts_slack,
      v.max_attempts, v.min_coverage_permille, v.other_zone_percent,
      v.probe_silent, v.objective_ms, v.canary, v.quarantine_s, v.admission,
      v.return_latest_percent, v.slow_start_ms, v.eject_ms, v.lease_ms);
}

/// A forwarded request and the plan that its origin has made for it. The
/// routing in force at the origin decides, so that an origin never falls behind
/// a version that its callers have seen the effect of.
struct RelayedForward {
  std::string origin;  ///< Host name, for the log.
  std::string plan_name;
  std::uint64_t plan_version = 0;
  GroupSet groups;
  GroupPolicy policy;
  std::int64_t request_class = 0;
  bool repeatable = true;
  std::int64_t budget_us = 0;  ///< Time left for the answer.
  std::uint32_t top_records = 0;
  bool pass_through = false;
  std::string request_id;
  std::uint64_t fingerprint = 0;
  std::string head;  ///< See SharedRequest.
  std::string body;
  bool is_head_method = false;
  std::string customer;  ///< Empty for none.
  std::uint32_t customer_rank = 0;
};

template <SameStruct<RelayedForward> S>
auto WireFields(S& v) {
  return std::tie(v.origin, v.plan_name, v.plan_version, v.groups, v.policy,
                  v.request_class, v.repeatable, v.budget_us, v.top_records,
                  v.pass_through, v.request_id, v.fingerprint, v.head, v.body,
                  v.is_head_method, v.customer, v.customer_rank);
}

template <>
inline constexpr std::size_t kOptionalWireFields<RelayedForward> = 2;

/// A caller's request to `snipe-entry`.
struct RelayedCall {
  std::string origin;  ///< Host name, for the log.
  std::string path;
  std::vector<HttpHeader> headers;
  std::string body;
  std::int64_t budget_us = 0;  ///< Time left; 0 for the group's default.
};

template <SameStruct<RelayedCall> S>
auto WireFields(S& v) {
  return std::tie(v.origin, v.path, v.headers, v.body, v.budget_us);
}

/// The answer to a relayed request.
struct RelayReply {
  /// False if the host does not take the request: it stops, or has lost its
  /// targets itself. Nothing was run, and the other fields are unset.
  bool accepted = false;
  std::uint16_t status = 0;
  std::string content_type;
  std::vector<HttpHeader> headers;
  std::string body;
  /// The Content-Length of a response to HEAD; -1 for that of `body`.
  std::int64_t declared_length = -1;

  static RelayReply From(const HttpResponse& response);
  HttpResponse ToResponse() const;
};

template <SameStruct<RelayReply> S>
auto WireFields(S& v) {
  return std::tie(v.accepted, v.status, v.content_type, v.headers, v.body,
                  v.declared_length);
}

/// The response that carries `reply` between hosts.
HttpResponse Encapsulate(const RelayReply& reply);

}  // namespace snipeworks

#endif  // SNIPEWORKS_RELAY_MESSAGES_H_
