#ifndef SNIPE_ENTRY_ENTRY_HOST_H_
#define SNIPE_ENTRY_ENTRY_HOST_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "entry_peers.h"
#include "settings_store.h"
#include "snipeworks/action_controller.h"
#include "snipeworks/contact_monitor.h"
#include "snipeworks/control_client.h"
#include "snipeworks/entry_metrics.h"
#include "snipeworks/event_loop.h"
#include "snipeworks/host_settings.h"
#include "snipeworks/request_relay.h"
#include "snipeworks/search_controller.h"
#include "snipeworks/target_gateway.h"
#include "snipeworks/trace.h"

namespace snipeworks {

/// An entry host: connects the search and action controllers to targets, other
/// hosts and the clock. Used only from the event loop's thread.
class EntryHost {
 public:
  using SearchDone = std::function<void(const FinishSearch&)>;
  using ActionDone = std::function<void(const Result<ActionAnswer>&)>;

  EntryHost(EventLoop& loop, HostSettings settings);

  /// Starts communication with other hosts. Fails with kInternal.
  Result<void> Start();

  void Search(SearchRequest request, SearchDone done);
  void RunAction(ActionRequest request, ActionDone done);
  void Announce(const Announcement& announcement);

  /// True if the load balancer may send requests to this host.
  bool ready() const;
  /// Makes ready() false; requests that still arrive are accepted.
  void StartDraining() { draining_ = true; }
  /// True if this host has lost its targets, or may have, and another entry
  /// host may run requests for it.
  bool MayRelay(Instant now) const;
  /// True if another host may run a search that has failed here. Charges the
  /// extra attempts that this takes.
  bool MayFailOver(Instant now,
                   const SearchRequest& request,
                   const FinishSearch& finish);
  /// True if another host may run an order that was not run here. Its key is
  /// released before: the record of its outcome was sent first.
  bool MayFailOver(Instant now, const Error& error) const;
  /// True if this host runs requests for others now.
  bool TakesRelayed() const {
    return ready() && contact_.state() == ContactState::kReached;
  }
  bool targets_lost() const { return contact_.state() == ContactState::kLost; }
  void SimulateCut(std::optional<CutKind> cut) { gateway_.SimulateCut(cut); }
  RequestRelay& relay() { return relay_; }

  /// Requests without a final outcome, and outcomes still being recorded.
  std::size_t unfinished_requests() const;

  /// Applies fleet settings directly, for a host without control hosts.
  void ApplySettings(const VersionedSettings& settings);

  EntryGauges Gauges() const;
  EntryMetrics& metrics() { return metrics_; }
  SearchController& searches() { return searches_; }
  PeerClient& peer_client() { return peers_.client(); }
  const HostSettings& settings() const { return settings_; }

 private:
  // Provides the search controller's targets to the action controller.
  class ActionTargetAdapter : public ActionTargetPool {
   public:
    explicit ActionTargetAdapter(SearchController& searches)
        : searches_(searches) {}
    Result<ActionTarget> Acquire(
        Instant now,
        const ActionTargetQuery& need,
        const std::vector<std::string>& tried) override;
    void Release(Instant now,
                 const ActionTargetQuery& need,
                 const ActionTarget& target,
                 const AttemptOutcome& outcome,
                 Duration latency) override;

   private:
    SearchController& searches_;
  };

  struct RunningSearch {
    SearchRequest request;
    SearchDone done;
    Instant started{};
    TraceContext context;
    std::string parent_span;
    std::chrono::system_clock::time_point wall_started;
  };
  struct RunningAction {
    std::string group;
    ActionDone done;
  };

  /// True once settings are in force and EntryPeers has synced.
  bool initialized() const;
  void AfterEventBatch();
  void Execute(const SearchAction& action);
  void Execute(const ActionStep& step);
  void CompleteSearch(const FinishSearch& finish);
  void ApplyOutcome(AttemptId attempt, const AttemptOutcome& outcome);
  /// Ends the searches in flight, whose targets are silent.
  void GiveUpSearches(Instant now);
  void CompleteAction(const FinishAction& finish);
  void ProposeOutcome(const ControlCommand& command);
  TraceContext StartTrace(const std::string& traceparent);
  void SetNextTimer();

  EventLoop& loop_;
  HostSettings settings_;
  Random random_;
  SpanWriter spans_;
  EntryMetrics metrics_;
  SearchController searches_;
  ActionTargetAdapter action_targets_;
  ActionController actions_;
  SettingsStore settings_store_;
  EntryPeers peers_;
  ControlClient control_;
  TargetGateway gateway_;
  ContactMonitor contact_;
  RequestRelay relay_;
  LoopTimer timer_;
  RequestId next_request_ = 1;
  std::map<RequestId, RunningSearch> running_searches_;
  std::map<RequestId, RunningAction> running_actions_;
  /// Targets of the orders in flight.
  std::map<AttemptId, std::string> action_targets_in_flight_;
  std::size_t unrecorded_outcomes_ = 0;
  bool draining_ = false;
};

}  // namespace snipeworks

#endif  // SNIPE_ENTRY_ENTRY_HOST_H_
