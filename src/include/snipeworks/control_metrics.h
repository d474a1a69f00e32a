#ifndef SNIPEWORKS_CONTROL_METRICS_H_
#define SNIPEWORKS_CONTROL_METRICS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "snipeworks/clock.h"
#include "snipeworks/consensus_node.h"
#include "snipeworks/peer_transport.h"

namespace snipeworks {

/// Gauge values, read when the metrics are scraped.
struct ControlGauges {
  bool leads = false;
  bool current = false;
  std::uint64_t term = 0;
  std::uint64_t commit_index = 0;
  std::uint64_t members = 0;
  /// Empty unless the host leads.
  std::optional<Redundancy> redundancy;
  std::uint64_t routing_version = 0;
  std::uint64_t targets = 0;
  std::uint64_t departures = 0;  ///< Kept in the control log.
  std::uint64_t evacuated_zones = 0;
  std::uint64_t entry_hosts = 0;
  std::uint64_t quota_customers = 0;  ///< 0 unless the host leads.
  std::uint64_t quota_closed = 0;     ///< That have used up their quota.
  std::uint64_t quota_hosts = 0;      ///< Entry hosts that report.
  bool quota_complete = false;        ///< The shares of all hosts are known.
  std::uint64_t log_lines = 0;
  std::uint64_t log_lines_dropped = 0;
  std::size_t client_held_bytes = 0;  ///< Memory that clients hold.
  std::uint64_t clients_turned_away = 0;
  PeerTraffic peer_traffic;
};

/// The metrics of a control host, in the Prometheus text format.
class ControlMetrics {
 public:
  ControlMetrics();
  ~ControlMetrics();

  /// Counts a call of a target or an operator, by its name and outcome.
  void OnCall(const char* call, const char* outcome);
  /// Records a synced write to the disk that took `latency`.
  void OnDiskSync(Duration latency);
  /// Records a change that was decided `latency` after it arrived.
  void OnDecided(Duration latency);

  /// Returns the page that Prometheus scrapes.
  std::string Serialize(const ControlGauges& gauges);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_CONTROL_METRICS_H_
