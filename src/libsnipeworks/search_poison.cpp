#include "search_engine.h"

#include <algorithm>
#include <utility>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;
using Verdict = PoisonTracker::Verdict;

// How long the other hosts refuse a suspected request while it is run here.
constexpr Duration kTestWindow = milliseconds(500);
// Parts that are compared before one is run alone.
constexpr std::size_t kCanaryChoices = 8;

}  // namespace

// Of a few held parts from a random one on, the one whose replicas answer
// fastest, since the whole search waits for it. `again` says whether parts that
// were tried before are looked at, or the others.
std::optional<std::size_t> SearchEngine::ChooseCanary(Instant now,
                                                      const SearchRun& search,
                                                      bool again) {
  const Duration reference =
      EnsureGroup(search.request().group).TypicalLatency();
  const std::size_t count = search.parts().size();
  const std::size_t offset = random_.Below(count);
  std::optional<std::size_t> any;
  std::optional<std::size_t> best;
  std::optional<double> best_score;
  std::size_t compared = 0;
  for (std::size_t i = 0; i < count && compared < kCanaryChoices; ++i) {
    const std::size_t index = (i + offset) % count;
    const PartRun& part = search.parts()[index];
    const ReplicaQuery query{now, search.ReplicasOf(index), part.tried,
                             reference, search.policy()};
    if (part.status != PartStatus::kHeld || part.started != again ||
        !MayTryAgain(search, part) || selector_.CountUsable(query) == 0) {
      continue;
    }
    any = any.value_or(index);
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
  return best ? best : any;
}

// Runs one held part alone: one that was not tried yet if there is any, as the
// others cost a retry.
void SearchEngine::StartCanary(Instant now, SearchRun& search) {
  search.phase = SearchPhase::kCanary;
  auto chosen = ChooseCanary(now, search, false);
  if (!chosen) {
    chosen = ChooseCanary(now, search, true);
  }
  const auto kind = chosen ? KindOfNext(now, search, *chosen) : std::nullopt;
  if (!kind) {
    GiveUpCanary(now, search);
    return;
  }
  search.canary_part = *chosen;
  Enqueue(search, search.canary_part, *kind);
}

// No held part can run: they are missing from what the others answer.
void SearchEngine::GiveUpCanary(Instant now, SearchRun& search) {
  for (std::size_t i = 0; i < search.parts().size(); ++i) {
    const PartRun& part = search.parts()[i];
    if (part.status == PartStatus::kHeld) {
      MissPart(search, i,
               part.started ? part.reason : MissingReason::kNoTarget);
    }
  }
  search.phase = SearchPhase::kFanOut;
  AfterChange(now, search);
}

// The canary was answered: the request does not break targets.
void SearchEngine::TakeSurvival(Instant now, SearchRun& search) {
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

// A connection broke under a request. The part is run once more on its own, to
// tell a target that died from a request that kills.
void SearchEngine::TakeLoss(Instant now,
                            SearchRun& search,
                            const AttemptRun& run) {
  search.parts()[run.part_index].reason = MissingReason::kFailed;
  // Other targets have answered it: this one ended by itself, and the part is
  // not held up. Where unknown requests run alone first, so does this part, as
  // the request may break the targets of one part alone.
  const bool trusted = search.policy().canary_rule() == Canary::kSuspected &&
                       search.AnsweredParts() > 0;
  if (trusted) {
    TakeFailure(now, search, run, AttemptStatus::kLost);
    return;
  }
  search.lost_targets.push_back({run.target, run.incarnation});
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

void SearchEngine::CountBroken(Instant now,
                               SearchRun* search,
                               const AttemptRun& run) {
  GroupState& group = EnsureGroup(run.group);
  const Duration quarantine = std::chrono::seconds(group.policy.quarantine_s);
  std::size_t broken = poison_.OnCrash(
      now, run.fingerprint, {run.target, run.incarnation}, quarantine);
  if (search != nullptr) {
    for (const CrashedTarget& target : search->lost_targets) {
      broken = poison_.OnCrash(now, run.fingerprint, target, quarantine);
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

// A search that ends with lost targets and no answer leaves open whether it
// broke them. One of them is remembered, so that the request runs alone when it
// comes again; more could have died together.
void SearchEngine::NoteUnproved(Instant now, const SearchRun& search) {
  const Fingerprint fingerprint = search.fingerprint();
  const bool settled =
      search.lost_targets.empty() || search.AnsweredParts() > 0 ||
      poison_.EvidenceOf(now, fingerprint, config_.host).quarantine >
          Duration{};
  if (settled) {
    return;
  }
  poison_.OnCrash(now, fingerprint, search.lost_targets.front(),
                  std::chrono::seconds(search.policy().quarantine_s));
  actions_.emplace_back(
      ShareEvidence{poison_.EvidenceOf(now, fingerprint, config_.host), false});
}

// A request that may run once has one target at a time: each that ends counts.
void SearchEngine::NoteAction(Instant now,
                              const ActionNeed& need,
                              const ActionTarget& target,
                              AttemptStatus status) {
  const bool suspected =
      !poison_.EvidenceOf(now, need.fingerprint, config_.host).targets.empty();
  if (status == AttemptStatus::kLost) {
    const GroupPolicy& policy = EnsureGroup(need.group).policy;
    poison_.OnCrash(now, need.fingerprint, {target.target, target.incarnation},
                    std::chrono::seconds(policy.quarantine_s));
  } else if (status == AttemptStatus::kAnswered && suspected) {
    poison_.OnSurvived(now, need.fingerprint, {});
  } else {
    return;
  }
  actions_.emplace_back(ShareEvidence{
      poison_.EvidenceOf(now, need.fingerprint, config_.host), false});
}

bool SearchEngine::OnEvidence(Instant now, const PoisonEvidence& evidence) {
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

void SearchEngine::OnEvidenceShared(Instant now,
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
void SearchEngine::Condemn(Instant now, Fingerprint fingerprint) {
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
void SearchEngine::ReleaseCanaryLine(Instant now,
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
      const Verdict standing =
          poison_.VerdictOf(now, fingerprint, search->snapshot().id());
      Begin(now, *search,
            standing == Verdict::kSafe ? Verdict::kUnknown : standing);
    }
  }
}

}  // namespace snipeworks
