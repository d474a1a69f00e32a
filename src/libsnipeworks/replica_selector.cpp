#include "snipeworks/replica_selector.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace snipeworks {

namespace {

// Above this many candidates, two random ones are compared: scoring all of them
// costs more and sends every host to the same best replica.
constexpr std::size_t kMaxScoredCandidates = 8;
constexpr std::uint32_t kUsableConnectionsPercent = 80;
// Hosts that are partitioned from control hosts count as gone after a minute
// and keep sending, and control hosts that have all restarted know few hosts at
// first. Limits of cold targets must hold all the same.
constexpr Duration kFleetMemory = std::chrono::minutes(10);

}  // namespace

ReplicaSelector::ReplicaSelector(TargetView& view,
                                 Random& random,
                                 SelectorConfig config)
    : view_(view), random_(random), config_(std::move(config)) {
  config_.fleet_hosts = std::max(1U, config_.fleet_hosts);
  most_fleet_hosts_ = config_.fleet_hosts;
}

void ReplicaSelector::SetFleetHosts(Instant now, std::uint32_t hosts) {
  config_.fleet_hosts = std::max(1U, hosts);
  if (config_.fleet_hosts >= most_fleet_hosts_) {
    most_fleet_hosts_ = config_.fleet_hosts;
    most_fleet_hosts_at_ = now;
  }
  for (auto& [name, stats] : stats_) {
    stats.SetFleetHosts(now, config_.fleet_hosts, most_fleet_hosts_);
    if (const Announcement* target = view_.Find(name)) {
      stats.set_connection_share(UsableShare(*target));
    }
  }
}

void ReplicaSelector::SetConnectionLimit(const std::string& group,
                                         std::uint32_t limit) {
  connection_limits_[group] = limit;
  for (auto& [name, stats] : stats_) {
    const Announcement* target = view_.Find(name);
    if (target != nullptr && target->group == group) {
      stats.set_connection_share(UsableShare(*target));
    }
  }
}

double ReplicaSelector::Score(const ReplicaQuery& query,
                              const Candidate& one) const {
  const double score =
      one.stats->Score(query.now, query.typical_latency, query.policy);
  const bool in_other_zone =
      !config_.zone.empty() && one.target->zone != config_.zone;
  return in_other_zone
             ? score * static_cast<double>(query.policy.other_zone_percent) /
                   100.0
             : score;
}

// The limit is divided by every entry host that is allowed in the fleet, alive
// or not: a host that is cut off from the others still holds its connections.
// Part of the limit stays free, since a target counts silent connections until
// it closes them itself.
std::uint32_t ReplicaSelector::ConnectionShare(
    const Announcement& target) const {
  auto found = connection_limits_.find(target.group);
  const std::uint32_t limit =
      found == connection_limits_.end() ? target.connections : found->second;
  return std::max(
      1U, limit * kUsableConnectionsPercent / 100 / config_.fleet_hosts);
}

std::uint32_t ReplicaSelector::UsableShare(const Announcement& target) const {
  const std::uint32_t share = ConnectionShare(target);
  return share > config_.spare_connections ? share - config_.spare_connections
                                           : 1;
}

void ReplicaSelector::SetColdLimits(Instant now, StringMap<ColdLimit> limits) {
  cold_limits_ = std::move(limits);
  for (auto& [name, stats] : stats_) {
    if (const Announcement* target = view_.Find(name)) {
      ApplyColdLimit(now, target->group, stats);
    }
  }
}

void ReplicaSelector::ApplyColdLimit(Instant now,
                                     const std::string& group,
                                     TargetStats& stats) {
  const auto found = cold_limits_.find(group);
  if (found == cold_limits_.end()) {
    stats.SetColdLimit(now, {}, 0.0);
    return;
  }
  if (!cold_phase_) {
    cold_phase_ = random_.Unit();
  }
  stats.SetColdLimit(now, found->second, *cold_phase_);
  any_limited_ |= stats.limits().IsCold(now);
}

void ReplicaSelector::OnAnnouncement(Instant now,
                                     const Announcement& announcement,
                                     Duration uptime) {
  const std::uint32_t share = UsableShare(announcement);
  auto [slot, added] = stats_.try_emplace(
      announcement.target, now, announcement, share, config_.limit_bounds);
  if (added) {
    slot->second.set_started_at(now - uptime);
    slot->second.SetFleetHosts(now, config_.fleet_hosts, most_fleet_hosts_);
  } else {
    slot->second.OnAnnouncement(now, announcement, share);
  }
  ApplyColdLimit(now, announcement.group, slot->second);
}

TargetStats* ReplicaSelector::Stats(const std::string& target) {
  auto found = stats_.find(target);
  return found == stats_.end() ? nullptr : &found->second;
}

void ReplicaSelector::OnConditions(
    Instant now,
    const std::vector<TargetCondition>& conditions) {
  for (const TargetCondition& condition : conditions) {
    if (TargetStats* stats = Stats(condition.target)) {
      stats->OnCondition(now, condition);
      if (condition.limit.per_second != stats->limit().per_second()) {
        stats->OnRelayedLimit(now, condition.limit, random_.Unit());
        any_limited_ |= condition.limit.per_second.has_value();
      }
    }
  }
}

std::vector<ConditionSample> ReplicaSelector::TakeSamples() {
  std::vector<ConditionSample> result;
  for (auto& [name, stats] : stats_) {
    ConditionSample sample = stats.TakeSample();
    if (sample.timed + sample.failures > 0 || sample.stated_limit) {
      sample.target = name;
      result.push_back(std::move(sample));
    }
  }
  return result;
}

bool ReplicaSelector::OnLimit(Instant now,
                              const std::string& target,
                              const StatedLimit& stated) {
  TargetStats* stats = Stats(target);
  if (stats == nullptr) {
    return false;
  }
  const bool changes = stats->limit().per_second() != stated.per_second;
  stats->OnLimit(now, stated, changes ? random_.Unit() : 0.0);
  any_limited_ |= stated.per_second.has_value();
  return changes;
}

Duration ReplicaSelector::LimitWait(Instant now,
                                    const std::vector<std::string>& replicas,
                                    std::size_t ahead) const {
  double tokens = 0.0;
  double share = 0.0;
  std::optional<Instant> first;
  for (const std::string& name : replicas) {
    const auto found = stats_.find(name);
    if (found == stats_.end()) {
      continue;
    }
    const TargetLimits& limits = found->second.limits();
    if (!limits.IsLimited(now)) {
      return {};
    }
    const Instant next = limits.NextAllowed(now);
    first = std::min(next, first.value_or(next));
    tokens += std::max(0.0, limits.Tokens(now));
    share += limits.share(now);
  }
  if (!first) {
    return {};
  }
  const std::chrono::duration<double> missing(
      std::max(0.0, static_cast<double>(ahead) + 1.0 - tokens) / share);
  return std::max(
      *first - now,
      ahead == 0 ? Duration{} : std::chrono::duration_cast<Duration>(missing));
}

std::size_t ReplicaSelector::CountLimited() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(stats_, [](const auto& entry) {
        return entry.second.limit().per_second().has_value();
      }));
}

void ReplicaSelector::UpdateLimits(Instant now) {
  any_limited_ = CountLimited() > 0 || CountCold(now) > 0;
  if (config_.fleet_hosts >= most_fleet_hosts_) {
    most_fleet_hosts_at_ = now;
  } else if (now - most_fleet_hosts_at_ > kFleetMemory) {
    most_fleet_hosts_ = 1;
    SetFleetHosts(now, config_.fleet_hosts);
  }
}

std::size_t ReplicaSelector::CountCold(Instant now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      stats_,
      [&](const auto& entry) { return entry.second.limits().IsCold(now); }));
}

void ReplicaSelector::FindCandidates(const ReplicaQuery& query) {
  candidates_.clear();
  for (const std::string& name : query.replicas) {
    if (std::ranges::find(query.tried, name) != query.tried.end()) {
      continue;
    }
    const Announcement* target = view_.Usable(query.now, name);
    TargetStats* stats = Stats(name);
    if (target != nullptr && stats != nullptr) {
      candidates_.push_back({target, stats});
    }
  }
}

std::size_t ReplicaSelector::CountUsable(const ReplicaQuery& query) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(query.replicas, [&](const std::string& name) {
        return std::ranges::find(query.tried, name) == query.tried.end() &&
               view_.Usable(query.now, name) != nullptr;
      }));
}

std::optional<double> ReplicaSelector::BestScore(const ReplicaQuery& query) {
  std::optional<double> best;
  FindCandidates(query);
  for (const Candidate& one : candidates_) {
    if (one.stats->IsEjected(query.now) || !one.stats->HasCapacity(query.now)) {
      continue;
    }
    const double score = Score(query, one);
    best = std::min(score, best.value_or(score));
  }
  return best;
}

// A crossing costs time and, in many fleets, money. A factor on the score does
// not express that: a small difference between two good targets would cross,
// and a large factor would keep work at bad ones. So work stays in the zone
// while a target there is fit, and scores decide otherwise.
void ReplicaSelector::KeepToOwnZone(const ReplicaQuery& query) {
  if (query.policy.other_zone_percent <= 100) {
    return;
  }
  const auto is_fit_in_own_zone = [&](const Candidate& one) {
    return one.target->zone == config_.zone && one.stats->IsFit(query.now);
  };
  if (std::ranges::any_of(candidates_, is_fit_in_own_zone)) {
    std::erase_if(candidates_, std::not_fn(is_fit_in_own_zone));
  }
}

ReplicaSelector::Candidate ReplicaSelector::PickBest(
    const ReplicaQuery& query) {
  if (query.policy.selection_rule() == Selection::kRandom) {
    return candidates_[random_.Below(candidates_.size())];
  }
  KeepToOwnZone(query);
  if (candidates_.size() > kMaxScoredCandidates) {
    for (std::size_t i = 0; i < 2; ++i) {
      std::swap(candidates_[i],
                candidates_[i + random_.Below(candidates_.size() - i)]);
    }
    candidates_.resize(2);
  }
  // Ties are broken at random, so that hosts without any measurements do not
  // all start on the same replica.
  const std::size_t first = random_.Below(candidates_.size());
  std::swap(candidates_[0], candidates_[first]);
  return *std::ranges::min_element(
      candidates_, {}, [&](const Candidate& one) { return Score(query, one); });
}

std::optional<Instant> ReplicaSelector::EarliestCandidateRetryTime(
    Instant now) const {
  std::optional<Instant> first;
  for (const Candidate& one : candidates_) {
    const Instant until = one.stats->AcceptsAt(now);
    if (until <= now) {
      return std::nullopt;
    }
    first = std::min(until, first.value_or(until));
  }
  return first;
}

std::optional<Instant> ReplicaSelector::EarliestRetryTime(
    const ReplicaQuery& query) {
  FindCandidates(query);
  return EarliestCandidateRetryTime(query.now);
}

ReplicaChoice ReplicaSelector::Choose(const ReplicaQuery& query) {
  FindCandidates(query);
  if (candidates_.empty()) {
    return {ReplicaChoice::State::kNone, nullptr, {}};
  }
  const std::optional<Instant> retry_at = EarliestCandidateRetryTime(query.now);
  if (retry_at) {
    return {ReplicaChoice::State::kBusy, nullptr, retry_at};
  }
  const auto is_ejected = [&](const Candidate& one) {
    return one.stats->IsEjected(query.now);
  };
  if (!std::ranges::all_of(candidates_, is_ejected)) {
    std::erase_if(candidates_, is_ejected);
  }
  std::erase_if(candidates_, [&](const Candidate& one) {
    return !one.stats->HasCapacity(query.now);
  });
  if (candidates_.empty()) {
    return {ReplicaChoice::State::kBusy, nullptr, {}};
  }
  return {ReplicaChoice::State::kChosen, PickBest(query).target, {}};
}

}  // namespace snipeworks
