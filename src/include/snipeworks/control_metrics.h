#ifndef SNIPEWORKS_CONTROL_METRICS_H_
#define SNIPEWORKS_CONTROL_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>

#include "snipeworks/clock.h"
#include "snipeworks/peer_transport.h"

namespace snipeworks {

/// Values that are read off a control host when its metrics are asked for.
struct ControlGauges {
  bool leads = false;
  bool current = false;
  std::uint64_t term = 0;
  std::uint64_t commit_index = 0;
  std::uint64_t members = 0;
  std::uint64_t routing_version = 0;
  std::uint64_t targets = 0;
  std::uint64_t entry_hosts = 0;
  std::uint64_t log_lines = 0;
  std::uint64_t log_lines_dropped = 0;
  PeerTraffic peers;
};

/// The metrics of a control host, in Prometheus' text form.
class ControlMetrics {
 public:
  ControlMetrics();
  ~ControlMetrics();

  /// A call of a target or an operator, by what it was and how it ended.
  void OnCall(const char* call, const char* outcome);
  /// A write to the disk that took `latency`.
  void OnSync(Duration latency);
  /// A change that was decided `latency` after it came.
  void OnDecided(Duration latency);

  /// The page that Prometheus reads.
  std::string Page(const ControlGauges& gauges);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_CONTROL_METRICS_H_
