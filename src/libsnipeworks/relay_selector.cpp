#include "snipeworks/relay_selector.h"

#include <algorithm>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// A host that has lost its targets as well may regain them soon.
constexpr Duration kRefusedTime = milliseconds(500);
constexpr Duration kMinUnreachableTime = milliseconds(1000);
constexpr Duration kMaxUnreachableTime = milliseconds(8000);
// A crossing between zones costs time and traffic; a queue costs more.
constexpr std::size_t kOtherZoneCost = 2;

}  // namespace

void RelaySelector::SetHosts(const std::vector<RelayHost>& hosts) {
  std::map<std::string, Candidate> kept;
  for (const RelayHost& host : hosts) {
    Candidate& candidate = kept[host.address];
    auto known = candidates_.find(host.address);
    if (known != candidates_.end()) {
      candidate = known->second;
    }
    candidate.own_zone = host.zone == zone_;
  }
  candidates_ = std::move(kept);
}

// Least running requests, with those of other zones at a higher cost. Starts at
// a random host, so that several origins do not all choose the same one.
std::optional<std::string> RelaySelector::Choose(
    Instant now,
    const std::vector<std::string>& tried) {
  if (candidates_.empty()) {
    return std::nullopt;
  }
  std::optional<std::string> best;
  std::size_t lowest_cost = 0;
  auto next =
      std::next(candidates_.begin(),
                static_cast<std::ptrdiff_t>(random_.Below(candidates_.size())));
  for (std::size_t i = 0; i < candidates_.size(); ++i, ++next) {
    if (next == candidates_.end()) {
      next = candidates_.begin();
    }
    const auto& [address, candidate] = *next;
    if (now < candidate.avoided_until ||
        std::ranges::find(tried, address) != tried.end()) {
      continue;
    }
    const std::size_t cost =
        (candidate.running + 1) * (candidate.own_zone ? 1 : kOtherZoneCost);
    if (!best || cost < lowest_cost) {
      best = address;
      lowest_cost = cost;
    }
  }
  return best;
}

bool RelaySelector::HasCandidate(Instant now) const {
  return std::ranges::any_of(candidates_, [&](const auto& entry) {
    return now >= entry.second.avoided_until;
  });
}

void RelaySelector::OnSent(const std::string& address) {
  auto found = candidates_.find(address);
  if (found != candidates_.end()) {
    ++found->second.running;
  }
}

void RelaySelector::OnEnded(const std::string& address) {
  auto found = candidates_.find(address);
  if (found != candidates_.end() && found->second.running > 0) {
    --found->second.running;
  }
}

void RelaySelector::OnServed(const std::string& address) {
  auto found = candidates_.find(address);
  if (found != candidates_.end()) {
    found->second.avoid_time = Duration{};
  }
}

void RelaySelector::OnRefused(Instant now, const std::string& address) {
  auto found = candidates_.find(address);
  if (found != candidates_.end()) {
    found->second.avoided_until = now + kRefusedTime;
  }
}

void RelaySelector::OnUnreachable(Instant now, const std::string& address) {
  auto found = candidates_.find(address);
  if (found == candidates_.end()) {
    return;
  }
  Candidate& candidate = found->second;
  candidate.avoid_time = std::clamp(2 * candidate.avoid_time,
                                    kMinUnreachableTime, kMaxUnreachableTime);
  candidate.avoided_until = now + candidate.avoid_time;
}

}  // namespace snipeworks
