#ifndef SNIPEWORKS_HOST_SETTINGS_H_
#define SNIPEWORKS_HOST_SETTINGS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "snipeworks/address.h"
#include "snipeworks/error.h"

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
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_HOST_SETTINGS_H_
