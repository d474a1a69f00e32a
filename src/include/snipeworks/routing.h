#ifndef SNIPEWORKS_ROUTING_H_
#define SNIPEWORKS_ROUTING_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "snipeworks/clock.h"
#include "snipeworks/error.h"
#include "snipeworks/group_set.h"
#include "snipeworks/wire.h"

namespace snipeworks {

/// A service group and its relative share of a route's requests.
struct WeightedGroup {
  std::string group;
  std::uint32_t weight = 1;

  friend auto operator<=>(const WeightedGroup&, const WeightedGroup&) = default;
};

template <SameStruct<WeightedGroup> S>
auto WireFields(S& v) {
  return std::tie(v.group, v.weight);
}

/// The destination of requests with one host name and path prefix. Either
/// `groups` or `shards` is set.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  /// False if a request must run at most once.
  bool repeatable = false;
  std::int64_t timeout_ms = 0;    ///< Maximum time until the caller's answer.
  std::int64_t objective_ms = 0;  ///< Answers have full value until then.
  std::uint32_t rank = 0;         ///< 0 is the most urgent.
  /// Maximum number of targets that run one request, for each shard.
  std::uint32_t max_attempts = 1;
  /// One group, or several among which requests are split by weight.
  std::vector<WeightedGroup> groups;
  /// Groups that each hold a part of the requested data.
  GroupSet shards;
  std::uint32_t top_records = 0;  ///< Records in an answer over all shards.
  double min_shard_share = 0.0;   ///< Minimum share of shards in an answer.
  /// True if requests need no key of a customer.
  bool is_public = false;

  friend auto operator<=>(const Route&, const Route&) = default;
};

template <SameStruct<Route> S>
auto WireFields(S& v) {
  return std::tie(v.name, v.host, v.path_prefix, v.repeatable, v.timeout_ms,
                  v.objective_ms, v.rank, v.max_attempts, v.groups, v.shards,
                  v.top_records, v.min_shard_share, v.is_public);
}

template <>
inline constexpr std::size_t kOptionalWireFields<Route> = 1;

/// The operator's settings for a service group.
struct GroupSpec {
  std::string name;
  std::string health_path;
  /// Connections to one target from all entry hosts together.
  std::uint32_t max_connections = 0;
  /// Requests per second that a cold target tolerates from all entry hosts
  /// together; 0 for no limit.
  double cold_requests_per_second = 0.0;
  /// How long a target stays cold after its start.
  std::int64_t cold_start_ms = 0;

  friend auto operator<=>(const GroupSpec&, const GroupSpec&) = default;
};

template <SameStruct<GroupSpec> S>
auto WireFields(S& v) {
  return std::tie(v.name, v.health_path, v.max_connections,
                  v.cold_requests_per_second, v.cold_start_ms);
}

template <>
inline constexpr std::size_t kOptionalWireFields<GroupSpec> = 2;

/// A customer whose requests are recognized by a key.
struct Customer {
  std::string name;
  std::vector<std::string> keys;
  std::uint32_t rank = 0;  ///< 0 is served first; goes before a route's rank.
  /// Requests per second at all entry hosts together, and the burst beyond
  /// them; 0 for no limit.
  double requests_per_second = 0.0;
  double burst = 0.0;

  friend auto operator<=>(const Customer&, const Customer&) = default;
};

template <SameStruct<Customer> S>
auto WireFields(S& v) {
  return std::tie(v.name, v.keys, v.rank, v.requests_per_second, v.burst);
}

/// Limits on callers' requests and connections.
struct CallerLimits {
  std::uint64_t max_header_bytes = 0;
  std::uint64_t max_body_bytes = 0;
  /// From the first byte of a request to the end of its headers.
  std::int64_t header_timeout_ms = 0;
  std::int64_t idle_timeout_ms = 0;  ///< Without a request in progress.

  friend auto operator<=>(const CallerLimits&, const CallerLimits&) = default;
};

template <SameStruct<CallerLimits> S>
auto WireFields(S& v) {
  return std::tie(v.max_header_bytes, v.max_body_bytes, v.header_timeout_ms,
                  v.idle_timeout_ms);
}

/// One complete version of the routing configuration.
struct Routing {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<GroupSpec> groups;
  CallerLimits limits;
  std::vector<Customer> customers;

  friend auto operator<=>(const Routing&, const Routing&) = default;
};

template <SameStruct<Routing> S>
auto WireFields(S& v) {
  return std::tie(v.version, v.routes, v.groups, v.limits, v.customers);
}

template <>
inline constexpr std::size_t kOptionalWireFields<Routing> = 1;

/// Rejects routes to no group or an unknown group, two routes with the same
/// host name and path prefix, weights that add up to 0, routes without a
/// timeout, customers with the same name or key, and names and keys of
/// customers that cannot stand in a header. Fails with kBadRequest; the reason
/// contains no key.
Result<void> Validate(const Routing& routing);

/// The difference between two versions.
struct RoutingChange {
  std::uint64_t from = 0;
  std::uint64_t version = 0;
  std::vector<Route> routes;                ///< New or changed.
  std::vector<std::string> removed_routes;  ///< By name.
  std::vector<GroupSpec> groups;            ///< New or changed.
  std::vector<std::string> removed_groups;  ///< By name.
  CallerLimits limits;
  std::vector<Customer> customers;             ///< New or changed.
  std::vector<std::string> removed_customers;  ///< By name.

  friend auto operator<=>(const RoutingChange&, const RoutingChange&) = default;
};

template <SameStruct<RoutingChange> S>
auto WireFields(S& v) {
  return std::tie(v.from, v.version, v.routes, v.removed_routes, v.groups,
                  v.removed_groups, v.limits, v.customers, v.removed_customers);
}

template <>
inline constexpr std::size_t kOptionalWireFields<RoutingChange> = 2;

/// The change that turns `from` into `to`; nullopt if names are not unique.
std::optional<RoutingChange> DiffRouting(const Routing& from,
                                         const Routing& to);

/// `routing` with `change` applied; nullopt if `change` starts from another
/// version.
std::optional<Routing> ApplyRoutingChange(const Routing& routing,
                                          const RoutingChange& change);

/// Finds the route of a request. Immutable.
class RouteTable {
 public:
  explicit RouteTable(Routing routing);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  /// The route of `host` with the longest prefix of `path`, or null. A port in
  /// `host` is ignored.
  const Route* Find(std::string_view host, std::string_view path) const;

  const Routing& routing() const { return routing_; }
  /// The settings of `group`, or null.
  const GroupSpec* FindGroup(std::string_view group) const;

 private:
  Routing routing_;
  std::unordered_map<std::string, const Route*> routes_by_prefix_;
  std::unordered_map<std::string, const GroupSpec*> groups_by_name_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_ROUTING_H_
