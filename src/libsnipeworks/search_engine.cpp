#include "search_engine.h"

#include <algorithm>
#include <utility>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr Duration kPruneInterval = milliseconds(1000);

bool SameHoldings(const Announcement& a, const Announcement& b) {
  return a.incarnation == b.incarnation && a.state == b.state &&
         a.address == b.address && a.snapshots == b.snapshots;
}

}  // namespace

SearchEngine::SearchEngine(SearchControllerConfig config)
    : config_(std::move(config)),
      random_(config_.seed),
      view_(milliseconds(GroupPolicy().lease_ms)),
      selector_(view_, random_, config_.fleet_hosts),
      filters_(SyntaxFilter(),
               SnapshotFilter(
                   view_,
                   [this](const std::string& name) { return FindGroup(name); }),
               QuarantineFilter(poison_),
               AdmissionFilter(queue_, selector_)) {}

void SearchEngine::ApplySettings(const FleetSettings& settings) {
  settings_ = settings;
  view_.set_lease(milliseconds(settings.defaults().lease_ms));
  for (auto& [name, group] : groups_) {
    group.policy = settings.For(name);
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
  GroupState& group = EnsureGroup(news.group);
  selector_.OnAnnouncement(now, news);
  if (!same) {
    group.Invalidate();
  }
  MarkReady(news);
  Pump(now);
  return same ? AnnounceResult::kRenewal : AnnounceResult::kChange;
}

void SearchEngine::Submit(Instant now, const SearchRequest& request) {
  SearchContext context{now, request};
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
  if (found != searches_.end()) {
    Remove(now, found->second);
    Pump(now);
  }
}

GroupState& SearchEngine::EnsureGroup(const std::string& name) {
  auto [slot, added] = groups_.try_emplace(name, name);
  if (added) {
    slot->second.policy = settings_.For(name);
  }
  return slot->second;
}

GroupState* SearchEngine::FindGroup(const std::string& name) {
  auto found = groups_.find(name);
  return found == groups_.end() ? nullptr : &found->second;
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
      if (search != nullptr && search->AnsweredParts() > 0) {
        Finish(now, *search);
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
    poison_.Prune(now);
    pruned_at_ = now;
  }
  // Pauses of targets end without an event.
  if (queue_.size() > 0) {
    for (const Announcement* target : view_.All()) {
      MarkReady(*target);
    }
  }
  Pump(now);
}

// Any part serves: the parts from a random one on are tried for a target with
// room.
Result<ActionTarget> SearchEngine::TakeTarget(
    Instant now,
    const std::string& name,
    const std::vector<std::string>& tried) {
  GroupState* group = FindGroup(name);
  if (group == nullptr) {
    return Fail(ErrorKind::kUnknownGroup,
                "no target has announced the group " + name, kFailedRetryAfter);
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
                          snapshot->id(), snapshot->manifest.parts[index].part};
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
                                 const std::string& name,
                                 const std::string& target,
                                 const AttemptOutcome& outcome,
                                 Duration latency) {
  if (TargetStats* stats = selector_.Stats(target)) {
    stats->OnFinish(now, outcome, latency, EnsureGroup(name).policy);
  }
  if (const Announcement* known = view_.Usable(now, target)) {
    MarkReady(*known);
  }
  Pump(now);
}

}  // namespace snipeworks
