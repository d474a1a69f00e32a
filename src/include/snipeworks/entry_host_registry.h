#ifndef SNIPEWORKS_ENTRY_HOST_REGISTRY_H_
#define SNIPEWORKS_ENTRY_HOST_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "snipeworks/clock.h"
#include "snipeworks/relay_selector.h"

namespace snipeworks {

/// The entry hosts known to the control hosts together. Each control host
/// reports to the others only the hosts that contact it directly, and each of
/// them rarely: hosts are kept for much longer than the interval between
/// reports.
///
/// Load pattern: hundreds of entry hosts, each known to every control host,
/// whose names would otherwise be sent to all others with each message.
///
/// Does no I/O and reads no clock.
class EntryHostRegistry {
 public:
  /// Records that `host` has called this control host.
  void RecordContact(Instant now, const RelayHost& host);
  /// Records that `host` has called another control host.
  void RecordRelayedContact(Instant now, const RelayHost& host);

  /// Returns the hosts to report to `peer` now and marks them as sent.
  std::vector<RelayHost> TakeUpdates(Instant now, const std::string& peer);
  /// Marks all hosts as unsent to `peer`: the last message did not reach it.
  void OnDeliveryFailed(const std::string& peer) { last_sent_.erase(peer); }

  /// Forgets hosts that no control host has heard from for long.
  void Prune(Instant now);

  /// The names of all known hosts.
  std::vector<std::string> names() const;

  /// Number of known hosts.
  std::size_t size() const { return last_known_contact_.size(); }

  /// The hosts that may run requests for `host`, which must be known: some of
  /// each zone, others for other hosts.
  std::vector<RelayHost> RelaysFor(const std::string& host) const;

 private:
  using TimeByHost = std::map<std::string, Instant>;

  void Remember(const RelayHost& host);
  void Forget(const std::string& host);

  TimeByHost last_contact_;        ///< With this control host.
  TimeByHost last_known_contact_;  ///< With any control host.
  std::map<std::string, TimeByHost> last_sent_;
  std::map<std::string, RelayHost> hosts_;  ///< By name.
  /// The names of the hosts of each zone by their hash.
  std::map<std::string, std::map<std::uint64_t, std::string>> rings_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_ENTRY_HOST_REGISTRY_H_
