#ifndef SNIPEWORKS_ENTRY_METRICS_H_
#define SNIPEWORKS_ENTRY_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>

#include "snipeworks/attempt.h"
#include "snipeworks/error.h"
#include "snipeworks/http_client.h"
#include "snipeworks/peer_transport.h"
#include "snipeworks/search.h"

namespace snipeworks {

/// Values sampled from a host each time its metrics are read.
struct EntryGauges {
  std::size_t running = 0;
  std::size_t waiting = 0;
  std::size_t targets = 0;
  std::size_t targets_usable = 0;
  /// Targets that limit the requests they take.
  std::size_t targets_limited = 0;
  std::size_t targets_cold = 0;  ///< Cold targets that have a limit.
  std::size_t zones_evacuated = 0;
  std::size_t quarantined = 0;
  std::uint64_t settings_version = 0;
  bool ready = false;
  bool cut_off = false;               ///< No other zone can be reached.
  bool targets_lost = false;          ///< No target can be reached.
  std::uint64_t quota_customers = 0;  ///< Customers with a quota.
  std::uint64_t quota_closed = 0;     ///< That have used it up.
  std::uint64_t quota_shares = 0;     ///< Of which this host holds a share.
  bool quota_contact = false;         ///< The leader answers reports.
  std::uint64_t quota_exceeded = 0;   ///< Requests refused.
  std::uint64_t quota_no_contact = 0;
  std::uint64_t quota_credited = 0;
  std::uint64_t relayed = 0;  ///< Requests that other hosts were asked to run.
  std::uint64_t relayed_here = 0;     ///< Requests run for other hosts.
  std::size_t customers = 0;          ///< In the routing in force.
  std::uint64_t unauthenticated = 0;  ///< Requests refused for their keys.
  /// Requests refused as a newer routing could have their keys.
  std::uint64_t unconfirmed_keys = 0;
  /// Requests that waited for the routing to be confirmed.
  std::uint64_t held = 0;
  /// Requests may run again where the routing in force allows it.
  bool may_repeat = false;
  std::uint64_t log_lines = 0;
  std::uint64_t log_lines_dropped = 0;
  std::size_t control_hosts = 0;      ///< That answered recently.
  std::size_t connections = 0;        ///< Open connections of callers.
  std::size_t client_held_bytes = 0;  ///< Memory that clients hold.
  std::uint64_t clients_turned_away = 0;
  PeerTraffic peer_traffic;
  HttpClientTraffic target_traffic;
};

/// Prometheus metrics of an entry host. Thread-safe.
class EntryMetrics {
 public:
  EntryMetrics();
  ~EntryMetrics();

  void OnAttempt(const std::string& group, AttemptKind kind);
  void OnOutcome(AttemptStatus status);
  void OnSearch(const SearchRequest& request,
                const Result<SearchAnswer>& result,
                Duration latency);
  void OnAction(const std::string& group, const char* outcome);

  /// All metrics in Prometheus' text format.
  std::string Serialize(const EntryGauges& gauges);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_ENTRY_METRICS_H_
