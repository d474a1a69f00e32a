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

/// The deadline of the caller is near.
struct DeadlineTimer {
  RequestId request;
};
/// The soft deadline of the group has passed.
struct SoftDeadlineTimer {
  RequestId request;
};
/// A search that has not started yet cannot be answered in time.
struct StartDeadlineTimer {
  RequestId request;
};
/// An attempt has become slow enough to hedge.
struct HedgeTimer {
  AttemptId attempt;
};
/// An attempt is so late that its connection may be broken.
struct ProbeTimer {
  AttemptId attempt;
};
/// The timers of searches and attempts.
using SearchTimer = std::variant<DeadlineTimer,
                                 SoftDeadlineTimer,
                                 StartDeadlineTimer,
                                 HedgeTimer,
                                 ProbeTimer>;

/// An attempt without an outcome. It can outlive its search.
struct AttemptRun {
  RequestId request = 0;
  std::size_t part_index = 0;
  AttemptKind kind = AttemptKind::kPrimary;
  std::string target;
  std::string group;              ///< Group whose latencies it counts towards.
  std::string target_group;       ///< Group whose extra-attempt budget it uses.
  std::uint64_t incarnation = 0;  ///< Of the target.
  SnapshotId snapshot;
  Fingerprint fingerprint = 0;
  bool isolated = false;           ///< Ran as the only part of its request.
  bool uses_extra_budget = false;  ///< Charged as an extra attempt.
  bool probed = false;
  Instant started{};
};

/// Searches with the same fingerprint. The leader runs the canary, and the
/// followers wait for it.
struct CanaryQueue {
  RequestId leader = 0;
  std::deque<RequestId> followers;
};

/// Retry-After for errors whose duration is unknown.
inline constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(1000);

/// The implementation of SearchController: all searches of one entry host. Its
/// sources are search_engine.cpp (targets and timers), search_flow.cpp
/// (searches from admission to answer), search_outcomes.cpp (attempts) and
/// search_poison.cpp (requests that break targets, and canaries).
class SearchEngine {
 public:
  explicit SearchEngine(SearchControllerConfig config);

  void SetFleetHosts(Instant now, std::uint32_t hosts);
  void ApplySettings(const FleetSettings& settings);
  AnnounceResult Announce(Instant now,
                          const Announcement& announcement,
                          Duration age,
                          Duration uptime = {});
  void SetEvacuatedZones(std::vector<std::string> zones);
  void Submit(Instant now, const SearchRequest& request);
  void OnCallerDisconnected(Instant now, RequestId request);
  void GiveUp(Instant now, RequestId request, Error error) {
    FinishWith(now, request, std::move(error));
  }
  std::optional<std::int64_t> MostAttempts(RequestId request) const;
  void RepeatUntil(Instant until) { repeatable_until_ = until; }
  void ForbidRepeats(RequestId request);
  bool TakeExtraAttempts(Instant now, const SearchPlan& plan);
  bool TakeExtraAttempts(Instant now, const std::string& group);
  void OnOutcome(Instant now, AttemptId id, const AttemptOutcome& outcome);
  void OnProbe(Instant now, AttemptId id, ProbeState state);
  bool OnEvidence(Instant now, const PoisonEvidence& evidence);
  void OnEvidenceShared(Instant now,
                        Fingerprint fingerprint,
                        bool running_elsewhere);
  std::vector<PoisonEvidence> Evidence(Instant now) const {
    return poison_.All(now, config_.host);
  }
  void Tick(Instant now);

  Result<ActionTarget> AcquireTarget(Instant now,
                                     const ActionTargetQuery& query,
                                     const std::vector<std::string>& tried);
  void ReleaseTarget(Instant now,
                     const ActionTargetQuery& query,
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
  Duration SlowLatency(const std::string& group) const;
  InFlightAttempt FindAttempt(AttemptId id) const;
  std::size_t running() const { return searches_.size(); }
  std::size_t waiting() const { return queue_.size(); }

 private:
  // Groups and targets.
  GroupState& EnsureGroup(const std::string& name);
  GroupState* FindGroup(const std::string& name);
  SearchRun* FindSearch(RequestId id);
  void MarkReady(const Announcement& target);
  void PruneGroups(Instant now);
  /// This host's limits on extra attempts for the targets of one group.
  ExtraAttemptLimits ExtraLimits(const GroupPolicy& policy,
                                 const std::string& group) const;
  /// Takes one extra attempt for each of `groups`, or none.
  bool TakeExtraBudgets(Instant now,
                        const GroupPolicy& policy,
                        const std::vector<std::string>& groups);
  bool TakeExtraBudget(Instant now,
                       const GroupPolicy& policy,
                       const std::string& group,
                       double reserve);
  std::optional<Duration> HedgeDelay(Instant now, const AttemptRun& run);

  // Searches from admission to answer. Functions that take a RequestId may end
  // or restart searches, and ignore one that has ended; a reference to a search
  // must not be kept over a call of them. Functions that take a SearchRun& end
  // no search.
  void AddDeadlines(const SearchRun& search);
  void FailIfNotStarted(Instant now, RequestId id);
  void Begin(Instant now, RequestId id, PoisonTracker::Verdict verdict);
  void StartFanOut(Instant now, RequestId id);
  void Enqueue(SearchRun& search, std::size_t part_index, AttemptKind kind);
  /// The kind of the next attempt of a pending part. Charges a retry to the
  /// budget. Nothing if the part must not be attempted again.
  std::optional<AttemptKind> NextAttemptKind(Instant now,
                                             const SearchRun& search,
                                             std::size_t part_index);
  /// True while requests that routes let run again may do so.
  bool MayRepeat(Instant now) const { return now < repeatable_until_; }
  void DispatchOrEnqueue(Instant now,
                         RequestId id,
                         std::size_t part_index,
                         AttemptKind kind);
  void DispatchReady(Instant now);
  PartQueue::OfferResult Dispatch(Instant now, const WaitingPart& waiting);
  bool CannotFinish(Instant now,
                    const SearchRun& search,
                    const GroupState& group) const;
  void BeginAttempt(Instant now,
                    SearchRun& search,
                    std::size_t part_index,
                    AttemptKind kind,
                    const Announcement& target);
  void Advance(Instant now, RequestId id);
  bool MayTryAgain(Instant now,
                   const SearchRun& search,
                   const PartRun& part) const;
  /// Why no target of a part could be chosen.
  MissingReason NoTargetReason(Instant now,
                               const SearchRun& search,
                               std::size_t part_index) const;
  void MarkPartMissing(SearchRun& search,
                       std::size_t part_index,
                       MissingReason reason);
  bool RepinSnapshot(Instant now, RequestId id);
  /// How long the targets of refused parts of `search` have asked not to be
  /// sent to; 0 if none of them has.
  Duration RefusedFor(Instant now, const SearchRun& search);
  void Finish(Instant now, RequestId id);
  void FinishWith(Instant now, RequestId id, Error error);
  void Remove(Instant now, RequestId id);
  void CancelPart(Instant now, SearchRun& search, std::size_t part_index);
  /// Reserves the budget of an extra attempt that was not sent for the next
  /// attempt of its part, or refunds it if there is none.
  void ReserveOrRefundBudget(Instant now, const AttemptRun& run, PartRun& part);

  // Outcomes.
  void HandleAnswer(Instant now,
                    const AttemptRun& run,
                    const AttemptOutcome& outcome);
  void ApplyStatedLimit(Instant now,
                        const AttemptRun& run,
                        const AttemptOutcome& outcome,
                        TargetStats& stats);
  void HandleNotRun(SearchRun& search,
                    const AttemptRun& run,
                    AttemptStatus status);
  void HandleWrongTarget(Instant now, const AttemptRun& run);
  void HandleDraining(Instant now, const AttemptRun& run);
  void HandleFailure(Instant now,
                     SearchRun& search,
                     const AttemptRun& run,
                     AttemptStatus status);
  void Hedge(Instant now, AttemptId id);
  void Probe(AttemptId id);

  // Requests that break targets, and canaries.
  void StartCanary(Instant now, RequestId id);
  std::optional<std::size_t> ChooseCanary(Instant now,
                                          const SearchRun& search,
                                          bool already_started);
  void AbandonCanary(Instant now, RequestId id);
  void HandleLostConnection(Instant now, const AttemptRun& run);
  void HandleCanaryAnswered(Instant now, RequestId id);
  void RecordUnresolvedLoss(Instant now, const SearchRun& search);
  void RecordActionOutcome(Instant now,
                           const ActionTargetQuery& query,
                           const ActionTarget& target,
                           AttemptStatus status);
  /// `asking` is the search that waits until the other hosts have the evidence,
  /// if one does.
  void RecordCrashedTargets(Instant now,
                            std::optional<RequestId> asking,
                            const AttemptRun& run);
  void FailQuarantined(Instant now, Fingerprint fingerprint);
  void ReleaseCanaryQueue(Instant now, Fingerprint fingerprint, bool survived);

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
  StringMap<ExtraAttemptBudget> extra_attempt_budgets_;
  std::unordered_map<RequestId, SearchRun> searches_;
  std::unordered_map<AttemptId, AttemptRun> attempts_;
  std::map<Fingerprint, CanaryQueue> canaries_;
  std::set<PartKey> ready_keys_;
  TimerQueue<SearchTimer> timers_;
  std::vector<SearchAction> actions_;
  AttemptId next_attempt_ = 1;
  Instant repeatable_until_ = Instant::max();
  Instant pruned_at_{};
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_LIBSNIPEWORKS_SEARCH_ENGINE_H_
