#ifndef SNIPEWORKS_SEARCH_CONTROLLER_H_
#define SNIPEWORKS_SEARCH_CONTROLLER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "snipeworks/announcement.h"
#include "snipeworks/attempt.h"
#include "snipeworks/clock.h"
#include "snipeworks/fleet_settings.h"
#include "snipeworks/poison_tracker.h"
#include "snipeworks/search.h"
#include "snipeworks/target_condition.h"
#include "snipeworks/target_view.h"

namespace snipeworks {

/// Send an attempt to its target; exactly one OnOutcome must follow.
struct StartAttempt {
  AttemptCommand command;
};

/// The attempt's answer is no longer wanted. OnOutcome must still follow.
struct CancelAttempt {
  AttemptId id = 0;
  std::string target;
};

/// Ask the target over another connection what became of an attempt; OnProbe
/// follows unless the attempt ends first.
struct ProbeAttempt {
  AttemptId id = 0;
  std::string target;
};

/// The answer of a search.
struct FinishSearch {
  RequestId id = 0;
  Result<SearchAnswer> result;
  /// With an error: the failure that a target answered, if one did.
  std::shared_ptr<const TargetAnswer> failure;
};

/// Tell the other entry hosts. If `confirm` is set, OnEvidenceShared must
/// follow once all that can be reached have heard it.
struct ShareEvidence {
  PoisonEvidence evidence;
  bool confirm = false;
};

/// An attempt counts as slow and gets no hedge. For the log only.
struct HedgeSkipped {
  AttemptId id = 0;
  RequestId request = 0;
  std::string target;
  /// "budget", "busy", "load", "no-replica" or "attempts".
  const char* reason = "";
};

/// Attempts for the target that were started and not sent must not be sent any
/// more: each ends as not sent.
struct CancelUnsentAttempts {
  std::string target;
};

/// A target has told in an answer that it takes no new work. To be told to the
/// other hosts.
struct ReportDraining {
  Announcement announcement;
};

/// What an announcement brought.
enum class AnnounceResult {
  kStale,    ///< Known already, or older than what is known.
  kRenewal,  ///< Only a later sequence and load.
  kChange,   ///< Another state, address, incarnation or set of parts.
};

using SearchAction = std::variant<StartAttempt,
                                  CancelAttempt,
                                  ProbeAttempt,
                                  FinishSearch,
                                  ShareEvidence,
                                  HedgeSkipped,
                                  CancelUnsentAttempts,
                                  ReportDraining>;

/// A target lent to a request that is not repeatable.
struct ActionTarget {
  std::string target;
  std::string address;
  SnapshotId snapshot;
  PartNumber part = 0;
  std::uint64_t incarnation = 0;
};

/// What a request that is not repeatable needs a target for.
struct ActionTargetQuery {
  std::string group;
  Fingerprint fingerprint = 0;
};

/// What a SearchController is made with.
struct SearchControllerConfig {
  std::string host;               ///< This entry host's name.
  std::uint32_t fleet_hosts = 1;  ///< Entry hosts that share the targets.
  std::uint64_t seed = 1;
  /// Of a host's share of a target's connections, kept for probes and
  /// cancellations.
  std::uint32_t spare_connections = 1;
  std::string zone;  ///< Targets here are preferred.
  /// False if only news can end a target's membership, not silence.
  bool leases = true;
};

/// What an attempt without an outcome is for.
struct InFlightAttempt {
  RequestId request = 0;  ///< May have got its answer already.
  std::string target;
  Fingerprint fingerprint = 0;  ///< Of the request.

  friend auto operator<=>(const InFlightAttempt&,
                          const InFlightAttempt&) = default;
};

class SearchEngine;

/// Runs searches from admission to answer: pins a snapshot, chooses replicas,
/// hedges, retries, sheds and merges. Does no I/O and reads no clock; inputs
/// are calls with the time, outputs are the actions taken with TakeActions.
class SearchController {
 public:
  explicit SearchController(SearchControllerConfig config);
  ~SearchController();
  SearchController(const SearchController&) = delete;
  SearchController& operator=(const SearchController&) = delete;

  /// Each target of `group` accepts `limit` connections, whatever it says.
  void SetConnectionLimit(const std::string& group, std::uint32_t limit);

  /// Entry hosts that share the targets and the budgets from now on.
  void SetFleetHosts(std::uint32_t hosts);

  /// Puts settings in force for new searches.
  void ApplySettings(const FleetSettings& settings);

  /// Takes a target's announcement heard `age` ago by its relay.
  AnnounceResult Announce(Instant now,
                          const Announcement& announcement,
                          Duration age = {});

  /// Takes a search; FinishSearch follows, at once if it is refused.
  void Submit(Instant now, const SearchRequest& request);
  /// The caller has gone: its work is cancelled and no answer follows.
  void OnCallerDisconnected(Instant now, RequestId request);

  void OnOutcome(Instant now, AttemptId attempt, const AttemptOutcome& outcome);
  void OnProbe(Instant now, AttemptId attempt, ProbeState state);

  /// What all entry hosts together see of some targets.
  void OnConditions(Instant now,
                    const std::vector<TargetCondition>& conditions);
  /// What this host has seen of targets since the last call.
  std::vector<ConditionSample> TakeSamples();

  /// Takes another host's evidence. Returns true if such a request is running
  /// here right now.
  bool OnEvidence(Instant now, const PoisonEvidence& evidence);
  /// The others have heard the evidence; `running_elsewhere` if one of them is
  /// running such a request itself.
  void OnEvidenceShared(Instant now,
                        Fingerprint fingerprint,
                        bool running_elsewhere);

  /// Fires timers; call at NextDue, and every 20 ms at least.
  void Tick(Instant now);
  std::optional<Instant> NextDue() const;

  /// The actions since the last call, in order.
  std::vector<SearchAction> TakeActions();

  /// A target with room that is not in `tried`, for a request that is not
  /// repeatable; its load is counted until ReleaseTarget. Fails with
  /// kUnknownGroup, kNoTarget, kOverloaded or kQuarantined.
  Result<ActionTarget> AcquireTarget(Instant now,
                                     const ActionTargetQuery& query,
                                     const std::vector<std::string>& tried);
  /// How the attempt at a target that was taken for `need` has ended.
  void ReleaseTarget(Instant now,
                     const ActionTargetQuery& query,
                     const ActionTarget& target,
                     const AttemptOutcome& outcome,
                     Duration latency);

  /// All that counts against requests here.
  std::vector<PoisonEvidence> Evidence(Instant now) const;

  /// What an operator may look at or release.
  std::vector<Fingerprint> Quarantined(Instant now) const;
  bool Release(Fingerprint fingerprint);
  const TargetView& view() const;
  /// Connections that this host may hold to `target`.
  std::uint32_t ConnectionShare(const Announcement& target) const;
  /// What an attempt that has no outcome yet is for; empty for others.
  InFlightAttempt FindAttempt(AttemptId attempt) const;
  /// Searches that have no answer yet.
  std::size_t running() const;
  /// Parts that wait for a slot.
  std::size_t waiting() const;

 private:
  std::unique_ptr<SearchEngine> impl_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_SEARCH_CONTROLLER_H_
