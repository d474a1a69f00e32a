#ifndef SNIPEWORKS_ENTRY_HOST_REGISTRY_H_
#define SNIPEWORKS_ENTRY_HOST_REGISTRY_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "snipeworks/clock.h"

namespace snipeworks {

/// The entry hosts that control hosts hear of together. Each control host tells
/// the others of those that ask it itself, and of each of them seldom: a host
/// is remembered for much longer than it takes to tell of it again.
///
/// Load pattern: hundreds of entry hosts, each known to every control host,
/// whose names would otherwise go to all others with each message.
///
/// Does no I/O and reads no clock.
class EntryHostRegistry {
 public:
  /// `host` has asked this control host.
  void Hear(Instant now, const std::string& host);
  /// Another control host has heard `host`.
  void HearOf(Instant now, const std::string& host);

  /// The hosts to tell `peer` of now; they count as told.
  std::vector<std::string> TakeNews(Instant now, const std::string& peer);
  /// What was last told to `peer` did not reach it.
  void NotTold(const std::string& peer) { told_.erase(peer); }

  /// Forgets hosts that nobody has heard of for long.
  void Prune(Instant now);

  /// Hosts that are remembered.
  std::size_t size() const { return heard_of_.size(); }

 private:
  using Times = std::map<std::string, Instant>;

  Times heard_;     ///< By this control host itself.
  Times heard_of_;  ///< By any.
  std::map<std::string, Times> told_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_ENTRY_HOST_REGISTRY_H_
