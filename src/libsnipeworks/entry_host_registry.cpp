#include "snipeworks/entry_host_registry.h"

namespace snipeworks {

namespace {

using std::chrono::seconds;

// Entry hosts that are down for less than this keep their part of the budgets.
constexpr Duration kRemembered = seconds(60);
// A host that has not asked for so long may be gone: others are not told of it.
constexpr Duration kHeardLately = seconds(3);
// Several times within the time that others remember a host.
constexpr Duration kTellAgain = seconds(15);

}  // namespace

void EntryHostRegistry::Hear(Instant now, const std::string& host) {
  heard_[host] = now;
  heard_of_[host] = now;
}

void EntryHostRegistry::HearOf(Instant now, const std::string& host) {
  heard_of_[host] = now;
}

std::vector<std::string> EntryHostRegistry::TakeNews(Instant now,
                                                     const std::string& peer) {
  std::vector<std::string> news;
  Times& told = told_[peer];
  for (const auto& [host, heard] : heard_) {
    if (now - heard >= kHeardLately) {
      continue;
    }
    auto [slot, first] = told.try_emplace(host, now);
    if (first || now - slot->second >= kTellAgain) {
      slot->second = now;
      news.push_back(host);
    }
  }
  return news;
}

void EntryHostRegistry::Prune(Instant now) {
  const auto is_old = [&](const auto& entry) {
    return now - entry.second > kRemembered;
  };
  std::erase_if(heard_, is_old);
  std::erase_if(heard_of_, is_old);
  for (auto& [peer, told] : told_) {
    std::erase_if(told, is_old);
  }
}

}  // namespace snipeworks
