#ifndef SNIPEWORKS_RELAY_SELECTOR_H_
#define SNIPEWORKS_RELAY_SELECTOR_H_

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "snipeworks/clock.h"
#include "snipeworks/random.h"

namespace snipeworks {

/// An entry host that may run requests for others.
struct RelayHost {
  std::string host;
  std::string zone;
  std::string address;  ///< "IP:port" at which it takes relayed requests.

  friend auto operator<=>(const RelayHost&, const RelayHost&) = default;
};

/// Chooses the entry host that runs a request for this one.
///
/// Load pattern: most hosts of the fleet, or a whole availability zone, have
/// lost their targets, and the others take their requests. Hosts that are
/// unreachable, stopping or without targets themselves are found by trying
/// them, and are left alone for a while then.
///
/// Does no I/O and reads no clock.
class RelaySelector {
 public:
  RelaySelector(std::string zone, std::uint64_t seed)
      : zone_(std::move(zone)), random_(seed) {}

  /// Replaces the hosts, other than this one.
  void SetHosts(const std::vector<RelayHost>& hosts);

  /// The address of the host to try next, or nothing if none is left that is
  /// neither in `tried` nor to be left alone.
  std::optional<std::string> Choose(Instant now,
                                    const std::vector<std::string>& tried);
  /// True if Choose would return a host that has not been tried.
  bool HasCandidate(Instant now) const;

  void OnSent(const std::string& address);
  void OnEnded(const std::string& address);
  /// The host has run a request.
  void OnServed(const std::string& address);
  /// The host cannot run requests now; it is reachable.
  void OnRefused(Instant now, const std::string& address);
  /// The host did not respond. Doubles the time for which it is left alone.
  void OnUnreachable(Instant now, const std::string& address);

  std::size_t hosts() const { return candidates_.size(); }

 private:
  struct Candidate {
    bool own_zone = false;
    std::size_t running = 0;
    Instant avoided_until{};
    Duration avoid_time{};
  };

  std::string zone_;
  Random random_;
  std::map<std::string, Candidate> candidates_;  ///< By address.
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_RELAY_SELECTOR_H_
