#include "search_engine.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr Duration kPruneInterval = milliseconds(1000);
// Statistics of a route that is unused for this long are dropped.
constexpr Duration kUnusedGroupLifetime = std::chrono::minutes(2);
// Attempts can reach a target in a later budget window than the one they were
// sent in, so the hosts together stay slightly below the budget.
constexpr double kExtraBudgetShare = 0.9;
// With fewer hosts, the sum of their rounded budgets could exceed the margin
// that kExtraBudgetShare leaves.
constexpr std::uint32_t kMinHostsForRounding = 8;
constexpr Duration kUnlimitedLease = std::chrono::hours(24 * 365 * 10);

bool IsRenewal(const Announcement& a, const Announcement& b) {
  return a.incarnation == b.incarnation && a.state == b.state &&
         a.address == b.address && a.snapshots == b.snapshots;
}

}  // namespace

SearchEngine::SearchEngine(SearchControllerConfig config)
    : config_(std::move(config)),
      random_(config_.seed),
      view_(config_.leases ? Duration(milliseconds(GroupPolicy().lease_ms))
                           : kUnlimitedLease),
      selector_(view_,
                random_,
                {config_.fleet_hosts, config_.spare_connections, config_.zone,
                 config_.limit_bounds}),
      filters_(SyntaxFilter(),
               SnapshotFilter(
                   view_,
                   [this](const std::string& name) { return FindGroup(name); }),
               QuarantineFilter(poison_),
               AdmissionFilter(queue_, selector_, random_)) {}

void SearchEngine::SetFleetHosts(Instant now, std::uint32_t hosts) {
  config_.fleet_hosts = std::max(1U, hosts);
  selector_.SetFleetHosts(now, config_.fleet_hosts);
}

ExtraAttemptLimits SearchEngine::ExtraLimits(const GroupPolicy& policy,
                                             const std::string& group) const {
  ExtraAttemptLimits limits = policy.extra_limits();
  limits.slack *= kExtraBudgetShare / config_.fleet_hosts;
  if (limits.slack > 0.0) {
    limits.ratio *= kExtraBudgetShare;
    if (config_.fleet_hosts >= kMinHostsForRounding) {
      const auto hash =
          XXH3_64bits_withSeed(group.data(), group.size(), config_.seed);
      limits.rounding = static_cast<double>(hash >> 11) * 0x1p-53;
    }
  }
  return limits;
}

bool SearchEngine::TakeExtraBudget(Instant now,
                                   const GroupPolicy& policy,
                                   const std::string& group,
                                   double reserve) {
  return extra_attempt_budgets_[group].TryAcquire(
      now, ExtraLimits(policy, group), reserve);
}

std::optional<Duration> SearchEngine::HedgeDelay(Instant now,
                                                 const AttemptRun& run) {
  const GroupState& group = EnsureGroup(run.group);
  const double fullness =
      extra_attempt_budgets_[run.target_group].RemainingShare(
          now, ExtraLimits(group.policy, run.target_group));
  return group.HedgeDelay(now, fullness);
}

void SearchEngine::PruneGroups(Instant now) {
  std::erase_if(groups_, [&](const auto& entry) {
    const Instant used = entry.second.used_at();
    return used != Instant{} && now - used > kUnusedGroupLifetime;
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
                                      const Announcement& announcement,
                                      Duration age,
                                      Duration uptime) {
  const Announcement* known = view_.Find(announcement.target);
  const bool renewal = known != nullptr && IsRenewal(*known, announcement);
  if (!view_.Merge(now, announcement, age)) {
    return AnnounceResult::kStale;
  }
  EnsureGroup(announcement.group);
  selector_.OnAnnouncement(now, announcement, uptime);
  if (!renewal) {
    // Plans of other groups may contain the target's group.
    for (auto& [name, group] : groups_) {
      group.Invalidate();
    }
  }
  MarkReady(announcement);
  DispatchReady(now);
  return renewal ? AnnounceResult::kRenewal : AnnounceResult::kChange;
}

// Parts that wait for targets of these zones are offered again at the next
// tick.
void SearchEngine::SetEvacuatedZones(std::vector<std::string> zones) {
  view_.SetEvacuatedZones(std::move(zones));
  for (auto& [name, group] : groups_) {
    group.Invalidate();
  }
  // An attempt that waits for a connection has not reached its target.
  for (const Announcement* target : view_.All()) {
    if (std::ranges::find(view_.evacuated_zones(), target->zone) !=
        view_.evacuated_zones().end()) {
      actions_.emplace_back(CancelUnsentAttempts{target->target});
    }
  }
}

void SearchEngine::Submit(Instant now, const SearchRequest& request) {
  SearchContext context{now, request};
  if (request.plan) {
    EnsureGroup(request.group).policy = request.plan->policy;
  }
  Result<void> admitted = filters_.Apply(context);
  if (!admitted) {
    actions_.emplace_back(
        FinishSearch{request.id, tl::unexpected(admitted.error()), nullptr, 0});
    return;
  }
  const RequestId id = request.id;
  auto [it, inserted] =
      searches_.try_emplace(id, request, context.group->policy, now,
                            context.budget, context.fingerprint);
  it->second.Pin(context.snapshot);
  for (std::size_t part_index : context.left_out) {
    MarkPartMissing(it->second, part_index, MissingReason::kOverloaded);
  }
  AddDeadlines(it->second);
  Begin(now, id, context.verdict);
  DispatchReady(now);
}

void SearchEngine::OnCallerDisconnected(Instant now, RequestId request) {
  auto found = searches_.find(request);
  // A non-repeatable request that may have run is not cancelled, since that
  // would not undo it.
  const bool keep_running = found != searches_.end() &&
                            !found->second.request().repeatable &&
                            found->second.MayHaveRun();
  if (found != searches_.end() && !keep_running) {
    Remove(now, request);
    DispatchReady(now);
  }
}

std::optional<std::int64_t> SearchEngine::MostAttempts(
    RequestId request) const {
  auto found = searches_.find(request);
  return found == searches_.end() ? std::nullopt
                                  : std::optional(found->second.MostAttempts());
}

bool SearchEngine::TakeExtraAttempts(Instant now, const SearchPlan& plan) {
  return TakeExtraBudgets(now, plan.policy, plan.groups);
}

bool SearchEngine::TakeExtraAttempts(Instant now, const std::string& group) {
  GroupState& state = EnsureGroup(group);
  const auto snapshot = state.Snapshot(now, view_);
  const std::size_t parts = snapshot ? snapshot->replicas.size() : 1;
  return TakeExtraBudgets(now, state.policy,
                          std::vector<std::string>(parts, group));
}

bool SearchEngine::TakeExtraBudgets(Instant now,
                                    const GroupPolicy& policy,
                                    const std::vector<std::string>& groups) {
  for (std::size_t i = 0; i < groups.size(); ++i) {
    if (!TakeExtraBudget(now, policy, groups[i], 0.0)) {
      for (std::size_t taken = 0; taken < i; ++taken) {
        extra_attempt_budgets_[groups[taken]].Refund(now);
      }
      return false;
    }
  }
  return true;
}

GroupState& SearchEngine::EnsureGroup(const std::string& name) {
  auto [it, inserted] = groups_.try_emplace(name, name);
  if (inserted) {
    it->second.policy = settings_.PolicyFor(name);
  }
  return it->second;
}

GroupState* SearchEngine::FindGroup(const std::string& name) {
  auto found = groups_.find(name);
  return found == groups_.end() ? nullptr : &found->second;
}

Duration SearchEngine::SlowLatency(const std::string& group) const {
  const auto found = groups_.find(group);
  return found == groups_.end() ? Duration{} : found->second.SlowLatency();
}

InFlightAttempt SearchEngine::FindAttempt(AttemptId id) const {
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

// Marks the queue keys of parts that may be waiting for this target.
void SearchEngine::MarkReady(const Announcement& target) {
  if (queue_.size() == 0) {
    return;
  }
  ready_keys_.insert({target.group, {}, 0});
  for (const HeldSnapshot& held : target.snapshots) {
    for (PartNumber part : held.parts) {
      ready_keys_.insert({target.group, held.manifest.id, part});
    }
  }
}

void SearchEngine::Tick(Instant now) {
  while (std::optional<SearchTimer> timer = timers_.PopDue(now)) {
    if (const auto* deadline = std::get_if<DeadlineTimer>(&*timer)) {
      Finish(now, deadline->request);
    } else if (const auto* soft = std::get_if<SoftDeadlineTimer>(&*timer)) {
      SearchRun* search = FindSearch(soft->request);
      if (search != nullptr) {
        search->overdue = true;
        Advance(now, soft->request);
      }
    } else if (const auto* start_deadline =
                   std::get_if<StartDeadlineTimer>(&*timer)) {
      FailIfNotStarted(now, start_deadline->request);
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
    selector_.UpdateLimits(now);
    poison_.Prune(now);
    PruneGroups(now);
    pruned_at_ = now;
  }
  // Retry-After periods of targets end without an event.
  for (PartKey& key : queue_.Keys()) {
    ready_keys_.insert(std::move(key));
  }
  DispatchReady(now);
}

// Any part is suitable. Tries the parts in order from a random one until a
// target with free capacity is found.
Result<ActionTarget> SearchEngine::AcquireTarget(
    Instant now,
    const ActionTargetQuery& query,
    const std::vector<std::string>& tried) {
  const std::string& name = query.group;
  GroupState* group = FindGroup(name);
  if (group == nullptr) {
    return Fail(ErrorKind::kUnknownGroup,
                "no target has announced the group " + name,
                kDefaultRetryAfter);
  }
  const Duration refused = poison_.RefusedFor(now, query.fingerprint);
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
                          group->TypicalLatency(), group->policy});
    if (choice.state == ReplicaChoice::State::kChosen) {
      selector_.Stats(choice.target->target)->OnStart(now);
      return ActionTarget{choice.target->target, choice.target->address,
                          snapshot->id(), snapshot->manifest.parts[index].part,
                          choice.target->incarnation};
    }
    busy |= choice.state == ReplicaChoice::State::kBusy;
  }
  if (busy) {
    return Fail(ErrorKind::kOverloaded, "every target of " + name + " is busy",
                kDefaultRetryAfter);
  }
  return Fail(ErrorKind::kNoTarget, "no live target of " + name,
              kDefaultRetryAfter);
}

void SearchEngine::ReleaseTarget(Instant now,
                                 const ActionTargetQuery& query,
                                 const ActionTarget& target,
                                 const AttemptOutcome& outcome,
                                 Duration latency) {
  if (TargetStats* stats = selector_.Stats(target.target)) {
    const GroupState& group = EnsureGroup(query.group);
    stats->OnFinish(now, outcome, latency, group.TypicalLatency(),
                    group.policy);
  }
  RecordActionOutcome(now, query, target, outcome.status);
  if (const Announcement* known = view_.Usable(now, target.target)) {
    MarkReady(*known);
  }
  DispatchReady(now);
}

}  // namespace snipeworks
