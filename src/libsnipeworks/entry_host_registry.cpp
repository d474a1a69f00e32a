#include "snipeworks/entry_host_registry.h"

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

}  // namespace

void EntryHostRegistry::RecordContact(Instant now, const std::string& host) {
  last_contact_[host] = now;
  last_known_contact_[host] = now;
}

void EntryHostRegistry::RecordRelayedContact(Instant now,
                                             const std::string& host) {
  last_known_contact_[host] = now;
}

std::vector<std::string> EntryHostRegistry::TakeUpdates(
    Instant now,
    const std::string& peer) {
  std::vector<std::string> updates;
  TimeByHost& last_sent = last_sent_[peer];
  for (const auto& [host, contact_time] : last_contact_) {
    if (now - contact_time >= kContactTimeout) {
      continue;
    }
    auto [entry, inserted] = last_sent.try_emplace(host, now);
    if (inserted || now - entry->second >= kResendInterval) {
      entry->second = now;
      updates.push_back(host);
    }
  }
  return updates;
}

void EntryHostRegistry::Prune(Instant now) {
  const auto is_old = [&](const auto& entry) {
    return now - entry.second > kRetention;
  };
  std::erase_if(last_contact_, is_old);
  std::erase_if(last_known_contact_, is_old);
  for (auto& [peer, last_sent] : last_sent_) {
    std::erase_if(last_sent, is_old);
  }
}

}  // namespace snipeworks
