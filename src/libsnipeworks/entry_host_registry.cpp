#include "snipeworks/entry_host_registry.h"

#include <algorithm>

#include <xxhash.h>

namespace snipeworks {

namespace {

using std::chrono::seconds;

// Entry hosts that are down for less than this keep their share of the budgets.
constexpr Duration kRetention = seconds(60);
// A host that has not called for this long may be gone: it is no longer
// reported to the others.
constexpr Duration kContactTimeout = seconds(3);
// Hosts are resent several times within the retention time.
constexpr Duration kResendInterval = seconds(15);
// Enough that one of a zone's is up and reaches its targets, and few enough for
// each answer to an entry host, whatever the size of the fleet.
constexpr std::size_t kRelaysPerZone = 4;

std::uint64_t HashOf(const std::string& host) {
  return XXH3_64bits(host.data(), host.size());
}

}  // namespace

void EntryHostRegistry::RecordContact(Instant now, const RelayHost& host) {
  last_contact_[host.host] = now;
  RecordRelayedContact(now, host);
}

void EntryHostRegistry::RecordRelayedContact(Instant now,
                                             const RelayHost& host) {
  last_known_contact_[host.host] = now;
  Remember(host);
}

void EntryHostRegistry::Remember(const RelayHost& host) {
  auto [known, inserted] = hosts_.try_emplace(host.host, host);
  if (!inserted && known->second == host) {
    return;
  }
  if (!inserted) {
    rings_[known->second.zone].erase(HashOf(host.host));
    known->second = host;
  }
  rings_[host.zone][HashOf(host.host)] = host.host;
}

void EntryHostRegistry::Forget(const std::string& host) {
  auto node = hosts_.extract(host);
  if (!node.empty()) {
    rings_[node.mapped().zone].erase(HashOf(host));
  }
}

std::vector<std::string> EntryHostRegistry::names() const {
  std::vector<std::string> names;
  names.reserve(last_known_contact_.size());
  for (const auto& [host, contact_time] : last_known_contact_) {
    names.push_back(host);
  }
  return names;
}

// The successors of `host` on each zone's ring: origins of one zone spread over
// all hosts of another.
std::vector<RelayHost> EntryHostRegistry::RelaysFor(
    const std::string& host) const {
  std::vector<RelayHost> relays;
  for (const auto& [zone, ring] : rings_) {
    auto next = ring.upper_bound(HashOf(host));
    std::size_t added = 0;
    for (std::size_t i = 0; i < ring.size() && added < kRelaysPerZone; ++i) {
      next = next == ring.end() ? ring.begin() : next;
      const RelayHost& candidate = hosts_.at(next->second);
      if (candidate.host != host && !candidate.address.empty()) {
        relays.push_back(candidate);
        ++added;
      }
      ++next;
    }
  }
  return relays;
}

std::vector<RelayHost> EntryHostRegistry::TakeUpdates(Instant now,
                                                      const std::string& peer) {
  std::vector<RelayHost> updates;
  TimeByHost& last_sent = last_sent_[peer];
  for (const auto& [host, contact_time] : last_contact_) {
    if (now - contact_time >= kContactTimeout) {
      continue;
    }
    auto [entry, inserted] = last_sent.try_emplace(host, now);
    if (inserted || now - entry->second >= kResendInterval) {
      entry->second = now;
      updates.push_back(hosts_.at(host));
    }
  }
  return updates;
}

void EntryHostRegistry::Prune(Instant now) {
  const auto is_old = [&](const auto& entry) {
    return now - entry.second > kRetention;
  };
  std::erase_if(last_contact_, is_old);
  for (const auto& [host, contact_time] : last_known_contact_) {
    if (now - contact_time > kRetention) {
      Forget(host);
    }
  }
  std::erase_if(last_known_contact_, is_old);
  for (auto& [peer, last_sent] : last_sent_) {
    std::erase_if(last_sent, is_old);
  }
}

}  // namespace snipeworks
