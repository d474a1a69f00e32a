#ifndef SNIPEWORKS_PROTOCOL_NAMES_H_
#define SNIPEWORKS_PROTOCOL_NAMES_H_

#include <string>

namespace snipeworks {

/// Names of the HTTP headers exchanged between callers, entry hosts and
/// targets. The defaults are those of the product; a deployment with another
/// protocol replaces them.
struct ForwardNames {
  /// Identifies one attempt of a caller; echoed in every answer.
  std::string request_id = "Snipe-Request-Id";
  /// Milliseconds until the sender stops waiting.
  std::string deadline_ms = "Snipe-Deadline-Ms";
  /// The only target that may run the request; any other answers 421.
  std::string expected_target = "Snipe-Expected-Target";
  /// A target's signature of its answer, passed on unchanged.
  std::string signature = "Snipe-Signature";
  /// Present in an answer of a target that did not run the request.
  std::string not_run = "Snipe-Not-Run";
  /// `leaving_value` in any answer of a target that accepts no new work.
  std::string leaving = "Snipe-Leaving";
  std::string leaving_value = "1";
  /// Requests running and waiting at a target, and its slots, comma-separated.
  std::string load = "Snipe-Load";
  /// Requests per second that a target takes from all entry hosts together, for
  /// as long as its answers say so; a decimal number.
  std::string request_limit = "Snipe-Request-Limit";
  /// Signatures of the parts in an answer over all shards, comma-separated.
  std::string part_signatures = "Snipe-Part-Signatures";
  /// Number of shards missing from an answer.
  std::string missing_parts = "Snipe-Parts-Missing";
  /// Name of the customer that sent the request, set by the entry host.
  std::string customer = "Snipe-Customer";
  /// Carries `key_scheme`, a blank and a customer's key; never passed on while
  /// the routing has customers.
  std::string authorization = "Authorization";
  std::string key_scheme = "Token";
  /// Path of the load balancer's readiness check.
  std::string ready_path = "/ready";
};

/// Field names of the operator's routing document.
struct RoutingNames {
  std::string version = "version";
  std::string routes = "routes";
  std::string name = "name";
  std::string host = "host";
  std::string path_prefix = "path_prefix";
  std::string kind = "kind";
  std::string repeatable = "repeatable";  ///< Value of `kind`.
  std::string timeout_ms = "timeout_ms";
  std::string objective_ms = "objective_ms";
  std::string rank = "rank";
  std::string group = "group";
  std::string weighted_groups = "weighted_groups";
  std::string weight = "weight";
  std::string shards = "shards";
  std::string max_attempts = "max_attempts";
  std::string top_records = "top_records";
  std::string min_shard_share = "min_shard_share";
  std::string is_public = "public";
  std::string groups = "groups";
  std::string health_path = "health_path";
  std::string max_connections = "max_connections";
  /// Requests per second that a cold target tolerates, and seconds that it
  /// stays cold.
  std::string cold_requests_per_second = "cold_requests_per_s";
  std::string cold_start_s = "cold_start_s";
  std::string limits = "limits";
  std::string max_header_bytes = "max_header_bytes";
  std::string max_body_bytes = "max_body_bytes";
  std::string header_timeout_ms = "header_timeout_ms";
  std::string idle_timeout_ms = "idle_timeout_ms";
  std::string customers = "customers";
  std::string keys = "keys";
  std::string requests_per_second = "requests_per_s";
  std::string burst = "burst";
};

/// Field names of a target's report on its own state.
struct ReportNames {
  std::string group = "group";
  std::string address = "address";
  std::string zone = "zone";
  std::string version = "version";  ///< Of the target's software.
  std::string slots = "slots";
  std::string state = "state";
  std::string serving = "serving";    ///< Value of `state`.
  std::string draining = "draining";  ///< Value of `state`.
  std::string cold_ms = "cold_ms";
  std::string sequence = "sequence";
  std::string incarnation = "incarnation";
};

/// Paths and field names of the calls that control hosts serve to targets and
/// operators.
struct ControlNames {
  std::string report_prefix = "/v1/targets/";  ///< Before a target's name.
  std::string report_suffix = "/report";
  std::string leave_suffix = "/leave";
  std::string replace_path = "/v1/routing/replace";
  std::string read_path = "/v1/routing";
  std::string evacuation_prefix = "/v1/zones/";  ///< Before a zone's name.
  std::string evacuate_suffix = "/evacuate";
  std::string readmit_suffix = "/readmit";
  ReportNames report;
  RoutingNames routing;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_PROTOCOL_NAMES_H_
