#include "search_engine.h"

#include <algorithm>
#include <utility>

namespace snipeworks {

namespace {

// Share of the budget of extra attempts that hedges leave for retries.
constexpr double kRetryReserve = 0.2;
// How often it is checked whether a hedge that is due may be sent again.
constexpr Duration kRepeatCheckInterval = std::chrono::milliseconds(20);

}  // namespace

void SearchEngine::OnOutcome(Instant now,
                             AttemptId id,
                             const AttemptOutcome& outcome) {
  auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return;
  }
  const AttemptRun run = std::move(found->second);
  attempts_.erase(found);
  const Duration latency = now - run.started;
  GroupState& group = EnsureGroup(run.group);
  if (TargetStats* stats = selector_.Stats(run.target)) {
    ApplyStatedLimit(now, run, outcome, *stats);
    stats->OnFinish(now, outcome, latency, group.TypicalLatency(),
                    group.policy);
  }
  if (outcome.status == AttemptStatus::kAnswered ||
      outcome.status == AttemptStatus::kCancelled) {
    group.OnLatency(latency);
  }
  group.OnOutcome(now, outcome.status);
  if (outcome.status == AttemptStatus::kWrongTarget) {
    HandleWrongTarget(now, run);
  }
  if (outcome.draining) {
    HandleDraining(now, run);
  } else if (outcome.retry_after > Duration{}) {
    actions_.emplace_back(CancelUnsentAttempts{run.target});
  }
  if (const Announcement* target = view_.Usable(now, run.target)) {
    MarkReady(*target);
  }
  SearchRun* search = FindSearch(run.request);
  PartRun* part = nullptr;
  if (search != nullptr && run.part_index < search->parts().size()) {
    part = &search->parts()[run.part_index];
  }
  const bool unsent_extra =
      run.uses_extra_budget && outcome.status == AttemptStatus::kNotSent;
  // An attempt that its part no longer lists has been cancelled.
  if (part == nullptr || std::erase(part->running, id) == 0) {
    if (unsent_extra) {
      extra_attempt_budgets_[run.target_group].Refund(now);
    }
    if (outcome.status == AttemptStatus::kLost && run.isolated) {
      RecordCrashedTargets(now, std::nullopt, run);
    }
    DispatchReady(now);
    return;
  }
  if (ProvesNotRun(outcome.status)) {
    --part->possibly_run_attempts;
  }
  if (unsent_extra) {
    ReserveOrRefundBudget(now, run, *part);
  }
  if (outcome.answer && outcome.status != AttemptStatus::kAnswered) {
    search->failure = outcome.answer;
  }
  if (outcome.status == AttemptStatus::kAnswered) {
    HandleAnswer(now, run, outcome);
  } else if (ProvesNotRun(outcome.status) &&
             outcome.status != AttemptStatus::kShed) {
    HandleNotRun(*search, run, outcome.status);
  } else if (outcome.status == AttemptStatus::kLost) {
    HandleLostConnection(now, run);
  } else {
    HandleFailure(now, *search, run, outcome.status);
  }
  Advance(now, run.request);
  DispatchReady(now);
}

// An answer of an earlier incarnation of the target does not count.
void SearchEngine::ApplyStatedLimit(Instant now,
                                    const AttemptRun& run,
                                    const AttemptOutcome& outcome,
                                    TargetStats& stats) {
  const Announcement* known = view_.Find(run.target);
  const bool current = outcome.stated_limit && known != nullptr &&
                       known->incarnation == run.incarnation;
  if (current && selector_.OnLimit(now, run.target, *outcome.stated_limit)) {
    actions_.emplace_back(LimitChanged{run.target, stats.limit().per_second(),
                                       stats.limit().share()});
  }
}

void SearchEngine::HandleAnswer(Instant now,
                                const AttemptRun& run,
                                const AttemptOutcome& outcome) {
  SearchRun& search = searches_.at(run.request);
  const bool matches = outcome.snapshot == search.snapshot().id() &&
                       outcome.part == search.PartNumberOf(run.part_index);
  if (!matches) {
    HandleNotRun(search, run, AttemptStatus::kWrongSnapshot);
    return;
  }
  PartRun& part = search.parts()[run.part_index];
  const std::uint64_t in_manifest =
      search.snapshot().manifest.parts[run.part_index].documents;
  part.status = PartStatus::kAnswered;
  part.documents = std::min(outcome.documents, in_manifest);
  part.hits = outcome.hits;
  part.answer = outcome.answer;
  CancelPart(now, search, run.part_index);
  if (search.phase != SearchPhase::kFanOut || !search.lost_targets.empty()) {
    HandleCanaryAnswered(now, run.request);
    StartFanOut(now, run.request);
  }
}

void SearchEngine::ReserveOrRefundBudget(Instant now,
                                         const AttemptRun& run,
                                         PartRun& part) {
  if (part.running.empty() && part.status == PartStatus::kRunning) {
    part.budget_reserved = true;
  } else {
    extra_attempt_budgets_[run.target_group].Refund(now);
  }
}

// Another process uses the target's address, so the target is gone.
void SearchEngine::HandleWrongTarget(Instant now, const AttemptRun& run) {
  if (const Announcement* known = view_.Find(run.target)) {
    Announcement gone = *known;
    gone.state = TargetState::kGone;
    Announce(now, gone, {});
  }
}

// The target's report applies immediately, even if no control host is
// reachable. It does not apply to a later incarnation of the target.
void SearchEngine::HandleDraining(Instant now, const AttemptRun& run) {
  const Announcement* known = view_.Find(run.target);
  if (known == nullptr || known->incarnation != run.incarnation ||
      known->state != TargetState::kServing) {
    return;
  }
  Announcement draining = *known;
  draining.state = TargetState::kDraining;
  actions_.emplace_back(CancelUnsentAttempts{run.target});
  actions_.emplace_back(ReportDraining{draining});
  Announce(now, draining, {});
}

// The attempt provably was not run, so a replacement adds no load.
void SearchEngine::HandleNotRun(SearchRun& search,
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

void SearchEngine::HandleFailure(Instant now,
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
  if (replica_left && MayTryAgain(now, search, part) &&
      TakeExtraBudget(now, group.policy, run.target_group, 0.0)) {
    Enqueue(search, run.part_index, AttemptKind::kRetry);
    return;
  }
  MarkPartMissing(search, run.part_index, part.reason);
}

void SearchEngine::OnProbe(Instant now, AttemptId id, ProbeState state) {
  auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return;
  }
  SearchRun* search = FindSearch(found->second.request);
  if (search == nullptr) {
    return;
  }
  if (state == ProbeState::kUnknown) {
    // The connection is broken. The outcome of the cancelled attempt only frees
    // its slot at the target.
    const AttemptRun run = found->second;
    PartRun& part = search->parts()[run.part_index];
    if (std::erase(part.running, id) == 0) {
      return;
    }
    actions_.emplace_back(CancelAttempt{id, run.target});
    std::erase(part.tried, run.target);
    --part.possibly_run_attempts;
    HandleNotRun(*search, run, AttemptStatus::kSilent);
  }
  DispatchReady(now);
}

void SearchEngine::Hedge(Instant now, AttemptId id) {
  auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return;
  }
  const AttemptRun run = found->second;
  SearchRun* search = FindSearch(run.request);
  if (search == nullptr) {
    return;
  }
  if (search->request().repeatable && !MayRepeat(now)) {
    timers_.Add(now + kRepeatCheckInterval, HedgeTimer{id});
    return;
  }
  if (TargetStats* stats = selector_.Stats(run.target)) {
    stats->OnSlow(now);
  }
  PartRun& part = search->parts()[run.part_index];
  GroupState& group = EnsureGroup(run.group);
  const bool wanted =
      part.status == PartStatus::kRunning && !part.hedged &&
      std::ranges::find(part.running, id) != part.running.end() &&
      search->lost_targets.empty() && HedgeDelay(now, run);
  if (!wanted) {
    return;
  }
  const auto skip = [&](const char* reason) {
    actions_.emplace_back(HedgeSkipped{id, run.request, run.target, reason});
  };
  if (!MayTryAgain(now, *search, part)) {
    skip("attempts");
    return;
  }
  const ReplicaChoice choice =
      selector_.Choose({now, search->ReplicasOf(run.part_index), part.tried,
                        group.TypicalLatency(), search->policy()});
  if (choice.state != ReplicaChoice::State::kChosen) {
    skip(choice.state == ReplicaChoice::State::kBusy ? "busy" : "no-replica");
    return;
  }
  // If the other replicas have no free slot either, the attempt is slow because
  // of load, and a hedge would add to it.
  if (selector_.Stats(choice.target->target)->WouldQueue(now)) {
    skip("load");
    return;
  }
  if (!TakeExtraBudget(now, group.policy, run.target_group, kRetryReserve)) {
    skip("budget");
    return;
  }
  part.hedged = true;
  BeginAttempt(now, *search, run.part_index, AttemptKind::kHedge,
               *choice.target);
}

void SearchEngine::Probe(AttemptId id) {
  auto found = attempts_.find(id);
  if (found == attempts_.end() || found->second.probed ||
      FindSearch(found->second.request) == nullptr) {
    return;
  }
  found->second.probed = true;
  actions_.emplace_back(ProbeAttempt{id, found->second.target});
}

}  // namespace snipeworks
