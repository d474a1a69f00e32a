#ifndef SNIPEWORKS_LIBSNIPEWORKS_SEARCH_ENGINE_H_
#define SNIPEWORKS_LIBSNIPEWORKS_SEARCH_ENGINE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "snipeworks/extra_attempt_budget.h"
#include "snipeworks/group_state.h"
#include "snipeworks/part_queue.h"
#include "snipeworks/random.h"
#include "snipeworks/replica_selector.h"
#include "snipeworks/request_filters.h"
#include "snipeworks/search_controller.h"
#include "snipeworks/search_run.h"
#include "snipeworks/string_map.h"
#include "snipeworks/target_view.h"
#include "snipeworks/timer_queue.h"

namespace snipeworks {

/// The caller's deadline is near.
struct DeadlineTimer {
  RequestId request;
};
/// The group's soft deadline has come.
struct SoftDeadlineTimer {
  RequestId request;
};
/// A search that was not started by now would come too late.
struct GiveUpTimer {
  RequestId request;
};
/// An attempt counts as slow.
struct HedgeTimer {
  AttemptId attempt;
};
/// An attempt's connection is doubted.
struct ProbeTimer {
  AttemptId attempt;
};
/// What a search can wait for.
using SearchTimer = std::variant<DeadlineTimer,
                                 SoftDeadlineTimer,
                                 GiveUpTimer,
                                 HedgeTimer,
                                 ProbeTimer>;

/// One attempt whose outcome has not arrived. It can outlive its search.
struct AttemptRun {
  RequestId request = 0;
  std::size_t part_index = 0;
  AttemptKind kind = AttemptKind::kPrimary;
  std::string target;
  std::string group;              ///< Whose latencies it belongs to.
  std::string target_group;       ///< Whose budget it draws on.
  std::uint64_t incarnation = 0;  ///< Of the target.
  SnapshotId snapshot;
  Fingerprint fingerprint = 0;
  bool sole = false;  ///< The only part of its request that was running.
  bool paid = false;  ///< Draws on the budget of extra attempts.
  bool probed = false;
  Instant started{};
};

/// Searches with one fingerprint, of which the first runs its canary.
struct CanaryLine {
  RequestId leader = 0;
  std::deque<RequestId> followers;
};

/// When to come back after a failure that says nothing of when it ends.
inline constexpr Duration kFailedRetryAfter = std::chrono::milliseconds(1000);

/// What a SearchController hides: all searches of one entry host. Its sources
/// are split by concern: search_engine.cpp (targets, timers), search_flow.cpp
/// (from admission to answer), search_outcomes.cpp (attempts) and
/// search_poison.cpp (requests that break targets, and runs of one part alone).
class SearchEngine {
 public:
  explicit SearchEngine(SearchControllerConfig config);

  void SetFleetHosts(std::uint32_t hosts);
  void ApplySettings(const FleetSettings& settings);
  AnnounceResult Announce(Instant now, const Announcement& news, Duration age);
  void Submit(Instant now, const SearchRequest& request);
  void OnCallerGone(Instant now, RequestId request);
  void OnOutcome(Instant now, AttemptId id, const AttemptOutcome& outcome);
  void OnProbe(Instant now, AttemptId id, ProbeState state);
  bool OnEvidence(Instant now, const PoisonEvidence& evidence);
  void OnEvidenceShared(Instant now, Fingerprint fingerprint, bool elsewhere);
  std::vector<PoisonEvidence> Evidence(Instant now) const {
    return poison_.All(now, config_.host);
  }
  void Tick(Instant now);

  Result<ActionTarget> TakeTarget(Instant now,
                                  const ActionNeed& need,
                                  const std::vector<std::string>& tried);
  void ReleaseTarget(Instant now,
                     const ActionNeed& need,
                     const ActionTarget& target,
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
  ReplicaSelector& selector() { return selector_; }
  OpenAttempt AttemptOf(AttemptId id) const;
  std::size_t running() const { return searches_.size(); }
  std::size_t waiting() const { return queue_.size(); }

 private:
  // Groups and targets.
  GroupState& EnsureGroup(const std::string& name);
  GroupState* FindGroup(const std::string& name);
  SearchRun* FindSearch(RequestId id);
  void MarkReady(const Announcement& target);
  void PruneGroups(Instant now);
  /// What this host may spend of the extra attempts on one group's targets.
  ExtraAttemptLimits ExtraLimits(const GroupPolicy& policy,
                                 const std::string& group) const;
  bool TakeExtra(Instant now,
                 const GroupPolicy& policy,
                 const std::string& group,
                 double reserve);
  std::optional<Duration> HedgeDelay(Instant now, const AttemptRun& run);

  // The way of a search.
  void AddDeadlines(const SearchRun& search);
  void GiveUp(Instant now, RequestId id);
  void Begin(Instant now, SearchRun& search, PoisonTracker::Verdict standing);
  void StartFanOut(Instant now, SearchRun& search);
  void Enqueue(SearchRun& search, std::size_t part_index, AttemptKind kind);
  /// What the next attempt of a held part counts as; pays for a retry. Nothing
  /// if the part may not be tried again.
  std::optional<AttemptKind> KindOfNext(Instant now,
                                        const SearchRun& search,
                                        std::size_t part_index);
  void DispatchOrEnqueue(Instant now,
                         SearchRun& search,
                         std::size_t part_index,
                         AttemptKind kind);
  void Pump(Instant now);
  PartQueue::OfferResult Dispatch(Instant now, const WaitingPart& waiting);
  bool CannotFinish(Instant now,
                    const SearchRun& search,
                    const GroupState& group) const;
  void StartOne(Instant now,
                SearchRun& search,
                std::size_t part_index,
                AttemptKind kind,
                const Announcement& target);
  void AfterChange(Instant now, SearchRun& search);
  bool MayTryAgain(const SearchRun& search, const PartRun& part) const;
  void MissPart(SearchRun& search,
                std::size_t part_index,
                MissingReason reason);
  bool Replan(Instant now, SearchRun& search);
  /// How long until the parts of `search` that were refused may be asked for
  /// again, as far as their targets have told; 0 if none has.
  Duration RefusedFor(Instant now, const SearchRun& search);
  void Finish(Instant now, SearchRun& search);
  void FinishWith(Instant now, SearchRun& search, Error error);
  void Remove(Instant now, SearchRun& search);
  void CancelPart(Instant now, SearchRun& search, std::size_t part_index);
  /// What was paid for an attempt that reached nobody goes on to the next one
  /// of its part, or back if there is none.
  void KeepPaid(Instant now, const AttemptRun& run, PartRun& part);

  // Outcomes.
  void TakeAnswer(Instant now,
                  SearchRun& search,
                  const AttemptRun& run,
                  const AttemptOutcome& outcome);
  void TakeRefusal(SearchRun& search,
                   const AttemptRun& run,
                   AttemptStatus status);
  void TakeWrongTarget(Instant now, const AttemptRun& run);
  void TakeLeaving(Instant now, const AttemptRun& run);
  void TakeFailure(Instant now,
                   SearchRun& search,
                   const AttemptRun& run,
                   AttemptStatus status);
  void Hedge(Instant now, AttemptId id);
  void Probe(AttemptId id);

  // Requests that break targets, and runs of one part alone.
  void StartCanary(Instant now, SearchRun& search);
  std::optional<std::size_t> ChooseCanary(Instant now,
                                          const SearchRun& search,
                                          bool again);
  void GiveUpCanary(Instant now, SearchRun& search);
  void TakeLoss(Instant now, SearchRun& search, const AttemptRun& run);
  void TakeSurvival(Instant now, SearchRun& search);
  void NoteUnproved(Instant now, const SearchRun& search);
  void NoteAction(Instant now,
                  const ActionNeed& need,
                  const ActionTarget& target,
                  AttemptStatus status);
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
  StringMap<GroupState> groups_;
  StringMap<ExtraAttemptBudget> extra_budgets_;
  std::unordered_map<RequestId, SearchRun> searches_;
  std::unordered_map<AttemptId, AttemptRun> attempts_;
  std::map<Fingerprint, CanaryLine> canaries_;
  std::set<PartKey> ready_;
  TimerQueue<SearchTimer> timers_;
  std::vector<SearchAction> actions_;
  AttemptId next_attempt_ = 1;
  Instant pruned_at_{};
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_LIBSNIPEWORKS_SEARCH_ENGINE_H_
