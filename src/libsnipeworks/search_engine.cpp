#include "search_engine.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr Duration kPruneInterval = milliseconds(1000);
// A route that nobody uses for so long is learnt anew.
constexpr Duration kGroupForgotten = std::chrono::minutes(2);
// Attempts cross the edges of a window on their way to the targets, so hosts
// keep a little under what all of them together may send.
constexpr double kExtraMargin = 0.9;
// With fewer hosts, what they round up together could exceed the margin.
constexpr std::uint32_t kHostsToRound = 8;
constexpr Duration kEndless = std::chrono::hours(24 * 365 * 10);

bool SameHoldings(const Announcement& a, const Announcement& b) {
  return a.incarnation == b.incarnation && a.state == b.state &&
         a.address == b.address && a.snapshots == b.snapshots;
}

}  // namespace

SearchEngine::SearchEngine(SearchControllerConfig config)
    : config_(std::move(config)),
      random_(config_.seed),
      view_(config_.leases ? Duration(milliseconds(GroupPolicy().lease_ms))
                           : kEndless),
      selector_(view_,
                random_,
                {config_.fleet_hosts, config_.spare_connections, config_.zone}),
      filters_(SyntaxFilter(),
               SnapshotFilter(
                   view_,
                   [this](const std::string& name) { return FindGroup(name); }),
               QuarantineFilter(poison_),
               AdmissionFilter(queue_, selector_, random_)) {}

void SearchEngine::SetFleetHosts(std::uint32_t hosts) {
  config_.fleet_hosts = std::max(1U, hosts);
  selector_.SetFleetHosts(config_.fleet_hosts);
}

ExtraBudgetLimits SearchEngine::ExtraLimits(const GroupPolicy& policy,
                                            const std::string& group) const {
  ExtraBudgetLimits limits = policy.extra_limits();
  limits.slack *= kExtraMargin / config_.fleet_hosts;
  if (limits.slack > 0.0) {
    limits.ratio *= kExtraMargin;
    if (config_.fleet_hosts >= kHostsToRound) {
      const auto drawn =
          XXH3_64bits_withSeed(group.data(), group.size(), config_.seed);
      limits.rounding = static_cast<double>(drawn >> 11) * 0x1p-53;
    }
  }
  return limits;
}

bool SearchEngine::TakeExtra(Instant now,
                             const GroupPolicy& policy,
                             const std::string& group,
                             double reserve) {
  return extra_budgets_[group].TryTake(now, ExtraLimits(policy, group),
                                       reserve);
}

std::optional<Duration> SearchEngine::HedgeDelay(Instant now,
                                                 const AttemptRun& run) {
  const GroupState& group = EnsureGroup(run.group);
  const double left = extra_budgets_[run.target_group].Fullness(
      now, ExtraLimits(group.policy, run.target_group));
  return group.HedgeDelay(now, left);
}

void SearchEngine::PruneGroups(Instant now) {
  std::erase_if(groups_, [&](const auto& entry) {
    const Instant used = entry.second.used_at();
    return used != Instant{} && now - used > kGroupForgotten;
  });
}

void SearchEngine::ApplySettings(const FleetSettings& settings) {
  settings_ = settings;
  if (config_.leases) {
    view_.set_lease(milliseconds(settings.defaults().lease_ms));
  }
  for (auto& [name, group] : groups_) {
    group.policy = settings.PolicyFor(name);
  }
}

AnnounceResult SearchEngine::Announce(Instant now,
                                      const Announcement& news,
                                      Duration age) {
  const Announcement* before = view_.Find(news.target);
  const bool same = before != nullptr && SameHoldings(*before, news);
  if (!view_.Merge(now, news, age)) {
    return AnnounceResult::kOld;
  }
  EnsureGroup(news.group);
  selector_.OnAnnouncement(now, news);
  if (!same) {
    // Any plan may name the target's group.
    for (auto& [name, group] : groups_) {
      group.Invalidate();
    }
  }
  MarkReady(news);
  Pump(now);
  return same ? AnnounceResult::kRenewal : AnnounceResult::kChange;
}

void SearchEngine::Submit(Instant now, const SearchRequest& request) {
  SearchContext context{now, request};
  if (request.plan) {
    EnsureGroup(request.group).policy = request.plan->policy;
  }
  Result<void> admitted = filters_.Apply(context);
  if (!admitted) {
    actions_.emplace_back(
        FinishSearch{request.id, tl::unexpected(admitted.error())});
    return;
  }
  const RequestId id = request.id;
  auto [slot, added] =
      searches_.try_emplace(id, request, context.group->policy, now,
                            context.budget, context.fingerprint);
  SearchRun& search = slot->second;
  search.Pin(context.snapshot);
  AddDeadlines(search);
  Begin(now, search, context.standing);
  Pump(now);
}

void SearchEngine::OnCallerGone(Instant now, RequestId request) {
  auto found = searches_.find(request);
  // What may run once only is left to its target: breaking it off would not
  // undo it.
  const bool keep = found != searches_.end() &&
                    !found->second.request().repeatable &&
                    found->second.MayHaveRun();
  if (found != searches_.end() && !keep) {
    Remove(now, found->second);
    Pump(now);
  }
}

GroupState& SearchEngine::EnsureGroup(const std::string& name) {
  auto [slot, added] = groups_.try_emplace(name, name);
  if (added) {
    slot->second.policy = settings_.PolicyFor(name);
  }
  return slot->second;
}

GroupState* SearchEngine::FindGroup(const std::string& name) {
  auto found = groups_.find(name);
  return found == groups_.end() ? nullptr : &found->second;
}

OpenAttempt SearchEngine::AttemptOf(AttemptId id) const {
  auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return {};
  }
  const AttemptRun& run = found->second;
  return {run.request, run.target, run.fingerprint};
}

SearchRun* SearchEngine::FindSearch(RequestId id) {
  auto found = searches_.find(id);
  return found == searches_.end() ? nullptr : &found->second;
}

// Parts that may have waited for this target.
void SearchEngine::MarkReady(const Announcement& target) {
  if (queue_.size() == 0) {
    return;
  }
  ready_.insert({target.group, {}, 0});
  for (const HeldSnapshot& held : target.snapshots) {
    for (PartNumber part : held.parts) {
      ready_.insert({target.group, held.manifest.id, part});
    }
  }
}

void SearchEngine::Tick(Instant now) {
  while (std::optional<SearchTimer> timer = timers_.PopDue(now)) {
    if (const auto* deadline = std::get_if<DeadlineTimer>(&*timer)) {
      if (SearchRun* search = FindSearch(deadline->request)) {
        Finish(now, *search);
      }
    } else if (const auto* soft = std::get_if<SoftDeadlineTimer>(&*timer)) {
      SearchRun* search = FindSearch(soft->request);
      if (search != nullptr) {
        search->overdue = true;
        AfterChange(now, *search);
      }
    } else if (const auto* give_up = std::get_if<GiveUpTimer>(&*timer)) {
      GiveUp(now, give_up->request);
    } else if (const auto* hedge = std::get_if<HedgeTimer>(&*timer)) {
      Hedge(now, hedge->attempt);
    } else if (const auto* probe = std::get_if<ProbeTimer>(&*timer)) {
      Probe(probe->attempt);
    }
  }
  if (now - pruned_at_ > kPruneInterval) {
    view_.Prune(now);
    for (const std::string& target : view_.ForgetEnded(now)) {
      selector_.Forget(target);
    }
    poison_.Prune(now);
    PruneGroups(now);
    pruned_at_ = now;
  }
  // Pauses of targets end without an event.
  for (PartKey& key : queue_.Keys()) {
    ready_.insert(std::move(key));
  }
  Pump(now);
}

// Any part serves: the parts from a random one on are tried for a target with
// room.
Result<ActionTarget> SearchEngine::TakeTarget(
    Instant now,
    const ActionNeed& need,
    const std::vector<std::string>& tried) {
  const std::string& name = need.group;
  GroupState* group = FindGroup(name);
  if (group == nullptr) {
    return Fail(ErrorKind::kUnknownGroup,
                "no target has announced the group " + name, kFailedRetryAfter);
  }
  const Duration refused = poison_.RefusedFor(now, need.fingerprint);
  if (refused > Duration{}) {
    return Fail(ErrorKind::kQuarantined, "targets broke while running it",
                refused);
  }
  const auto snapshot = group->Snapshot(now, view_);
  bool busy = false;
  const std::size_t count = snapshot ? snapshot->replicas.size() : 0;
  const std::size_t offset = count > 0 ? random_.Below(count) : 0;
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t index = (i + offset) % count;
    const ReplicaChoice choice =
        selector_.Choose({now, snapshot->replicas[index], tried,
                          group->Reference(), group->policy});
    if (choice.state == ReplicaChoice::State::kChosen) {
      selector_.Stats(choice.target->target)->OnStart();
      return ActionTarget{choice.target->target, choice.target->address,
                          snapshot->id(), snapshot->manifest.parts[index].part,
                          choice.target->incarnation};
    }
    busy |= choice.state == ReplicaChoice::State::kBusy;
  }
  if (busy) {
    return Fail(ErrorKind::kOverloaded, "every target of " + name + " is busy",
                kFailedRetryAfter);
  }
  return Fail(ErrorKind::kNoTarget, "no live target of " + name,
              kFailedRetryAfter);
}

void SearchEngine::ReleaseTarget(Instant now,
                                 const ActionNeed& need,
                                 const ActionTarget& target,
                                 const AttemptOutcome& outcome,
                                 Duration latency) {
  if (TargetStats* stats = selector_.Stats(target.target)) {
    const GroupState& group = EnsureGroup(need.group);
    stats->OnFinish(now, outcome, latency, group.Reference(), group.policy);
  }
  NoteAction(now, need, target, outcome.status);
  if (const Announcement* known = view_.Usable(now, target.target)) {
    MarkReady(*known);
  }
  Pump(now);
}

}  // namespace snipeworks
