#ifndef SNIPE_ENTRY_ENTRY_HOST_H_
#define SNIPE_ENTRY_ENTRY_HOST_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "entry_peers.h"
#include "settings_store.h"
#include "snipeworks/action_controller.h"
#include "snipeworks/control_client.h"
#include "snipeworks/entry_metrics.h"
#include "snipeworks/event_loop.h"
#include "snipeworks/host_settings.h"
#include "snipeworks/search_controller.h"
#include "snipeworks/target_gateway.h"
#include "snipeworks/trace.h"

namespace snipeworks {

/// An entry host: the controllers, connected to targets, other hosts and time.
/// All members belong to the event loop's thread.
class EntryHost {
 public:
  using SearchDone = std::function<void(const Result<SearchAnswer>&)>;
  using ActionDone = std::function<void(const Result<ActionAnswer>&)>;

  EntryHost(EventLoop& loop, HostSettings settings);

  /// Starts the exchange with other hosts. Fails with kInternal.
  Result<void> Start();

  void Search(SearchRequest request, SearchDone done);
  void Act(ActionRequest request, ActionDone done);
  void Announce(const Announcement& announcement);

  /// True if the balancer should send requests here.
  bool ready() const { return informed() && !leaving_; }
  /// Readiness goes; requests that still come are taken.
  void StartLeaving() { leaving_ = true; }
  /// Requests that have no final outcome yet, recorded outcomes included.
  std::size_t unfinished() const;

  /// Puts settings in force without control hosts, for a stand-alone host.
  void UseSettings(const VersionedSettings& settings);

  EntryGauges Gauges() const;
  EntryMetrics& metrics() { return metrics_; }
  SearchController& searches() { return searches_; }
  PeerClient& peer_client() { return peers_.client(); }
  const HostSettings& settings() const { return settings_; }

 private:
  // Lends the searches' view of the targets to actions.
  class Targets : public ActionTargets {
   public:
    explicit Targets(SearchController& searches) : searches_(searches) {}
    Result<ActionTarget> Take(Instant now,
                              const ActionNeed& need,
                              const std::vector<std::string>& tried) override;
    void Release(Instant now,
                 const ActionNeed& need,
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

  /// True if this host knows the fleet and the settings well enough.
  bool informed() const;
  void AfterTurn();
  void Do(const SearchAction& action);
  void Do(const ActionStep& step);
  void FinishOneSearch(const FinishSearch& finish);
  void FinishOneAction(const FinishAction& finish);
  void Record(const ControlCommand& command);
  TraceContext StartTrace(const std::string& traceparent);
  void SetNextTimer();

  EventLoop& loop_;
  HostSettings settings_;
  Random random_;
  SpanWriter spans_;
  EntryMetrics metrics_;
  SearchController searches_;
  Targets action_targets_;
  ActionController actions_;
  SettingsStore settings_store_;
  EntryPeers peers_;
  ControlClient control_;
  TargetGateway gateway_;
  LoopTimer timer_;
  RequestId next_request_ = 1;
  std::map<RequestId, RunningSearch> running_searches_;
  std::map<RequestId, RunningAction> running_actions_;
  std::size_t recording_ = 0;
  bool leaving_ = false;
};

}  // namespace snipeworks

#endif  // SNIPE_ENTRY_ENTRY_HOST_H_
