#include "search_engine.h"

#include <algorithm>
#include <utility>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;
using Verdict = PoisonTracker::Verdict;

// How long the other hosts refuse a suspected request while this host runs it.
constexpr Duration kTestWindow = milliseconds(500);
// Number of parts that are compared when a canary is chosen.
constexpr std::size_t kMaxCanaryCandidates = 8;

}  // namespace

// Of a few pending parts in order from a random one, chooses the one with the
// fastest replicas, since the whole search waits for it. `already_started`
// selects parts that have had an attempt, or else those that have not.
std::optional<std::size_t> SearchEngine::ChooseCanary(Instant now,
                                                      const SearchRun& search,
                                                      bool already_started) {
  const Duration typical_latency =
      EnsureGroup(search.request().group).TypicalLatency();
  const std::size_t count = search.parts().size();
  const std::size_t offset = random_.Below(count);
  std::optional<std::size_t> fallback;
  std::optional<std::size_t> best;
  std::optional<double> best_score;
  std::size_t compared = 0;
  for (std::size_t i = 0; i < count && compared < kMaxCanaryCandidates; ++i) {
    const std::size_t index = (i + offset) % count;
    const PartRun& part = search.parts()[index];
    const ReplicaQuery query{now, search.ReplicasOf(index), part.tried,
                             typical_latency, search.policy()};
    if (part.status != PartStatus::kPending ||
        part.started != already_started || !MayTryAgain(now, search, part) ||
        selector_.CountUsable(query) == 0) {
      continue;
    }
    fallback = fallback.value_or(index);
    const std::optional<double> score = selector_.BestScore(query);
    if (!score) {
      continue;
    }
    ++compared;
    if (!best_score || *score < *best_score) {
      best = index;
      best_score = score;
    }
  }
  return best ? best : fallback;
}

// Runs one pending part alone. Prefers a part without an attempt, since any
// other is charged as a retry.
void SearchEngine::StartCanary(Instant now, RequestId id) {
  SearchRun* found = FindSearch(id);
  if (found == nullptr) {
    return;
  }
  SearchRun& search = *found;
  search.phase = SearchPhase::kCanary;
  auto chosen = ChooseCanary(now, search, false);
  if (!chosen) {
    chosen = ChooseCanary(now, search, true);
  }
  const auto kind =
      chosen ? NextAttemptKind(now, search, *chosen) : std::nullopt;
  if (!kind) {
    AbandonCanary(now, id);
    return;
  }
  search.canary_part = *chosen;
  Enqueue(search, search.canary_part, *kind);
}

// No pending part can run: marks all of them as missing and continues with the
// other parts.
void SearchEngine::AbandonCanary(Instant now, RequestId id) {
  SearchRun& search = searches_.at(id);
  for (std::size_t i = 0; i < search.parts().size(); ++i) {
    const PartRun& part = search.parts()[i];
    if (part.status == PartStatus::kPending) {
      MarkPartMissing(
          search, i,
          part.started ? part.reason : NoTargetReason(now, search, i));
    }
  }
  search.phase = SearchPhase::kFanOut;
  Advance(now, id);
}

// The canary was answered: the request does not break targets.
void SearchEngine::HandleCanaryAnswered(Instant now, RequestId id) {
  SearchRun& search = searches_.at(id);
  const Fingerprint fingerprint = search.fingerprint();
  const bool was_suspected =
      !poison_.EvidenceOf(now, fingerprint, config_.host).targets.empty();
  search.lost_targets.clear();
  poison_.OnSurvived(now, fingerprint, search.snapshot().id());
  if (was_suspected) {
    actions_.emplace_back(ShareEvidence{
        poison_.EvidenceOf(now, fingerprint, config_.host), false});
  }
  ReleaseCanaryQueue(now, fingerprint, true);
}

// Handles a connection that broke while its target ran a part. The part is run
// again alone, to distinguish a request that breaks targets from a target that
// failed by itself.
void SearchEngine::HandleLostConnection(Instant now, const AttemptRun& run) {
  SearchRun& search = searches_.at(run.request);
  search.parts()[run.part_index].reason = MissingReason::kFailed;
  // If other targets have answered the request, this target failed by itself
  // and the part is retried without delay. Under a policy that runs a canary of
  // unknown requests, this part runs alone too, since the request may break
  // only the targets of one part.
  const bool trusted = search.policy().canary_rule() == Canary::kSuspected &&
                       search.AnsweredParts() > 0;
  if (trusted) {
    HandleFailure(now, search, run, AttemptStatus::kLost);
    return;
  }
  search.lost_targets.push_back({run.target, run.incarnation});
  // A canary does not run alone any more once another search of the same
  // request has been answered.
  if (run.isolated && search.phase == SearchPhase::kCanary) {
    RecordCrashedTargets(now, run.request, run);
    return;
  }
  PartRun& part = search.parts()[run.part_index];
  if (!part.running.empty() || part.status != PartStatus::kRunning) {
    return;
  }
  for (PartRun& other : search.parts()) {
    if (other.status == PartStatus::kQueued) {
      other.status = PartStatus::kPending;
    }
  }
  part.status = PartStatus::kPending;
  auto [it, inserted] = canaries_.try_emplace(search.fingerprint());
  if (!inserted && it->second.leader != run.request) {
    search.phase = SearchPhase::kCanaryQueued;
    it->second.followers.push_back(run.request);
    return;
  }
  it->second.leader = run.request;
  if (search.phase == SearchPhase::kFanOut) {
    StartCanary(now, run.request);
  }
}

void SearchEngine::RecordCrashedTargets(Instant now,
                                        std::optional<RequestId> asking,
                                        const AttemptRun& run) {
  SearchRun* search = asking ? FindSearch(*asking) : nullptr;
  GroupState& group = EnsureGroup(run.group);
  const Duration quarantine = std::chrono::seconds(group.policy.quarantine_s);
  std::size_t crashed_count = poison_.OnCrash(
      now, run.fingerprint, {run.target, run.incarnation}, quarantine);
  if (search != nullptr) {
    for (const CrashedTarget& target : search->lost_targets) {
      crashed_count = poison_.OnCrash(now, run.fingerprint, target, quarantine);
    }
  }
  PoisonEvidence evidence =
      poison_.EvidenceOf(now, run.fingerprint, config_.host);
  if (evidence.quarantine > Duration{}) {
    actions_.emplace_back(ShareEvidence{std::move(evidence), false});
    FailQuarantined(now, run.fingerprint);
    return;
  }
  const bool ask_peers = search != nullptr && crashed_count > 0;
  if (ask_peers) {
    evidence.testing = kTestWindow;
    search->phase = SearchPhase::kAskingPeers;
    PartRun& part = search->parts()[run.part_index];
    if (part.running.empty()) {
      part.status = PartStatus::kPending;
    }
  }
  actions_.emplace_back(ShareEvidence{std::move(evidence), ask_peers});
}

// If a search ends with lost targets and no answer, it is unknown whether it
// broke them. Records one of them, so that a resent request runs alone first.
// Recording more could quarantine a request whose targets failed together.
void SearchEngine::RecordUnresolvedLoss(Instant now, const SearchRun& search) {
  const Fingerprint fingerprint = search.fingerprint();
  const bool resolved =
      search.lost_targets.empty() || search.AnsweredParts() > 0 ||
      poison_.EvidenceOf(now, fingerprint, config_.host).quarantine >
          Duration{};
  if (resolved) {
    return;
  }
  poison_.OnCrash(now, fingerprint, search.lost_targets.front(),
                  std::chrono::seconds(search.policy().quarantine_s));
  actions_.emplace_back(
      ShareEvidence{poison_.EvidenceOf(now, fingerprint, config_.host), false});
}

// A non-repeatable request runs on one target at a time, so every lost target
// counts as evidence.
void SearchEngine::RecordActionOutcome(Instant now,
                                       const ActionTargetQuery& query,
                                       const ActionTarget& target,
                                       AttemptStatus status) {
  const bool suspected =
      !poison_.EvidenceOf(now, query.fingerprint, config_.host).targets.empty();
  if (status == AttemptStatus::kLost) {
    const GroupPolicy& policy = EnsureGroup(query.group).policy;
    poison_.OnCrash(now, query.fingerprint, {target.target, target.incarnation},
                    std::chrono::seconds(policy.quarantine_s));
  } else if (status == AttemptStatus::kAnswered && suspected) {
    poison_.OnSurvived(now, query.fingerprint, {});
  } else {
    return;
  }
  actions_.emplace_back(ShareEvidence{
      poison_.EvidenceOf(now, query.fingerprint, config_.host), false});
}

bool SearchEngine::OnEvidence(Instant now, const PoisonEvidence& evidence) {
  const Duration quarantine =
      std::chrono::seconds(settings_.defaults().quarantine_s);
  const bool running = std::ranges::any_of(attempts_, [&](const auto& entry) {
    return entry.second.fingerprint == evidence.fingerprint;
  });
  if (poison_.Merge(now, evidence, quarantine)) {
    FailQuarantined(now, evidence.fingerprint);
    DispatchReady(now);
  }
  return running;
}

void SearchEngine::OnEvidenceShared(Instant now,
                                    Fingerprint fingerprint,
                                    bool running_elsewhere) {
  auto queue = canaries_.find(fingerprint);
  if (queue == canaries_.end()) {
    return;
  }
  SearchRun* search = FindSearch(queue->second.leader);
  if (search == nullptr || search->phase != SearchPhase::kAskingPeers) {
    return;
  }
  if (!search->parts()[search->canary_part].running.empty()) {
    // A hedge of the canary is still running, and its outcome decides.
    search->phase = SearchPhase::kCanary;
    return;
  }
  if (running_elsewhere) {
    FinishWith(
        now, search->request().id,
        {ErrorKind::kBrokeTargets,
         "a target broke while running it, and another host is running it now",
         kDefaultRetryAfter});
  } else {
    StartCanary(now, search->request().id);
  }
  DispatchReady(now);
}

// Fails every running search with this fingerprint.
void SearchEngine::FailQuarantined(Instant now, Fingerprint fingerprint) {
  canaries_.erase(fingerprint);
  std::vector<RequestId> request_ids;
  for (const auto& [id, search] : searches_) {
    if (search.fingerprint() == fingerprint) {
      request_ids.push_back(id);
    }
  }
  std::ranges::sort(request_ids);
  for (RequestId id : request_ids) {
    const ErrorKind kind = searches_.at(id).Started() ? ErrorKind::kBrokeTargets
                                                      : ErrorKind::kQuarantined;
    FinishWith(now, id,
               {kind, "targets broke while running it",
                poison_.RefusedFor(now, fingerprint)});
  }
}

// Continues the searches of a canary that has ended: all of them fan out if it
// survived, else the next follower becomes the canary. The answer that shows
// that it survived may be one to a follower, while the leader still waits.
void SearchEngine::ReleaseCanaryQueue(Instant now,
                                      Fingerprint fingerprint,
                                      bool survived) {
  auto found = canaries_.find(fingerprint);
  if (found == canaries_.end()) {
    return;
  }
  const CanaryQueue queue = std::move(found->second);
  canaries_.erase(found);
  if (survived) {
    StartFanOut(now, queue.leader);
    for (RequestId id : queue.followers) {
      StartFanOut(now, id);
    }
    return;
  }
  for (RequestId id : queue.followers) {
    SearchRun* search = FindSearch(id);
    if (search == nullptr) {
      continue;
    }
    search->phase = SearchPhase::kFanOut;
    const Verdict verdict =
        poison_.VerdictOf(now, fingerprint, search->snapshot().id());
    Begin(now, id, verdict == Verdict::kSafe ? Verdict::kUnknown : verdict);
  }
}

}  // namespace snipeworks
