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
#include "snipeworks/string_map.h"
#include "snipeworks/target_condition.h"
#include "snipeworks/target_limits.h"
#include "snipeworks/target_view.h"

namespace snipeworks {

/// Send an attempt to its target. Exactly one OnOutcome must follow.
struct StartAttempt {
  AttemptCommand command;
};

/// Cancel an attempt whose answer is no longer needed. OnOutcome must still
/// follow.
struct CancelAttempt {
  AttemptId id = 0;
  std::string target;
};

/// Ask the target over another connection for the state of an attempt. OnProbe
/// must follow unless the attempt ends first.
struct ProbeAttempt {
  AttemptId id = 0;
  std::string target;
};

/// The result of a search.
struct FinishSearch {
  RequestId id = 0;
  Result<SearchAnswer> result;
  /// With an error: the latest error answer of a target, if there is one.
  std::shared_ptr<const TargetAnswer> failure;
  /// With an error: the most attempts of one part that may have run.
  std::int64_t most_attempts = 0;
};

/// Send evidence to the other entry hosts. If `confirm` is set,
/// OnEvidenceShared must follow once all reachable hosts have received it.
struct ShareEvidence {
  PoisonEvidence evidence;
  bool confirm = false;
};

/// A slow attempt was not hedged. For the log only.
struct HedgeSkipped {
  AttemptId id = 0;
  RequestId request = 0;
  std::string target;
  /// "budget", "busy", "load", "no-replica" or "attempts".
  const char* reason = "";
};

/// Cancel the started attempts for a target that have not been sent. Each ends
/// as not sent.
struct CancelUnsentAttempts {
  std::string target;
};

/// A target has reported in an answer that it drains. To be sent to the other
/// hosts.
struct ReportDraining {
  Announcement announcement;
};

/// A target has stated a limit of requests, another one, or none any more. For
/// the log only.
struct LimitChanged {
  std::string target;
  std::optional<double> per_second;  ///< From all entry hosts together.
  double share = 0.0;                ///< Requests per second of this host.
};

/// What an announcement changed.
enum class AnnounceResult {
  kStale,    ///< No newer than what is known.
  kRenewal,  ///< Only a later sequence number and load.
  kChange,   ///< Another state, address, incarnation or set of parts.
};

using SearchAction = std::variant<StartAttempt,
                                  CancelAttempt,
                                  ProbeAttempt,
                                  FinishSearch,
                                  ShareEvidence,
                                  HedgeSkipped,
                                  CancelUnsentAttempts,
                                  ReportDraining,
                                  LimitChanged>;

/// A target that is acquired for a non-repeatable request.
struct ActionTarget {
  std::string target;
  std::string address;
  SnapshotId snapshot;
  PartNumber part = 0;
  std::uint64_t incarnation = 0;
};

/// A non-repeatable request that needs a target.
struct ActionTargetQuery {
  std::string group;
  Fingerprint fingerprint = 0;
};

/// Configuration of a SearchController.
struct SearchControllerConfig {
  std::string host;               ///< This entry host's name.
  std::uint32_t fleet_hosts = 1;  ///< Entry hosts that share the targets.
  std::uint64_t seed = 1;
  /// Part of this host's share of a target's connections that is reserved for
  /// probes and cancellations.
  std::uint32_t spare_connections = 1;
  std::string zone;  ///< Targets in this zone are preferred.
  /// False if targets stay members until an announcement removes them, without
  /// a lease that expires.
  bool leases = true;
  TargetLimitBounds limit_bounds;
};

/// The request and target of an attempt that has no outcome yet.
struct InFlightAttempt {
  RequestId request = 0;  ///< May already be answered.
  std::string target;
  Fingerprint fingerprint = 0;  ///< Of the request.

  friend auto operator<=>(const InFlightAttempt&,
                          const InFlightAttempt&) = default;
};

class SearchEngine;

/// Runs searches from admission to answer: pins a snapshot, chooses replicas,
/// hedges, retries, sheds load and merges. Does no I/O and reads no clock:
/// every call passes the time, and TakeActions returns the actions to perform.
class SearchController {
 public:
  explicit SearchController(SearchControllerConfig config);
  ~SearchController();
  SearchController(const SearchController&) = delete;
  SearchController& operator=(const SearchController&) = delete;

  /// Limits each target of `group` to `limit` connections, whatever it
  /// announces.
  void SetConnectionLimit(const std::string& group, std::uint32_t limit);

  /// Sets the number of entry hosts that share the targets and the budgets.
  void SetFleetHosts(Instant now, std::uint32_t hosts);

  /// Applies settings to new searches.
  void ApplySettings(const FleetSettings& settings);

  /// Sets the limits of cold targets, by group. Groups that are not named have
  /// none.
  void SetColdLimits(Instant now, StringMap<ColdLimit> limits);

  /// Merges a target's announcement, which its relay received `age` ago.
  /// `uptime` is how long the target has run at least; it counts only for a
  /// target that was not known.
  AnnounceResult Announce(Instant now,
                          const Announcement& announcement,
                          Duration age = {},
                          Duration uptime = {});

  /// From now on targets of `zones` get no new work, and those of other zones
  /// may. Attempts that run at a target are left to finish.
  void SetEvacuatedZones(std::vector<std::string> zones);

  /// Submits a search. FinishSearch follows, immediately if it is refused.
  void Submit(Instant now, const SearchRequest& request);
  /// Cancels the search of a caller that has disconnected; no answer follows.
  void OnCallerDisconnected(Instant now, RequestId request);
  /// Ends a search with `error`.
  void GiveUp(Instant now, RequestId request, Error error);
  /// The most attempts of one part of a running search that may have run, or
  /// nothing if the search has ended.
  std::optional<std::int64_t> MostAttempts(RequestId request) const;
  /// Sends attempts beyond the first only until `until`, but for those that
  /// replace attempts that were not run. Without this call there is no limit.
  void RepeatUntil(Instant until);
  /// Sends no attempt for a running search any more if one may have run.
  void ForbidRepeats(RequestId request);
  /// Charges one extra attempt for each part of `plan`, which another host is
  /// to run once more. Charges nothing and returns false if the budget of any
  /// is exhausted.
  bool TakeExtraAttempts(Instant now, const SearchPlan& plan);
  /// The same for a search over all parts of `group`.
  bool TakeExtraAttempts(Instant now, const std::string& group);

  void OnOutcome(Instant now, AttemptId attempt, const AttemptOutcome& outcome);
  void OnProbe(Instant now, AttemptId attempt, ProbeState state);

  /// Applies target conditions that were combined over all entry hosts.
  void OnConditions(Instant now,
                    const std::vector<TargetCondition>& conditions);
  /// What this host has measured of its targets since the last call.
  std::vector<ConditionSample> TakeSamples();

  /// Merges another host's evidence. Returns true if a request with its
  /// fingerprint is running on this host.
  bool OnEvidence(Instant now, const PoisonEvidence& evidence);
  /// The other hosts have received the evidence; `running_elsewhere` is true if
  /// one of them is running a request with this fingerprint.
  void OnEvidenceShared(Instant now,
                        Fingerprint fingerprint,
                        bool running_elsewhere);

  /// Fires the timers that are due. Call at NextDue and at least every 20 ms.
  void Tick(Instant now);
  std::optional<Instant> NextDue() const;

  /// Returns the actions since the last call, in order.
  std::vector<SearchAction> TakeActions();

  /// Acquires a target with free capacity that is not in `tried` for a
  /// non-repeatable request. It counts as loaded until ReleaseTarget. Fails
  /// with kUnknownGroup, kNoTarget, kOverloaded or kQuarantined.
  Result<ActionTarget> AcquireTarget(Instant now,
                                     const ActionTargetQuery& query,
                                     const std::vector<std::string>& tried);
  /// Releases a target that was acquired for `query`, with the outcome of the
  /// attempt.
  void ReleaseTarget(Instant now,
                     const ActionTargetQuery& query,
                     const ActionTarget& target,
                     const AttemptOutcome& outcome,
                     Duration latency);

  /// The evidence against requests that this host holds.
  std::vector<PoisonEvidence> Evidence(Instant now) const;

  /// Quarantined requests, which an operator can release.
  std::vector<Fingerprint> Quarantined(Instant now) const;
  bool Release(Fingerprint fingerprint);
  const TargetView& view() const;
  /// The latency of a slow attempt of `group`; 0 for an unknown group.
  Duration SlowLatency(const std::string& group) const;
  /// The number of targets that state a limit of requests.
  std::size_t CountLimitedTargets() const;
  /// The number of cold targets that have a limit.
  std::size_t CountColdTargets(Instant now) const;
  /// Number of connections that this host may open to `target`.
  std::uint32_t ConnectionShare(const Announcement& target) const;
  /// Describes an attempt that has no outcome yet; empty for any other.
  InFlightAttempt FindAttempt(AttemptId attempt) const;
  /// Number of searches that have no answer yet.
  std::size_t running() const;
  /// Number of parts that wait for a slot.
  std::size_t waiting() const;

 private:
  std::unique_ptr<SearchEngine> impl_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_SEARCH_CONTROLLER_H_
