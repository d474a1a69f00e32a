#ifndef SNIPEWORKS_HOST_SETTINGS_H_
#define SNIPEWORKS_HOST_SETTINGS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "snipeworks/address.h"
#include "snipeworks/clock.h"
#include "snipeworks/error.h"
#include "snipeworks/policy.h"
#include "snipeworks/quota_bounds.h"
#include "snipeworks/target_limits.h"

namespace snipeworks {

/// An entry host or control host in a settings file.
struct PeerHost {
  std::string host;
  std::string zone;
  Address address;

  friend auto operator<=>(const PeerHost&, const PeerHost&) = default;
};

/// Settings of one entry host or control host.
class HostSettings {
 public:
  /// Parses JSON with comments. Fails with kBadRequest, naming line and reason.
  static Result<HostSettings> Parse(std::string_view text);

  const std::string& host() const { return host_; }
  const std::string& zone() const { return zone_; }
  /// Listen address for callers, targets, the platform and operators.
  const Address& http() const { return http_; }
  /// Listen address for other hosts of the system.
  const Address& peer() const { return peer_; }
  /// All entry hosts of the fleet, including this one.
  const std::vector<PeerHost>& entry_hosts() const { return entry_hosts_; }
  const std::vector<PeerHost>& control_hosts() const { return control_hosts_; }
  /// Folder for state that survives a restart; empty on a host without a disk.
  const std::string& data_folder() const { return data_folder_; }
  /// File to which spans are written; empty for none.
  const std::string& traces() const { return traces_; }
  /// Percentage of requests sampled for tracing if their caller does not ask
  /// for it.
  std::uint32_t trace_percent() const { return trace_percent_; }
  /// How long a host continues to accept connections after shutdown begins.
  std::uint32_t shutdown_hold_ms() const { return shutdown_hold_ms_; }
  /// Whether requests may cut links to other hosts, for failure tests.
  bool allow_faults() const { return allow_faults_; }
  /// Addresses of possible control hosts, which are asked for the current
  /// members; their peer port is that of this host.
  const std::vector<Address>& control_seeds() const { return control_seeds_; }
  /// Listen address for the balancer's readiness checks; port 0 disables it.
  const Address& ready() const { return ready_; }
  /// Listen address for reading metrics; port 0 disables it.
  const Address& metrics() const { return metrics_; }
  /// Whether all control hosts are being started together to form a new
  /// cluster.
  bool first_start() const { return first_start_; }
  /// Whether control hosts add new members and remove silent ones without an
  /// operator.
  bool automatic_members() const { return automatic_members_; }
  /// Number of control hosts whose disks may be lost at the same time. Silent
  /// voters are removed only while enough voters for this remain.
  std::uint32_t tolerated_losses() const { return tolerated_losses_; }
  /// How often a control host saves the serving targets to its disk if they
  /// have changed; zero: never.
  Duration target_snapshot_interval() const {
    return target_snapshot_interval_;
  }
  /// Interval between a target's reports; a target that misses several is
  /// considered gone.
  Duration report_interval() const { return report_interval_; }
  /// Longest time from the request to stop to the end of the program.
  Duration shutdown_limit() const { return shutdown_limit_; }
  /// Part of a route's latency objective that the network between the caller
  /// and this host takes, both ways.
  Duration answer_margin() const { return answer_margin_; }
  /// How closely all entry hosts together keep customers' quotas.
  const QuotaBounds& quota_bounds() const { return quota_bounds_; }
  /// Bytes of memory that clients may hold at all listeners together; 0 for the
  /// program's default.
  std::size_t client_memory_bytes() const { return client_memory_bytes_; }
  /// Connections of clients at all listeners together; 0 for as many as the
  /// descriptors of the process allow.
  std::size_t client_connections() const { return client_connections_; }
  /// Time after which a client that moves no byte of a body or a response is
  /// turned away.
  Duration client_stall() const { return client_stall_; }
  /// Policy of forwarded requests, for what their route does not set.
  const GroupPolicy& policy() const { return policy_; }

  /// What the limits of requests that targets state, and those of cold targets,
  /// must keep to.
  const TargetLimitBounds& limit_bounds() const { return limit_bounds_; }

  friend auto operator<=>(const HostSettings&, const HostSettings&) = default;

 private:
  std::string host_;
  std::string zone_;
  Address http_;
  Address peer_;
  std::vector<PeerHost> entry_hosts_;
  std::vector<PeerHost> control_hosts_;
  std::string data_folder_;
  std::string traces_;
  std::uint32_t trace_percent_ = 0;
  std::uint32_t shutdown_hold_ms_ = 1000;
  bool allow_faults_ = false;
  std::vector<Address> control_seeds_;
  Address ready_;
  Address metrics_;
  bool first_start_ = false;
  bool automatic_members_ = false;
  std::uint32_t tolerated_losses_ = 1;
  Duration target_snapshot_interval_{};
  Duration report_interval_ = std::chrono::seconds(1);
  Duration shutdown_limit_ = std::chrono::seconds(65);
  Duration answer_margin_{};
  QuotaBounds quota_bounds_;
  std::size_t client_memory_bytes_ = 0;
  std::size_t client_connections_ = 0;
  Duration client_stall_ = std::chrono::seconds(20);
  GroupPolicy policy_;
  TargetLimitBounds limit_bounds_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_HOST_SETTINGS_H_
