#include "snipeworks/search_controller.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "snipeworks/group_state.h"
#include "snipeworks/part_queue.h"
#include "snipeworks/random.h"
#include "snipeworks/replica_selector.h"
#include "snipeworks/request_filters.h"
#include "snipeworks/search_run.h"
#include "snipeworks/target_view.h"
#include "snipeworks/timer_queue.h"

namespace snipeworks {

namespace {

using std::chrono::milliseconds;
using Standing = PoisonTracker::Standing;

// The answer leaves this long before the caller's deadline.
constexpr Duration kAnswerMargin = milliseconds(2);
// Hedges leave this many tokens of the extra budget to retries.
constexpr double kRetryReserve = 2.0;
// How long the other hosts refuse a suspected request while it is run here.
constexpr Duration kTestWindow = milliseconds(500);
constexpr Duration kPruneInterval = milliseconds(1000);
constexpr Duration kFailedRetryAfter = milliseconds(1000);

struct DeadlineTimer {
  RequestId request;
};
struct SoftDeadlineTimer {
  RequestId request;
};
struct GiveUpTimer {
  RequestId request;
};
struct HedgeTimer {
  AttemptId attempt;
};
struct ProbeTimer {
  AttemptId attempt;
};
using Timer = std::variant<DeadlineTimer,
                           SoftDeadlineTimer,
                           GiveUpTimer,
                           HedgeTimer,
                           ProbeTimer>;

// One attempt whose outcome has not arrived. It can outlive its search.
struct AttemptRun {
  RequestId request = 0;
  std::size_t part_index = 0;
  AttemptKind kind = AttemptKind::kPrimary;
  std::string target;
  std::string group;
  SnapshotId snapshot;
  Fingerprint fingerprint = 0;
  bool sole = false;  // The only part of its request that was running.
  bool probed = false;
  Instant started{};
};

// Searches with one fingerprint, of which the first runs its canary.
struct CanaryLine {
  RequestId leader = 0;
  std::deque<RequestId> followers;
};

bool SameHoldings(const Announcement& a, const Announcement& b) {
  return a.incarnation == b.incarnation && a.state == b.state &&
         a.address == b.address && a.snapshots == b.snapshots;
}

}  // namespace

class SearchController::Impl {
 public:
  explicit Impl(SearchControllerConfig config)
      : config_(std::move(config)),
        random_(config_.seed),
        view_(milliseconds(GroupPolicy().lease_ms)),
        selector_(view_, random_, config_.fleet_hosts),
        filters_(SyntaxFilter(),
                 SnapshotFilter(view_,
                                [this](const std::string& name) {
                                  return FindGroup(name);
                                }),
                 QuarantineFilter(poison_),
                 AdmissionFilter(queue_, selector_)) {}

  void ApplySettings(const FleetSettings& settings) {
    settings_ = settings;
    view_.set_lease(milliseconds(settings.defaults().lease_ms));
    for (auto& [name, group] : groups_) {
      group.policy = settings.For(name);
    }
  }

  AnnounceResult Announce(Instant now, const Announcement& news, Duration age) {
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

  void Submit(Instant now, const SearchRequest& request) {
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

  void OnCallerGone(Instant now, RequestId request) {
    auto found = searches_.find(request);
    if (found != searches_.end()) {
      Remove(now, found->second);
      Pump(now);
    }
  }

  void OnOutcome(Instant now, AttemptId id, const AttemptOutcome& outcome);
  void OnProbe(Instant now, AttemptId id, ProbeState state);
  bool OnEvidence(Instant now, const PoisonEvidence& evidence);
  void OnEvidenceShared(Instant now, Fingerprint fingerprint, bool elsewhere);
  void Tick(Instant now);

  Result<ActionTarget> TakeTarget(Instant now,
                                  const std::string& name,
                                  const std::vector<std::string>& tried);
  void ReleaseTarget(Instant now,
                     const std::string& name,
                     const std::string& target,
                     const AttemptOutcome& outcome,
                     Duration latency);

  std::optional<Instant> NextDue() const { return timers_.NextDue(); }
  std::vector<SearchAction> TakeActions() {
    return std::exchange(actions_, {});
  }
  const PoisonTracker& poison() const { return poison_; }
  PoisonTracker& poison() { return poison_; }
  const TargetView& view() const { return view_; }
  const ReplicaSelector& selector() const { return selector_; }
  std::size_t running() const { return searches_.size(); }
  std::size_t waiting() const { return queue_.size(); }

 private:
  // Groups and targets.
  GroupState& EnsureGroup(const std::string& name);
  GroupState* FindGroup(const std::string& name);
  SearchRun* FindSearch(RequestId id);
  void MarkReady(const Announcement& target);

  // The way of a search.
  void AddDeadlines(const SearchRun& search);
  void GiveUp(Instant now, RequestId id);
  void Begin(Instant now, SearchRun& search, Standing standing);
  void StartCanary(Instant now, SearchRun& search);
  void StartFanOut(Instant now, SearchRun& search);
  void Enqueue(SearchRun& search, std::size_t part_index, AttemptKind kind);
  void Pump(Instant now);
  PartQueue::Offer Dispatch(Instant now, const WaitingPart& waiting);
  bool CannotFinish(Instant now,
                    const SearchRun& search,
                    const GroupState& group) const;
  void StartOne(Instant now,
                SearchRun& search,
                std::size_t part_index,
                AttemptKind kind,
                const Announcement& target);
  void AfterChange(Instant now, SearchRun& search);
  void MissPart(SearchRun& search,
                std::size_t part_index,
                MissingReason reason);
  bool Replan(Instant now, SearchRun& search);
  void Finish(Instant now, SearchRun& search);
  void FinishWith(Instant now, SearchRun& search, Error error);
  void Remove(Instant now, SearchRun& search);
  void CancelPart(PartRun& part);

  // Outcomes.
  void TakeAnswer(Instant now,
                  SearchRun& search,
                  const AttemptRun& run,
                  const AttemptOutcome& outcome);
  void TakeRefusal(SearchRun& search,
                   const AttemptRun& run,
                   AttemptStatus status);
  void TakeFailure(Instant now,
                   SearchRun& search,
                   const AttemptRun& run,
                   AttemptStatus status);
  void Hedge(Instant now, AttemptId id);
  void Probe(AttemptId id);

  // Requests that break targets.
  void TakeLoss(Instant now, SearchRun& search, const AttemptRun& run);
  void TakeSurvival(Instant now, SearchRun& search);
  void CountBroken(Instant now, SearchRun* search, const AttemptRun& run);
  void Condemn(Instant now, Fingerprint fingerprint);
  void ReleaseCanaryLine(Instant now, Fingerprint fingerprint, bool survived);

  SearchControllerConfig config_;
  Random random_;
  FleetSettings settings_;
  TargetView view_;
  ReplicaSelector selector_;
  PoisonTracker poison_;
  PartQueue queue_;
  FilterChain<SyntaxFilter, SnapshotFilter, QuarantineFilter, AdmissionFilter>
      filters_;
  std::map<std::string, GroupState> groups_;
  std::unordered_map<RequestId, SearchRun> searches_;
  std::unordered_map<AttemptId, AttemptRun> attempts_;
  std::map<Fingerprint, CanaryLine> canaries_;
  std::set<PartKey> ready_;
  TimerQueue<Timer> timers_;
  std::vector<SearchAction> actions_;
  AttemptId next_attempt_ = 1;
  Instant pruned_at_{};
};

GroupState& SearchController::Impl::EnsureGroup(const std::string& name) {
  auto [slot, added] = groups_.try_emplace(name, name);
  if (added) {
    slot->second.policy = settings_.For(name);
  }
  return slot->second;
}

GroupState* SearchController::Impl::FindGroup(const std::string& name) {
  auto found = groups_.find(name);
  return found == groups_.end() ? nullptr : &found->second;
}

SearchRun* SearchController::Impl::FindSearch(RequestId id) {
  auto found = searches_.find(id);
  return found == searches_.end() ? nullptr : &found->second;
}

// Parts that may have waited for this target.
void SearchController::Impl::MarkReady(const Announcement& target) {
  if (queue_.size() == 0) {
    return;
  }
  for (const HeldSnapshot& held : target.snapshots) {
    for (PartNumber part : held.parts) {
      ready_.insert({target.group, held.manifest.id, part});
    }
  }
}

void SearchController::Impl::AddDeadlines(const SearchRun& search) {
  const RequestId id = search.request().id;
  timers_.Add(search.deadline() - kAnswerMargin, DeadlineTimer{id});
  if (search.policy().answer_rule() == AnswerRule::kSoftDeadline) {
    const Instant soft =
        search.started() + milliseconds(search.policy().soft_deadline_ms);
    timers_.Add(soft, SoftDeadlineTimer{id});
  }
  if (search.policy().admission != 0) {
    const Duration needed = EnsureGroup(search.request().group).Reference() / 2;
    timers_.Add(search.AnswerBy() - needed, GiveUpTimer{id});
  }
}

// What has not been started by now would come too late: its caller is told at
// once, and not at the deadline.
void SearchController::Impl::GiveUp(Instant now, RequestId id) {
  SearchRun* search = FindSearch(id);
  if (search == nullptr || search->Started()) {
    return;
  }
  const bool waits =
      search->phase == SearchPhase::kFanOut ||
      search->parts()[search->canary_part].status == PartStatus::kWaiting;
  if (waits) {
    Finish(now, *search);
  }
}

void SearchController::Impl::Begin(Instant now,
                                   SearchRun& search,
                                   Standing standing) {
  const Canary rule = search.policy().canary_rule();
  const bool suspected = standing == Standing::kSuspected;
  const bool unknown = standing == Standing::kUnknown;
  const bool needs_canary =
      rule != Canary::kOff &&
      (suspected || (unknown && rule == Canary::kUnknown));
  if (!needs_canary) {
    StartFanOut(now, search);
    return;
  }
  auto [slot, added] = canaries_.try_emplace(search.fingerprint());
  if (!added) {
    search.phase = SearchPhase::kCanaryQueued;
    slot->second.followers.push_back(search.request().id);
    return;
  }
  slot->second.leader = search.request().id;
  StartCanary(now, search);
}

// Runs the held part with the most replicas, from a random one on.
void SearchController::Impl::StartCanary(Instant now, SearchRun& search) {
  search.phase = SearchPhase::kCanary;
  const std::size_t count = search.parts().size();
  const std::size_t offset = random_.Below(count);
  std::optional<std::size_t> best;
  std::size_t most = 0;
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t index = (i + offset) % count;
    const PartRun& part = search.parts()[index];
    const std::size_t replicas = selector_.CountUsable(
        {now, search.ReplicasOf(index), part.tried, {}, search.policy()});
    if (part.status == PartStatus::kHeld && replicas > most) {
      most = replicas;
      best = index;
    }
  }
  if (!best) {
    ReleaseCanaryLine(now, search.fingerprint(), false);
    StartFanOut(now, search);
    return;
  }
  search.canary_part = *best;
  Enqueue(search, *best, AttemptKind::kPrimary);
}

void SearchController::Impl::StartFanOut(Instant now, SearchRun& search) {
  search.phase = SearchPhase::kFanOut;
  for (std::size_t i = 0; i < search.parts().size(); ++i) {
    if (search.parts()[i].status == PartStatus::kHeld) {
      Enqueue(search, i, AttemptKind::kPrimary);
    }
  }
  AfterChange(now, search);
}

void SearchController::Impl::Enqueue(SearchRun& search,
                                     std::size_t part_index,
                                     AttemptKind kind) {
  search.parts()[part_index].status = PartStatus::kWaiting;
  const PartKey key = search.KeyOf(part_index);
  queue_.Add(key, search.request().request_class,
             {search.request().id, part_index, kind});
  ready_.insert(key);
}

// Dispatching can finish a search or queue more parts, which makes more keys
// ready; the loop ends when none is left.
void SearchController::Impl::Pump(Instant now) {
  while (!ready_.empty()) {
    const PartKey key = *ready_.begin();
    ready_.erase(ready_.begin());
    queue_.Drain(key, [&](const WaitingPart& waiting) {
      return Dispatch(now, waiting);
    });
  }
}

// True for a search that has waited so long for slots that an attempt made now
// would come too late: its slot is better used by another.
bool SearchController::Impl::CannotFinish(Instant now,
                                          const SearchRun& search,
                                          const GroupState& group) const {
  if (search.policy().admission == 0) {
    return false;
  }
  const Duration needed = group.Reference() / 2;
  const bool waited = now - search.started() > needed;
  return waited && search.AnswerBy() - now < needed;
}

PartQueue::Offer SearchController::Impl::Dispatch(Instant now,
                                                  const WaitingPart& waiting) {
  SearchRun* search = FindSearch(waiting.request);
  if (search == nullptr) {
    return PartQueue::Offer::kTaken;
  }
  const std::size_t index = waiting.part_index;
  if (index >= search->parts().size() ||
      search->parts()[index].status != PartStatus::kWaiting) {
    return PartQueue::Offer::kTaken;
  }
  PartRun& part = search->parts()[index];
  GroupState& group = EnsureGroup(search->request().group);
  if (CannotFinish(now, *search, group)) {
    MissPart(*search, index, MissingReason::kLate);
    AfterChange(now, *search);
    return PartQueue::Offer::kTaken;
  }
  const ReplicaChoice choice =
      selector_.Choose({now, search->ReplicasOf(index), part.tried,
                        group.Reference(), search->policy()});
  switch (choice.state) {
    case ReplicaChoice::State::kBusy:
      return PartQueue::Offer::kBusy;
    case ReplicaChoice::State::kNone:
      if (part.reason == MissingReason::kWrongSnapshot &&
          Replan(now, *search)) {
        return PartQueue::Offer::kTaken;
      }
      MissPart(*search, index,
               part.tried.empty() ? MissingReason::kNoTarget : part.reason);
      AfterChange(now, *search);
      return PartQueue::Offer::kTaken;
    case ReplicaChoice::State::kChosen:
      StartOne(now, *search, index, waiting.kind, *choice.target);
      return PartQueue::Offer::kTaken;
  }
  return PartQueue::Offer::kTaken;
}

void SearchController::Impl::StartOne(Instant now,
                                      SearchRun& search,
                                      std::size_t part_index,
                                      AttemptKind kind,
                                      const Announcement& target) {
  GroupState& group = EnsureGroup(search.request().group);
  PartRun& part = search.parts()[part_index];
  const AttemptId id = next_attempt_++;
  const bool sole = search.phase == SearchPhase::kCanary;
  attempts_[id] = {search.request().id,
                   part_index,
                   kind,
                   target.target,
                   target.group,
                   search.snapshot().id(),
                   search.fingerprint(),
                   sole,
                   false,
                   now};
  part.status = PartStatus::kRunning;
  part.started = true;
  part.running.push_back(id);
  part.tried.push_back(target.target);
  selector_.Stats(target.target)->OnStart();
  group.OnDispatch(now, search.request().request_class);
  switch (kind) {
    case AttemptKind::kPrimary:
      ++search.attempts.primary;
      group.extra_attempts.OnPrimary(
          static_cast<double>(group.policy.extra_attempts_percent));
      break;
    case AttemptKind::kHedge:
      ++search.attempts.hedge;
      break;
    case AttemptKind::kRetry:
      ++search.attempts.retry;
      break;
    case AttemptKind::kReplacement:
      ++search.attempts.replacement;
      break;
  }
  AttemptCommand command;
  command.id = id;
  command.request = search.request().id;
  command.kind = kind;
  command.target = target.target;
  command.incarnation = target.incarnation;
  command.address = target.address;
  command.group = target.group;
  command.snapshot = search.snapshot().id();
  command.part = search.NumberOf(part_index);
  command.query = search.query();
  command.budget = search.deadline() - now;
  command.fresh_connection = sole && !search.lost_targets.empty();
  command.trace_parent = search.request().trace_parent;
  actions_.emplace_back(StartAttempt{std::move(command)});
  if (auto delay = group.HedgeDelay(now)) {
    timers_.Add(now + *delay, HedgeTimer{id});
  }
  timers_.Add(now + group.ProbeDelay(), ProbeTimer{id});
}

void SearchController::Impl::MissPart(SearchRun& search,
                                      std::size_t part_index,
                                      MissingReason reason) {
  PartRun& part = search.parts()[part_index];
  part.status = PartStatus::kMissing;
  part.reason = reason;
}

// Moves a search on after one of its parts has ended.
void SearchController::Impl::AfterChange(Instant now, SearchRun& search) {
  if (search.phase == SearchPhase::kCanary) {
    const PartStatus status = search.parts()[search.canary_part].status;
    if (status == PartStatus::kMissing) {
      StartCanary(now, search);
    }
    return;
  }
  if (search.phase == SearchPhase::kFanOut && search.Settled()) {
    Finish(now, search);
  }
}

// Starts over on another snapshot, once, if the pinned one is gone.
bool SearchController::Impl::Replan(Instant now, SearchRun& search) {
  GroupState& group = EnsureGroup(search.request().group);
  group.Invalidate();
  auto snapshot = group.Snapshot(now, view_);
  const bool possible = !search.replanned && snapshot &&
                        snapshot->id() != search.snapshot().id() &&
                        search.deadline() - now > group.Reference();
  if (!possible) {
    return false;
  }
  for (PartRun& part : search.parts()) {
    CancelPart(part);
  }
  search.replanned = true;
  search.Pin(std::move(snapshot));
  if (search.phase == SearchPhase::kCanary) {
    StartCanary(now, search);
  } else {
    StartFanOut(now, search);
  }
  return true;
}

void SearchController::Impl::Finish(Instant now, SearchRun& search) {
  if (search.AnsweredParts() > 0) {
    actions_.emplace_back(FinishSearch{search.request().id, search.Answer()});
    Remove(now, search);
    return;
  }
  Error error;
  error.retry_after = kFailedRetryAfter;
  if (!search.Started()) {
    const bool waited =
        std::ranges::any_of(search.parts(), [](const PartRun& part) {
          return part.status != PartStatus::kMissing ||
                 part.reason == MissingReason::kLate;
        });
    error.kind = waited ? ErrorKind::kOverloaded : ErrorKind::kNoTarget;
    error.detail = "no part was sent to a target";
  } else {
    error.kind =
        search.Settled() ? ErrorKind::kTargetsFailed : ErrorKind::kDeadline;
    error.detail = "no part was answered";
  }
  FinishWith(now, search, std::move(error));
}

void SearchController::Impl::FinishWith(Instant now,
                                        SearchRun& search,
                                        Error error) {
  actions_.emplace_back(
      FinishSearch{search.request().id, tl::unexpected(std::move(error))});
  Remove(now, search);
}

// Attempts stay in attempts_ until their outcome arrives: they still hold a
// slot at their target.
void SearchController::Impl::Remove(Instant now, SearchRun& search) {
  for (PartRun& part : search.parts()) {
    CancelPart(part);
  }
  const RequestId id = search.request().id;
  const Fingerprint fingerprint = search.fingerprint();
  searches_.erase(id);
  auto line = canaries_.find(fingerprint);
  if (line != canaries_.end() && line->second.leader == id) {
    ReleaseCanaryLine(now, fingerprint, false);
  }
}

void SearchController::Impl::CancelPart(PartRun& part) {
  for (AttemptId id : std::exchange(part.running, {})) {
    actions_.emplace_back(CancelAttempt{id, attempts_.at(id).target});
  }
}

void SearchController::Impl::OnOutcome(Instant now,
                                       AttemptId id,
                                       const AttemptOutcome& outcome) {
  auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return;
  }
  const AttemptRun run = found->second;
  attempts_.erase(found);
  const Duration latency = now - run.started;
  GroupState& group = EnsureGroup(run.group);
  if (TargetStats* stats = selector_.Stats(run.target)) {
    stats->OnFinish(now, outcome, latency, group.policy);
  }
  if (outcome.status == AttemptStatus::kAnswered ||
      outcome.status == AttemptStatus::kCancelled) {
    group.OnLatency(latency);
  }
  if (outcome.status == AttemptStatus::kShed) {
    group.OnShed(now);
  }
  if (const Announcement* target = view_.Usable(now, run.target)) {
    MarkReady(*target);
  }
  SearchRun* search = FindSearch(run.request);
  PartRun* part = nullptr;
  if (search != nullptr && run.part_index < search->parts().size()) {
    part = &search->parts()[run.part_index];
  }
  // An attempt that its part no longer lists was cancelled.
  if (part == nullptr || std::erase(part->running, id) == 0) {
    if (outcome.status == AttemptStatus::kLost && run.sole) {
      CountBroken(now, nullptr, run);
    }
    Pump(now);
    return;
  }
  if (outcome.status == AttemptStatus::kAnswered) {
    TakeAnswer(now, *search, run, outcome);
  } else if (ProvesNotRun(outcome.status) &&
             outcome.status != AttemptStatus::kShed) {
    TakeRefusal(*search, run, outcome.status);
  } else if (outcome.status == AttemptStatus::kLost) {
    TakeLoss(now, *search, run);
  } else {
    TakeFailure(now, *search, run, outcome.status);
  }
  if ((search = FindSearch(run.request)) != nullptr) {
    AfterChange(now, *search);
  }
  Pump(now);
}

void SearchController::Impl::TakeAnswer(Instant now,
                                        SearchRun& search,
                                        const AttemptRun& run,
                                        const AttemptOutcome& outcome) {
  const bool right = outcome.snapshot == search.snapshot().id() &&
                     outcome.part == search.NumberOf(run.part_index);
  if (!right) {
    TakeRefusal(search, run, AttemptStatus::kWrongSnapshot);
    return;
  }
  PartRun& part = search.parts()[run.part_index];
  const std::uint64_t in_manifest =
      search.snapshot().manifest.parts[run.part_index].documents;
  part.status = PartStatus::kAnswered;
  part.documents = std::min(outcome.documents, in_manifest);
  part.hits = outcome.hits;
  CancelPart(part);
  if (search.phase == SearchPhase::kCanary ||
      search.phase == SearchPhase::kAskingPeers) {
    TakeSurvival(now, search);
    StartFanOut(now, search);
  }
}

// The canary was answered: the request does not break targets.
void SearchController::Impl::TakeSurvival(Instant now, SearchRun& search) {
  const Fingerprint fingerprint = search.fingerprint();
  const bool was_suspected =
      !poison_.EvidenceOf(now, fingerprint, config_.host).targets.empty();
  search.lost_targets.clear();
  poison_.OnSurvived(now, fingerprint, search.snapshot().id());
  if (was_suspected) {
    actions_.emplace_back(ShareEvidence{
        poison_.EvidenceOf(now, fingerprint, config_.host), false});
  }
  ReleaseCanaryLine(now, fingerprint, true);
}

// The target proved that it did not run the part: another may, at no extra
// load.
void SearchController::Impl::TakeRefusal(SearchRun& search,
                                         const AttemptRun& run,
                                         AttemptStatus status) {
  PartRun& part = search.parts()[run.part_index];
  part.reason = status == AttemptStatus::kWrongSnapshot
                    ? MissingReason::kWrongSnapshot
                    : MissingReason::kRefused;
  if (part.running.empty() && part.status == PartStatus::kRunning) {
    Enqueue(search, run.part_index, AttemptKind::kReplacement);
  }
}

void SearchController::Impl::TakeFailure(Instant now,
                                         SearchRun& search,
                                         const AttemptRun& run,
                                         AttemptStatus status) {
  PartRun& part = search.parts()[run.part_index];
  part.reason = status == AttemptStatus::kShed ? MissingReason::kRefused
                                               : MissingReason::kFailed;
  if (!part.running.empty() || part.status != PartStatus::kRunning) {
    return;
  }
  GroupState& group = EnsureGroup(search.request().group);
  const bool replica_left =
      selector_.CountUsable({now,
                             search.ReplicasOf(run.part_index),
                             part.tried,
                             {},
                             search.policy()}) > 0;
  if (replica_left && group.extra_attempts.TryTake()) {
    Enqueue(search, run.part_index, AttemptKind::kRetry);
    return;
  }
  MissPart(search, run.part_index, part.reason);
}

void SearchController::Impl::OnProbe(Instant now,
                                     AttemptId id,
                                     ProbeState state) {
  auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return;
  }
  SearchRun* search = FindSearch(found->second.request);
  if (search == nullptr) {
    return;
  }
  if (state == ProbeState::kUnknown) {
    // The connection is silent. The outcome of the cancelled attempt only
    // frees its place at the target.
    const AttemptRun run = found->second;
    PartRun& part = search->parts()[run.part_index];
    if (std::erase(part.running, id) == 0) {
      return;
    }
    actions_.emplace_back(CancelAttempt{id, run.target});
    std::erase(part.tried, run.target);
    TakeRefusal(*search, run, AttemptStatus::kSilent);
  }
  Pump(now);
}

void SearchController::Impl::Hedge(Instant now, AttemptId id) {
  auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return;
  }
  const AttemptRun run = found->second;
  SearchRun* search = FindSearch(run.request);
  if (search == nullptr) {
    return;
  }
  PartRun& part = search->parts()[run.part_index];
  GroupState& group = EnsureGroup(run.group);
  const bool wanted =
      part.status == PartStatus::kRunning && !part.hedged &&
      std::ranges::find(part.running, id) != part.running.end() &&
      search->lost_targets.empty() && group.HedgeDelay(now);
  if (!wanted) {
    return;
  }
  const ReplicaChoice choice =
      selector_.Choose({now, search->ReplicasOf(run.part_index), part.tried,
                        group.Reference(), search->policy()});
  if (choice.state != ReplicaChoice::State::kChosen ||
      !group.extra_attempts.TryTake(kRetryReserve)) {
    return;
  }
  part.hedged = true;
  StartOne(now, *search, run.part_index, AttemptKind::kHedge, *choice.target);
}

void SearchController::Impl::Probe(AttemptId id) {
  auto found = attempts_.find(id);
  if (found == attempts_.end() || found->second.probed ||
      FindSearch(found->second.request) == nullptr) {
    return;
  }
  found->second.probed = true;
  actions_.emplace_back(ProbeAttempt{id, found->second.target});
}

// A connection broke under a request. The part is run once more on its own, to
// tell a target that died from a request that kills.
void SearchController::Impl::TakeLoss(Instant now,
                                      SearchRun& search,
                                      const AttemptRun& run) {
  search.lost_targets.push_back(run.target);
  search.parts()[run.part_index].reason = MissingReason::kFailed;
  if (search.policy().canary_rule() == Canary::kOff) {
    TakeFailure(now, search, run, AttemptStatus::kLost);
    return;
  }
  if (run.sole) {
    CountBroken(now, &search, run);
    return;
  }
  PartRun& part = search.parts()[run.part_index];
  if (!part.running.empty() || part.status != PartStatus::kRunning) {
    return;
  }
  for (PartRun& other : search.parts()) {
    if (other.status == PartStatus::kWaiting) {
      other.status = PartStatus::kHeld;
    }
  }
  part.status = PartStatus::kHeld;
  auto [slot, added] = canaries_.try_emplace(search.fingerprint());
  if (!added && slot->second.leader != search.request().id) {
    search.phase = SearchPhase::kCanaryQueued;
    slot->second.followers.push_back(search.request().id);
    return;
  }
  slot->second.leader = search.request().id;
  if (search.phase == SearchPhase::kFanOut) {
    StartCanary(now, search);
  }
}

void SearchController::Impl::CountBroken(Instant now,
                                         SearchRun* search,
                                         const AttemptRun& run) {
  GroupState& group = EnsureGroup(run.group);
  const Duration quarantine = std::chrono::seconds(group.policy.quarantine_s);
  std::size_t broken =
      poison_.OnBroken(now, run.fingerprint, run.target, quarantine);
  if (search != nullptr) {
    for (const std::string& target : search->lost_targets) {
      broken = poison_.OnBroken(now, run.fingerprint, target, quarantine);
    }
  }
  PoisonEvidence evidence =
      poison_.EvidenceOf(now, run.fingerprint, config_.host);
  if (evidence.quarantine > Duration{}) {
    actions_.emplace_back(ShareEvidence{std::move(evidence), false});
    Condemn(now, run.fingerprint);
    return;
  }
  const bool ask = search != nullptr && broken > 0;
  if (ask) {
    evidence.testing = kTestWindow;
    search->phase = SearchPhase::kAskingPeers;
    PartRun& part = search->parts()[run.part_index];
    if (part.running.empty()) {
      part.status = PartStatus::kHeld;
    }
  }
  actions_.emplace_back(ShareEvidence{std::move(evidence), ask});
}

bool SearchController::Impl::OnEvidence(Instant now,
                                        const PoisonEvidence& evidence) {
  const Duration quarantine =
      std::chrono::seconds(settings_.defaults().quarantine_s);
  const bool running = std::ranges::any_of(attempts_, [&](const auto& entry) {
    return entry.second.fingerprint == evidence.fingerprint;
  });
  if (poison_.Merge(now, evidence, quarantine)) {
    Condemn(now, evidence.fingerprint);
    Pump(now);
  }
  return running;
}

void SearchController::Impl::OnEvidenceShared(Instant now,
                                              Fingerprint fingerprint,
                                              bool elsewhere) {
  auto line = canaries_.find(fingerprint);
  if (line == canaries_.end()) {
    return;
  }
  SearchRun* search = FindSearch(line->second.leader);
  if (search == nullptr || search->phase != SearchPhase::kAskingPeers) {
    return;
  }
  if (!search->parts()[search->canary_part].running.empty()) {
    // A hedge of the canary is still running and will tell.
    search->phase = SearchPhase::kCanary;
    return;
  }
  if (elsewhere) {
    FinishWith(now, *search,
               {ErrorKind::kBrokeTargets,
                "a target broke under it, and another host is running it",
                kFailedRetryAfter});
  } else {
    StartCanary(now, *search);
  }
  Pump(now);
}

// Ends every search with this fingerprint at once.
void SearchController::Impl::Condemn(Instant now, Fingerprint fingerprint) {
  canaries_.erase(fingerprint);
  std::vector<RequestId> condemned;
  for (const auto& [id, search] : searches_) {
    if (search.fingerprint() == fingerprint) {
      condemned.push_back(id);
    }
  }
  std::ranges::sort(condemned);
  for (RequestId id : condemned) {
    SearchRun& search = searches_.at(id);
    const ErrorKind kind =
        search.Started() ? ErrorKind::kBrokeTargets : ErrorKind::kQuarantined;
    FinishWith(now, search,
               {kind, "targets broke while running it",
                poison_.RefusedFor(now, fingerprint)});
  }
}

// The canary has ended: its followers fan out if it survived, and the next of
// them becomes the canary if it did not.
void SearchController::Impl::ReleaseCanaryLine(Instant now,
                                               Fingerprint fingerprint,
                                               bool survived) {
  auto found = canaries_.find(fingerprint);
  if (found == canaries_.end()) {
    return;
  }
  CanaryLine line = std::move(found->second);
  canaries_.erase(found);
  for (RequestId id : line.followers) {
    SearchRun* search = FindSearch(id);
    if (search == nullptr) {
      continue;
    }
    if (survived) {
      StartFanOut(now, *search);
    } else {
      search->phase = SearchPhase::kFanOut;
      Begin(now, *search, Standing::kUnknown);
    }
  }
}

void SearchController::Impl::Tick(Instant now) {
  while (std::optional<Timer> timer = timers_.PopDue(now)) {
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
Result<ActionTarget> SearchController::Impl::TakeTarget(
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

void SearchController::Impl::ReleaseTarget(Instant now,
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

SearchController::SearchController(SearchControllerConfig config)
    : impl_(std::make_unique<Impl>(std::move(config))) {}

SearchController::~SearchController() = default;

void SearchController::ApplySettings(const FleetSettings& settings) {
  impl_->ApplySettings(settings);
}

AnnounceResult SearchController::Announce(Instant now,
                                          const Announcement& news,
                                          Duration age) {
  return impl_->Announce(now, news, age);
}

void SearchController::Submit(Instant now, const SearchRequest& request) {
  impl_->Submit(now, request);
}

void SearchController::OnCallerGone(Instant now, RequestId request) {
  impl_->OnCallerGone(now, request);
}

void SearchController::OnOutcome(Instant now,
                                 AttemptId attempt,
                                 const AttemptOutcome& outcome) {
  impl_->OnOutcome(now, attempt, outcome);
}

void SearchController::OnProbe(Instant now,
                               AttemptId attempt,
                               ProbeState state) {
  impl_->OnProbe(now, attempt, state);
}

bool SearchController::OnEvidence(Instant now, const PoisonEvidence& evidence) {
  return impl_->OnEvidence(now, evidence);
}

void SearchController::OnEvidenceShared(Instant now,
                                        Fingerprint fingerprint,
                                        bool running_elsewhere) {
  impl_->OnEvidenceShared(now, fingerprint, running_elsewhere);
}

Result<ActionTarget> SearchController::TakeTarget(
    Instant now,
    const std::string& group,
    const std::vector<std::string>& tried) {
  return impl_->TakeTarget(now, group, tried);
}

void SearchController::ReleaseTarget(Instant now,
                                     const std::string& group,
                                     const std::string& target,
                                     const AttemptOutcome& outcome,
                                     Duration latency) {
  impl_->ReleaseTarget(now, group, target, outcome, latency);
}

void SearchController::Tick(Instant now) {
  impl_->Tick(now);
}

std::optional<Instant> SearchController::NextDue() const {
  return impl_->NextDue();
}

std::vector<SearchAction> SearchController::TakeActions() {
  return impl_->TakeActions();
}

std::vector<Fingerprint> SearchController::Quarantined(Instant now) const {
  return impl_->poison().Quarantined(now);
}

bool SearchController::Release(Fingerprint fingerprint) {
  return impl_->poison().Release(fingerprint);
}

const TargetView& SearchController::view() const {
  return impl_->view();
}

std::uint32_t SearchController::ConnectionShare(
    const Announcement& target) const {
  return impl_->selector().ConnectionShare(target.connections);
}

std::size_t SearchController::running() const {
  return impl_->running();
}

std::size_t SearchController::waiting() const {
  return impl_->waiting();
}

}  // namespace snipeworks
