#include "search_engine.h"

#include <algorithm>
#include <utility>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;
using Verdict = PoisonTracker::Verdict;

// The answer leaves this long before the caller's deadline.
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
    timers_.Add(search.AnswerBy() - needed, GiveUpTimer{id});
  }
}

// What has not been started by now would come too late: its caller is told at
// once, and not at the deadline.
void SearchEngine::GiveUp(Instant now, RequestId id) {
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

void SearchEngine::Begin(Instant now, SearchRun& search, Verdict standing) {
  const bool trusted = standing == Verdict::kSafe ||
                       (standing == Verdict::kUnknown &&
                        search.policy().canary_rule() == Canary::kSuspected);
  if (trusted) {
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

// A part whose attempts are all proved not to have run is tried again at no
// cost; any other draws on the budget of extra attempts.
std::optional<AttemptKind> SearchEngine::KindOfNext(Instant now,
                                                    const SearchRun& search,
                                                    std::size_t part_index) {
  const PartRun& part = search.parts()[part_index];
  if (!part.started) {
    return AttemptKind::kPrimary;
  }
  if (!MayTryAgain(search, part)) {
    return std::nullopt;
  }
  if (part.unproved == 0 || part.paid_ahead) {
    return AttemptKind::kReplacement;
  }
  const GroupState& group = EnsureGroup(search.request().group);
  const std::string& target_group = search.KeyOf(part_index).group;
  if (!TakeExtra(now, group.policy, target_group, 0.0)) {
    return std::nullopt;
  }
  return AttemptKind::kRetry;
}

void SearchEngine::StartFanOut(Instant now, SearchRun& search) {
  search.phase = SearchPhase::kFanOut;
  const RequestId id = search.request().id;
  if (actions_.empty()) {
    actions_.reserve(search.parts().size());
  }
  // A part can end its search, or start it over on another snapshot.
  SearchRun* left = &search;
  for (std::size_t i = 0; left != nullptr && i < left->parts().size(); ++i) {
    if (left->parts()[i].status != PartStatus::kHeld) {
      continue;
    }
    if (const auto kind = KindOfNext(now, *left, i)) {
      DispatchOrEnqueue(now, *left, i, *kind);
      left = FindSearch(id);
    } else {
      MissPart(*left, i, MissingReason::kFailed);
    }
  }
  if (left != nullptr) {
    AfterChange(now, *left);
  }
}

// Parts that find room, which is most of them, do not pass through the queue.
void SearchEngine::DispatchOrEnqueue(Instant now,
                                     SearchRun& search,
                                     std::size_t part_index,
                                     AttemptKind kind) {
  const bool first =
      queue_.size() == 0 || queue_.IsEmpty(search.KeyOf(part_index));
  if (first) {
    search.parts()[part_index].status = PartStatus::kWaiting;
    const WaitingPart waiting{search.request().id, part_index, kind};
    if (Dispatch(now, waiting) == PartQueue::OfferResult::kDequeued) {
      return;
    }
  }
  Enqueue(search, part_index, kind);
}

void SearchEngine::Enqueue(SearchRun& search,
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
void SearchEngine::Pump(Instant now) {
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
bool SearchEngine::CannotFinish(Instant now,
                                const SearchRun& search,
                                const GroupState& group) const {
  if (search.policy().admission == 0) {
    return false;
  }
  const Duration needed = group.TypicalLatency() / 2;
  const bool waited = now - search.started() > needed;
  return waited && search.AnswerBy() - now < needed;
}

PartQueue::OfferResult SearchEngine::Dispatch(Instant now,
                                              const WaitingPart& waiting) {
  SearchRun* search = FindSearch(waiting.request);
  if (search == nullptr) {
    return PartQueue::OfferResult::kDequeued;
  }
  const std::size_t index = waiting.part_index;
  if (index >= search->parts().size() ||
      search->parts()[index].status != PartStatus::kWaiting) {
    return PartQueue::OfferResult::kDequeued;
  }
  PartRun& part = search->parts()[index];
  GroupState& group = EnsureGroup(search->request().group);
  if (CannotFinish(now, *search, group)) {
    MissPart(*search, index, MissingReason::kLate);
    AfterChange(now, *search);
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
      // Nobody will take it in time, so its caller need not wait to hear that.
      MissPart(*search, index, MissingReason::kRefused);
      AfterChange(now, *search);
      return PartQueue::OfferResult::kDequeued;
    case ReplicaChoice::State::kNone:
      if (part.reason == MissingReason::kWrongSnapshot &&
          Replan(now, *search)) {
        return PartQueue::OfferResult::kDequeued;
      }
      MissPart(*search, index,
               part.tried.empty() ? MissingReason::kNoTarget : part.reason);
      AfterChange(now, *search);
      return PartQueue::OfferResult::kDequeued;
    case ReplicaChoice::State::kChosen:
      StartOne(now, *search, index, waiting.kind, *choice.target);
      return PartQueue::OfferResult::kDequeued;
  }
  return PartQueue::OfferResult::kDequeued;
}

void SearchEngine::StartOne(Instant now,
                            SearchRun& search,
                            std::size_t part_index,
                            AttemptKind kind,
                            const Announcement& target) {
  GroupState& group = EnsureGroup(search.request().group);
  PartRun& part = search.parts()[part_index];
  const AttemptId id = next_attempt_++;
  const bool sole = search.phase == SearchPhase::kCanary;
  const bool paid = std::exchange(part.paid_ahead, false) ||
                    kind == AttemptKind::kHedge || kind == AttemptKind::kRetry;
  attempts_[id] = {search.request().id,
                   part_index,
                   kind,
                   target.target,
                   search.request().group,
                   target.group,
                   target.incarnation,
                   search.snapshot().id(),
                   search.fingerprint(),
                   sole,
                   paid,
                   false,
                   now};
  part.status = PartStatus::kRunning;
  part.started = true;
  part.running.push_back(id);
  part.tried.push_back(target.target);
  ++part.unproved;
  selector_.Stats(target.target)->OnStart();
  group.OnDispatch(now, search.request().request_class);
  switch (kind) {
    case AttemptKind::kPrimary:
      ++search.attempts.primary;
      extra_budgets_[target.group].OnPrimary(now);
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
  command.forwarded = search.request().forwarded;
  command.repeatable = search.request().repeatable;
  command.budget = search.deadline() - now;
  command.other_zone = target.zone != config_.zone;
  command.fresh_connection = sole && !search.lost_targets.empty();
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

void SearchEngine::MissPart(SearchRun& search,
                            std::size_t part_index,
                            MissingReason reason) {
  PartRun& part = search.parts()[part_index];
  part.status = PartStatus::kMissing;
  part.reason = reason;
}

// Moves a search on after one of its parts has ended.
void SearchEngine::AfterChange(Instant now, SearchRun& search) {
  if (search.phase == SearchPhase::kCanary) {
    const PartStatus status = search.parts()[search.canary_part].status;
    if (status == PartStatus::kMissing) {
      StartCanary(now, search);
    }
    return;
  }
  if (search.phase != SearchPhase::kFanOut) {
    return;
  }
  const bool enough =
      search.overdue && search.AnsweredParts() >= search.NeededParts();
  if (enough || search.OutOfReach() || search.Settled()) {
    Finish(now, search);
  }
}

// True if another target may run the part: the request may run more than once,
// or nothing has run it, and its limit is not reached.
bool SearchEngine::MayTryAgain(const SearchRun& search,
                               const PartRun& part) const {
  if (!search.request().repeatable) {
    return part.unproved == 0;
  }
  const std::int64_t most = search.policy().max_attempts;
  return most == 0 || part.unproved < most;
}

// Starts over on another snapshot, once, if the pinned one is gone.
bool SearchEngine::Replan(Instant now, SearchRun& search) {
  GroupState& group = EnsureGroup(search.request().group);
  group.Invalidate();
  auto snapshot = group.Snapshot(now, view_);
  const bool possible = !search.replanned && snapshot &&
                        snapshot->id() != search.snapshot().id() &&
                        search.deadline() - now > group.TypicalLatency();
  if (!possible) {
    return false;
  }
  for (std::size_t i = 0; i < search.parts().size(); ++i) {
    CancelPart(now, search, i);
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

void SearchEngine::Finish(Instant now, SearchRun& search) {
  if (search.AnsweredParts() >= search.NeededParts()) {
    actions_.emplace_back(
        FinishSearch{search.request().id, search.Answer(), nullptr});
    Remove(now, search);
    return;
  }
  Error error;
  const Duration refused = RefusedFor(now, search);
  error.retry_after = refused > Duration{} ? refused : kFailedRetryAfter;
  if (!search.MayHaveRun()) {
    const bool waited =
        search.Started() ||
        std::ranges::any_of(search.parts(), [](const PartRun& part) {
          return part.status != PartStatus::kMissing ||
                 part.reason == MissingReason::kLate;
        });
    error.kind = waited ? ErrorKind::kOverloaded : ErrorKind::kNoTarget;
    error.detail = search.Started() ? "no target took the request"
                                    : "no part was sent to a target";
    if (refused > Duration{}) {
      error.detail = "every target of a part has asked to be left alone";
    }
  } else {
    const bool too_late =
        !search.OutOfReach() ||
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
  FinishWith(now, search, std::move(error));
}

void SearchEngine::FinishWith(Instant now, SearchRun& search, Error error) {
  actions_.emplace_back(FinishSearch{
      search.request().id, tl::unexpected(std::move(error)), search.failure});
  Remove(now, search);
}

// Attempts stay in attempts_ until their outcome arrives: they still hold a
// slot at their target.
void SearchEngine::Remove(Instant now, SearchRun& search) {
  for (std::size_t i = 0; i < search.parts().size(); ++i) {
    CancelPart(now, search, i);
  }
  const RequestId id = search.request().id;
  const Fingerprint fingerprint = search.fingerprint();
  NoteUnproved(now, search);
  searches_.erase(id);
  auto line = canaries_.find(fingerprint);
  if (line != canaries_.end() && line->second.leader == id) {
    ReleaseCanaryLine(now, fingerprint, false);
  }
}

void SearchEngine::CancelPart(Instant now,
                              SearchRun& search,
                              std::size_t part_index) {
  PartRun& part = search.parts()[part_index];
  if (std::exchange(part.paid_ahead, false)) {
    extra_budgets_[search.KeyOf(part_index).group].Refund(now);
  }
  for (AttemptId id : std::exchange(part.running, {})) {
    actions_.emplace_back(CancelAttempt{id, attempts_.at(id).target});
  }
}

}  // namespace snipeworks
