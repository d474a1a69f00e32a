#include "search_engine.h"

#include <algorithm>
#include <utility>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;
using Verdict = PoisonTracker::Verdict;

// Time before the caller's deadline at which the answer is sent.
constexpr Duration kAnswerMargin = milliseconds(2);

}  // namespace

void SearchEngine::AddDeadlines(const SearchRun& search) {
  const RequestId id = search.request().id;
  timers_.Add(search.deadline() - kAnswerMargin, DeadlineTimer{id});
  if (search.policy().answer_rule() == AnswerRule::kSoftDeadline) {
    const Instant soft =
        search.started() + milliseconds(search.policy().soft_deadline_ms);
    timers_.Add(soft, SoftDeadlineTimer{id});
  }
  if (search.policy().admission != 0) {
    const Duration needed =
        EnsureGroup(search.request().group).TypicalLatency() / 2;
    timers_.Add(search.AnswerBy() - needed, StartDeadlineTimer{id});
  }
}

// Fails a search that has not started and could not be answered in time, so
// that its caller need not wait for the deadline.
void SearchEngine::FailIfNotStarted(Instant now, RequestId id) {
  SearchRun* search = FindSearch(id);
  if (search == nullptr || search->Started()) {
    return;
  }
  const bool waits =
      search->phase == SearchPhase::kFanOut ||
      search->parts()[search->canary_part].status == PartStatus::kQueued;
  if (waits) {
    Finish(now, id);
  }
}

void SearchEngine::Begin(Instant now, RequestId id, Verdict verdict) {
  SearchRun* search = FindSearch(id);
  if (search == nullptr) {
    return;
  }
  const bool trusted = verdict == Verdict::kSafe ||
                       (verdict == Verdict::kUnknown &&
                        search->policy().canary_rule() == Canary::kSuspected);
  if (trusted) {
    StartFanOut(now, id);
    return;
  }
  auto [it, inserted] = canaries_.try_emplace(search->fingerprint());
  if (!inserted) {
    search->phase = SearchPhase::kCanaryQueued;
    it->second.followers.push_back(id);
    return;
  }
  it->second.leader = id;
  StartCanary(now, id);
}

// A part whose attempts all provably were not run gets a replacement, which is
// free. Otherwise the next attempt is a retry and is charged to the budget of
// extra attempts.
std::optional<AttemptKind> SearchEngine::NextAttemptKind(
    Instant now,
    const SearchRun& search,
    std::size_t part_index) {
  const PartRun& part = search.parts()[part_index];
  if (!part.started) {
    return AttemptKind::kPrimary;
  }
  if (!MayTryAgain(now, search, part)) {
    return std::nullopt;
  }
  if (part.possibly_run_attempts == 0 || part.budget_reserved) {
    return AttemptKind::kReplacement;
  }
  const GroupState& group = EnsureGroup(search.request().group);
  const std::string& target_group = search.PartKeyOf(part_index).group;
  if (!TakeExtraBudget(now, group.policy, target_group, 0.0)) {
    return std::nullopt;
  }
  return AttemptKind::kRetry;
}

void SearchEngine::StartFanOut(Instant now, RequestId id) {
  SearchRun* search = FindSearch(id);
  if (search == nullptr) {
    return;
  }
  search->phase = SearchPhase::kFanOut;
  if (actions_.empty()) {
    actions_.reserve(search->parts().size());
  }
  for (std::size_t i = 0; search != nullptr && i < search->parts().size();
       ++i) {
    if (search->parts()[i].status != PartStatus::kPending) {
      continue;
    }
    if (const auto kind = NextAttemptKind(now, *search, i)) {
      DispatchOrEnqueue(now, id, i, *kind);
      search = FindSearch(id);
    } else {
      MarkPartMissing(*search, i, MissingReason::kFailed);
    }
  }
  Advance(now, id);
}

// Most parts find a free target at once and skip the queue.
void SearchEngine::DispatchOrEnqueue(Instant now,
                                     RequestId id,
                                     std::size_t part_index,
                                     AttemptKind kind) {
  SearchRun& search = searches_.at(id);
  const bool nothing_queued =
      queue_.size() == 0 || queue_.IsEmpty(search.PartKeyOf(part_index));
  if (nothing_queued) {
    search.parts()[part_index].status = PartStatus::kQueued;
    const WaitingPart waiting{id, part_index, kind};
    if (Dispatch(now, waiting) == PartQueue::OfferResult::kDequeued) {
      return;
    }
  }
  // A busy part leaves the search as it was.
  Enqueue(search, part_index, kind);
}

void SearchEngine::Enqueue(SearchRun& search,
                           std::size_t part_index,
                           AttemptKind kind) {
  search.parts()[part_index].status = PartStatus::kQueued;
  const PartKey key = search.PartKeyOf(part_index);
  queue_.Add(key, search.request().priority(),
             {search.request().id, part_index, kind});
  ready_keys_.insert(key);
}

// Dispatching can finish a search or queue more parts, which adds ready keys,
// so the loop runs until none is left.
void SearchEngine::DispatchReady(Instant now) {
  while (!ready_keys_.empty()) {
    const PartKey key = *ready_keys_.begin();
    ready_keys_.erase(ready_keys_.begin());
    queue_.Drain(key, [&](const WaitingPart& waiting) {
      return Dispatch(now, waiting);
    });
  }
}

// True for a part that has waited for a slot so long that an attempt sent now
// would be too late, and would take a slot from another search. A part without
// which there is no answer may be late once most others have been answered: a
// late answer is worth more than none, and little work is left to do for it.
bool SearchEngine::CannotFinish(Instant now,
                                const SearchRun& search,
                                const GroupState& group) const {
  if (search.policy().admission == 0) {
    return false;
  }
  const Duration needed = group.TypicalLatency() / 2;
  const bool waited = now - search.started() > needed;
  const bool decides = !search.CanSpareAPart() &&
                       search.AnsweredParts() * 2 > search.parts().size();
  const Instant answer_by = decides ? search.deadline() : search.AnswerBy();
  return waited && answer_by - now < needed;
}

PartQueue::OfferResult SearchEngine::Dispatch(Instant now,
                                              const WaitingPart& waiting) {
  SearchRun* search = FindSearch(waiting.request);
  if (search == nullptr) {
    return PartQueue::OfferResult::kDequeued;
  }
  const std::size_t index = waiting.part_index;
  if (index >= search->parts().size() ||
      search->parts()[index].status != PartStatus::kQueued) {
    return PartQueue::OfferResult::kDequeued;
  }
  PartRun& part = search->parts()[index];
  GroupState& group = EnsureGroup(search->request().group);
  if (CannotFinish(now, *search, group)) {
    MarkPartMissing(*search, index, MissingReason::kLate);
    Advance(now, waiting.request);
    return PartQueue::OfferResult::kDequeued;
  }
  const ReplicaChoice choice =
      selector_.Choose({now, search->ReplicasOf(index), part.tried,
                        group.TypicalLatency(), search->policy()});
  switch (choice.state) {
    case ReplicaChoice::State::kBusy:
      if (!choice.retry_at || *choice.retry_at < search->AnswerBy()) {
        return PartQueue::OfferResult::kBusy;
      }
      // No target will accept the part in time: fail it without waiting.
      MarkPartMissing(*search, index, MissingReason::kRefused);
      Advance(now, waiting.request);
      return PartQueue::OfferResult::kDequeued;
    case ReplicaChoice::State::kNone:
      if (part.reason == MissingReason::kWrongSnapshot &&
          RepinSnapshot(now, waiting.request)) {
        return PartQueue::OfferResult::kDequeued;
      }
      MarkPartMissing(*search, index,
                      part.tried.empty() ? NoTargetReason(now, *search, index)
                                         : part.reason);
      Advance(now, waiting.request);
      return PartQueue::OfferResult::kDequeued;
    case ReplicaChoice::State::kChosen:
      BeginAttempt(now, *search, index, waiting.kind, *choice.target);
      return PartQueue::OfferResult::kDequeued;
  }
  return PartQueue::OfferResult::kDequeued;
}

void SearchEngine::BeginAttempt(Instant now,
                                SearchRun& search,
                                std::size_t part_index,
                                AttemptKind kind,
                                const Announcement& target) {
  GroupState& group = EnsureGroup(search.request().group);
  PartRun& part = search.parts()[part_index];
  const AttemptId id = next_attempt_++;
  const bool isolated = search.phase == SearchPhase::kCanary;
  const bool uses_extra_budget = std::exchange(part.budget_reserved, false) ||
                                 kind == AttemptKind::kHedge ||
                                 kind == AttemptKind::kRetry;
  attempts_[id] = {search.request().id,
                   part_index,
                   kind,
                   target.target,
                   search.request().group,
                   target.group,
                   target.incarnation,
                   search.snapshot().id(),
                   search.fingerprint(),
                   isolated,
                   uses_extra_budget,
                   false,
                   now};
  part.status = PartStatus::kRunning;
  part.started = true;
  part.running.push_back(id);
  part.tried.push_back(target.target);
  ++part.possibly_run_attempts;
  selector_.Stats(target.target)->OnStart(now);
  group.OnDispatch(now, search.request().priority());
  switch (kind) {
    case AttemptKind::kPrimary:
      ++search.attempts.primary;
      extra_attempt_budgets_[target.group].OnPrimary(now);
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
  command.part = search.PartNumberOf(part_index);
  command.query = search.query();
  command.forwarded = search.request().forwarded;
  command.repeatable = search.request().repeatable;
  command.budget = search.deadline() - now;
  command.other_zone = target.zone != config_.zone;
  command.fresh_connection = isolated && !search.lost_targets.empty();
  command.trace_parent = search.request().trace_parent;
  actions_.emplace_back(StartAttempt{std::move(command)});
  if (search.request().repeatable) {
    if (auto delay = HedgeDelay(now, attempts_.at(id))) {
      timers_.Add(now + *delay, HedgeTimer{id});
    }
  }
  if (search.policy().probe_silent != 0) {
    timers_.Add(now + group.ProbeDelay(), ProbeTimer{id});
  }
}

MissingReason SearchEngine::NoTargetReason(Instant now,
                                           const SearchRun& search,
                                           std::size_t part_index) const {
  return view_.HasEvacuated(now, search.PartKeyOf(part_index).group)
             ? MissingReason::kEvacuated
             : MissingReason::kNoTarget;
}

void SearchEngine::MarkPartMissing(SearchRun& search,
                                   std::size_t part_index,
                                   MissingReason reason) {
  PartRun& part = search.parts()[part_index];
  part.status = PartStatus::kMissing;
  part.reason = reason;
}

// Continues or finishes a search after one of its parts has ended.
void SearchEngine::Advance(Instant now, RequestId id) {
  const SearchRun* search = FindSearch(id);
  if (search == nullptr) {
    return;
  }
  if (search->phase == SearchPhase::kCanary) {
    const PartStatus status = search->parts()[search->canary_part].status;
    if (status == PartStatus::kMissing) {
      StartCanary(now, id);
    }
    return;
  }
  if (search->phase != SearchPhase::kFanOut) {
    return;
  }
  const bool enough =
      search->overdue && search->AnsweredParts() >= search->NeededParts();
  if (enough || search->CoverageUnreachable() || search->Settled()) {
    Finish(now, id);
  }
}

// True if another attempt may be sent for the part: a request that is not
// repeatable, or no longer known to be, must not have run, and a repeatable one
// must be below its attempt limit.
bool SearchEngine::MayTryAgain(Instant now,
                               const SearchRun& search,
                               const PartRun& part) const {
  if (!search.request().repeatable || !MayRepeat(now)) {
    return part.possibly_run_attempts == 0;
  }
  const std::int64_t limit = search.policy().max_attempts;
  return limit == 0 || part.possibly_run_attempts < limit;
}

void SearchEngine::ForbidRepeats(RequestId request) {
  if (SearchRun* search = FindSearch(request)) {
    search->ForbidRepeats();
  }
}

// Restarts the search once on another snapshot if the pinned one is gone.
bool SearchEngine::RepinSnapshot(Instant now, RequestId id) {
  SearchRun& search = searches_.at(id);
  GroupState& group = EnsureGroup(search.request().group);
  group.Invalidate();
  auto snapshot = group.Snapshot(now, view_);
  const bool possible = !search.repinned && snapshot &&
                        snapshot->id() != search.snapshot().id() &&
                        search.deadline() - now > group.TypicalLatency();
  if (!possible) {
    return false;
  }
  for (std::size_t i = 0; i < search.parts().size(); ++i) {
    CancelPart(now, search, i);
  }
  search.repinned = true;
  search.Pin(std::move(snapshot));
  if (search.phase == SearchPhase::kCanary) {
    StartCanary(now, id);
  } else {
    StartFanOut(now, id);
  }
  return true;
}

Duration SearchEngine::RefusedFor(Instant now, const SearchRun& search) {
  Duration longest{};
  for (std::size_t i = 0; i < search.parts().size(); ++i) {
    const PartRun& part = search.parts()[i];
    if (part.status != PartStatus::kMissing ||
        part.reason != MissingReason::kRefused) {
      continue;
    }
    const auto until = selector_.EarliestRetryTime(
        {now, search.ReplicasOf(i), {}, {}, search.policy()});
    longest = std::max(longest, until.value_or(now) - now);
  }
  return longest;
}

void SearchEngine::Finish(Instant now, RequestId id) {
  const SearchRun* found = FindSearch(id);
  if (found == nullptr) {
    return;
  }
  const SearchRun& search = *found;
  if (search.AnsweredParts() >= search.NeededParts()) {
    actions_.emplace_back(FinishSearch{id, search.Answer(), nullptr, 0});
    Remove(now, id);
    return;
  }
  Error error;
  const Duration refused = RefusedFor(now, search);
  error.retry_after = refused > Duration{} ? refused : kDefaultRetryAfter;
  if (!search.MayHaveRun()) {
    const bool waited =
        search.Started() ||
        std::ranges::any_of(search.parts(), [](const PartRun& part) {
          return part.status != PartStatus::kMissing ||
                 part.reason == MissingReason::kLate ||
                 part.reason == MissingReason::kOverloaded;
        });
    error.kind = waited ? ErrorKind::kOverloaded : ErrorKind::kNoTarget;
    error.detail = search.Started() ? "no target accepted the request"
                                    : "no part was sent to a target";
    if (std::ranges::find(search.parts(), MissingReason::kEvacuated,
                          &PartRun::reason) != search.parts().end()) {
      error.detail = "the targets of a part are in evacuated zones";
    }
    if (refused > Duration{}) {
      error.detail =
          "every target of a part is in its Retry-After period or at its limit";
    }
  } else {
    const bool too_late =
        !search.CoverageUnreachable() ||
        std::ranges::any_of(search.parts(), [](const PartRun& part) {
          return part.status == PartStatus::kMissing &&
                 part.reason == MissingReason::kLate;
        });
    error.kind = too_late ? ErrorKind::kDeadline : ErrorKind::kTargetsFailed;
    error.detail = std::to_string(search.AnsweredParts()) + " of " +
                   std::to_string(search.parts().size()) +
                   " parts were answered, " +
                   std::to_string(search.NeededParts()) + " are needed";
    if (!search.request().repeatable && !search.failure &&
        error.kind == ErrorKind::kTargetsFailed) {
      error.kind = ErrorKind::kOutcomeUnknown;
    }
  }
  FinishWith(now, id, std::move(error));
}

void SearchEngine::FinishWith(Instant now, RequestId id, Error error) {
  const SearchRun* search = FindSearch(id);
  if (search == nullptr) {
    return;
  }
  actions_.emplace_back(FinishSearch{id, tl::unexpected(std::move(error)),
                                     search->failure, search->MostAttempts()});
  Remove(now, id);
}

// Attempts stay in attempts_ until their outcome arrives, since they still
// occupy a slot of their target.
void SearchEngine::Remove(Instant now, RequestId id) {
  auto node = searches_.extract(id);
  if (node.empty()) {
    return;
  }
  SearchRun& search = node.mapped();
  for (std::size_t i = 0; i < search.parts().size(); ++i) {
    CancelPart(now, search, i);
  }
  const Fingerprint fingerprint = search.fingerprint();
  RecordUnresolvedLoss(now, search);
  auto queue = canaries_.find(fingerprint);
  if (queue != canaries_.end() && queue->second.leader == id) {
    ReleaseCanaryQueue(now, fingerprint, false);
  }
}

void SearchEngine::CancelPart(Instant now,
                              SearchRun& search,
                              std::size_t part_index) {
  PartRun& part = search.parts()[part_index];
  if (std::exchange(part.budget_reserved, false)) {
    extra_attempt_budgets_[search.PartKeyOf(part_index).group].Refund(now);
  }
  for (AttemptId id : std::exchange(part.running, {})) {
    actions_.emplace_back(CancelAttempt{id, attempts_.at(id).target});
  }
}

}  // namespace snipeworks
