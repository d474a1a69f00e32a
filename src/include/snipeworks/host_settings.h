#ifndef SNIPEWORKS_HOST_SETTINGS_H_
#define SNIPEWORKS_HOST_SETTINGS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "snipeworks/address.h"
#include "snipeworks/clock.h"
#include "snipeworks/error.h"
#include "snipeworks/policy.h"

namespace snipeworks {

/// Another host of the system, as a settings file names it.
struct PeerHost {
  std::string host;
  std::string zone;
  Address address;

  friend auto operator<=>(const PeerHost&, const PeerHost&) = default;
};

/// Settings of one entry host or control host, read once at its start.
class HostSettings {
 public:
  /// Reads JSON with comments. Fails with kBadRequest: line and reason.
  static Result<HostSettings> Parse(std::string_view text);

  const std::string& host() const { return host_; }
  const std::string& zone() const { return zone_; }
  /// Where callers, targets, the platform and operators connect.
  const Address& http() const { return http_; }
  /// Where other hosts of the system connect.
  const Address& peer() const { return peer_; }
  /// Every entry host of the fleet, this one included.
  const std::vector<PeerHost>& entry_hosts() const { return entry_hosts_; }
  const std::vector<PeerHost>& control_hosts() const { return control_hosts_; }
  /// The folder for state that survives a restart; empty without a disk.
  const std::string& data_folder() const { return data_folder_; }
  /// File for spans; empty for none.
  const std::string& traces() const { return traces_; }
  /// Share of requests that are traced without being asked to.
  std::uint32_t trace_percent() const { return trace_percent_; }
  /// How long a host goes on accepting once it is shutting down.
  std::uint32_t shutdown_hold_ms() const { return shutdown_hold_ms_; }
  /// Whether links may be cut by request, for failure tests.
  bool allow_faults() const { return allow_faults_; }
  /// Where control hosts that may be alive are asked for the others; their
  /// peer port is that of this host.
  const std::vector<Address>& control_seeds() const { return control_seeds_; }
  /// Where the balancer asks for readiness; port 0 for nowhere.
  const Address& ready() const { return ready_; }
  /// Where metrics are read; port 0 for nowhere.
  const Address& metrics() const { return metrics_; }
  /// Whether all control hosts are starting a new cluster at once.
  bool first_start() const { return first_start_; }
  /// Whether control hosts take each other in and drop silent ones by
  /// themselves.
  bool automatic_members() const { return automatic_members_; }
  /// Control hosts whose disks may be lost at once: silent voters are dropped
  /// only while enough for that are left.
  std::uint32_t tolerated_losses() const { return tolerated_losses_; }
  /// How often targets report; several missed reports mean that one is gone.
  Duration report_interval() const { return report_interval_; }
  /// Most time from the order to stop to the end of the program.
  Duration shutdown_limit() const { return shutdown_limit_; }
  /// Of a route's objective, what the way to the caller and back takes.
  Duration answer_margin() const { return answer_margin_; }
  /// Policy of forwarded requests, where their route says nothing.
  const GroupPolicy& policy() const { return policy_; }

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
  Duration report_interval_ = std::chrono::seconds(1);
  Duration shutdown_limit_ = std::chrono::seconds(65);
  Duration answer_margin_{};
  GroupPolicy policy_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_HOST_SETTINGS_H_
