#ifndef SNIPEWORKS_FORWARD_HOST_H_
#define SNIPEWORKS_FORWARD_HOST_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "snipeworks/contact_monitor.h"
#include "snipeworks/control_feed.h"
#include "snipeworks/customer_directory.h"
#include "snipeworks/entry_metrics.h"
#include "snipeworks/event_log.h"
#include "snipeworks/event_loop.h"
#include "snipeworks/forward_gateway.h"
#include "snipeworks/forward_message.h"
#include "snipeworks/forward_plan.h"
#include "snipeworks/host_settings.h"
#include "snipeworks/http_listener.h"
#include "snipeworks/peer_transport.h"
#include "snipeworks/protocol_names.h"
#include "snipeworks/quota_feed.h"
#include "snipeworks/random.h"
#include "snipeworks/reachability_monitor.h"
#include "snipeworks/request_relay.h"
#include "snipeworks/search_controller.h"

namespace snipeworks {

/// An entry host that forwards callers' requests along routes. Connects a
/// SearchController, which makes the decisions, to callers, targets and control
/// hosts.
class ForwardHost {
 public:
  ForwardHost(EventLoop& loop, HostSettings settings, ForwardNames names);

  /// Starts listening. Fails with kInternal.
  Result<void> Start();

  /// Applies the settings that may change at run time: the seeds.
  void Reload(const HostSettings& settings);

  /// Shuts down gracefully: fails the readiness check first, so that the load
  /// balancer stops sending connections; then stops accepting connections; and
  /// runs `done` when all requests in flight have been answered or at the
  /// shutdown limit.
  void ShutDown(const std::function<void()>& done);

  /// Writes the last log lines; to be called when the program ends.
  void Stop();

  bool ready() const;

 private:
  struct RunningRequest {
    SearchRequest request;
    ExchangeId exchange = 0;
    ResponseFormat format;
    Instant started{};
    /// The entry host whose caller sent it; empty for this one.
    std::string origin;
    /// Set while another entry host is asked to run it.
    std::optional<RelayId> relay;
    std::int64_t attempts = 0;  ///< Of a part, before it was relayed.
    QuotaDecision quota;        ///< What the customer was charged here.
    /// By which its route is found; empty if `origin` is not.
    std::string http_host;
    std::string path;
  };
  /// A request that waits until the routing is confirmed after a suspension.
  struct HeldRequest {
    HttpRequest request;
    Instant arrived{};
  };
  Result<void> StartListeners();
  void OnRequest(ExchangeId exchange, HttpRequest request);
  /// Keeps a request until a control host has confirmed the routing, but not
  /// for long.
  void Hold(Instant now, ExchangeId exchange, HttpRequest request);
  /// Stops waiting with one request, or with all of them.
  void Release(ExchangeId exchange);
  void ReleaseAll(Instant now);
  void OnControlReply();
  /// Decides on a request by the routing in force.
  void Admit(ExchangeId exchange, HttpRequest request, Instant arrived);
  /// True if what the routing in force says may be repeated still may be.
  bool MayRepeat(Instant now) const { return now < feed_.repeatable_until(); }
  /// Requests in flight that the routing in force does not let run again are
  /// not sent any more.
  void ForbidRepeatsByRouting();
  /// Charges the customer of a request; rejects the request and returns false
  /// if the quota does not admit it.
  bool Charge(Instant now, const HttpRequest& request, RunningRequest& running);
  /// Takes back the charge for a request that was not sent to a target.
  void Credit(const RunningRequest& running);
  void OnCallerDisconnected(ExchangeId exchange);
  void Run(RunningRequest running);

  // Requests that other entry hosts run, and those run for others.
  bool MayRelay(Instant now) const;
  /// Has another host run a request of which `attempts` attempts of a part may
  /// have run.
  void Relay(RunningRequest running, std::int64_t attempts);
  void OnRelayOutcome(RequestId id, const RelayOutcome& outcome);
  /// Relays a request that cannot be answered here, if it may run again.
  bool FailOver(RequestId id, std::int64_t attempts);
  void FailOverAll(Instant now);
  void FinishRelayed(const RunningRequest& running,
                     const RelayOutcome& outcome,
                     const HttpResponse& response);
  void OnRelayedRequest(ExchangeId exchange, const HttpRequest& request);
  void OnOriginDisconnected(ExchangeId exchange);

  void ApplyOutcome(AttemptId attempt, const AttemptOutcome& outcome);
  HttpResponse OnFaultInjection(const HttpRequest& request);

  void Reject(ExchangeId exchange,
              const HttpRequest& request,
              const Error& error,
              bool close = false,
              const std::string& customer = "");
  /// Rejects a request that Authorize has refused.
  void RejectUnauthorized(ExchangeId exchange,
                          const HttpRequest& request,
                          const Error& error);
  void AfterEventBatch();
  void SetNextTimer();
  void Execute(const SearchAction& action);
  void Finish(const FinishSearch& finish);
  void LogFinish(const RunningRequest& running,
                 const FinishSearch& finish,
                 int status);
  void LogContact(ContactState state, Duration silence);
  void LogRelayed(const RunningRequest& running,
                  const RelayOutcome& outcome,
                  int status);
  void OnOutcome(AttemptId attempt, const AttemptOutcome& outcome);
  bool IsInOtherZone(const std::string& target) const;
  /// True if the usable targets of this host's zone cover enough of `plan`.
  bool ZoneCanServe(Instant now, const SearchPlan& plan) const;
  void OnTargets(const std::vector<Announcement>& changes);
  std::vector<Announcement> DrainingTargets() const;
  void OnRouting(const Routing& routing);
  void OnEvacuations(const std::vector<EvacuatedZone>& zones);
  void SetListenerLimits(const CallerLimits& limits);
  bool HasRoute(const HttpRequest& head) const;
  void OnConditions(const std::vector<TargetCondition>& conditions);
  void LogReadiness();
  void LogTraffic(Instant now);
  void FinishIfIdle(const std::function<void()>& done);
  std::string MetricsPage();

  EventLoop& loop_;
  HostSettings settings_;
  ForwardNames names_;
  EventLog log_;
  Random random_;
  std::uint64_t key_seed_;
  CustomerDirectory customers_;  ///< Of the routing in force.
  EntryMetrics metrics_;
  SearchController searches_;
  ForwardPlanner planner_;
  PeerClient peers_;
  ForwardGateway gateway_;
  ControlFeed feed_;
  QuotaFeed quotas_;
  ReachabilityMonitor reachability_;
  ContactMonitor contact_;
  RequestRelay relay_;
  LoopTimer timer_;
  ClientLimiter clients_;
  std::unique_ptr<HttpListener> front_;
  std::unique_ptr<HttpListener> ready_listener_;
  std::unique_ptr<HttpListener> metrics_listener_;
  std::unique_ptr<HttpListener> relay_listener_;
  std::unordered_map<RequestId, RunningRequest> running_;
  std::map<ExchangeId, HeldRequest> held_;
  std::unordered_map<ExchangeId, RequestId> requests_by_exchange_;
  /// Of relay_listener_.
  std::unordered_map<ExchangeId, RequestId> requests_by_relayed_exchange_;
  RequestId next_request_ = 1;
  std::vector<EvacuatedZone> evacuated_zones_;
  std::uint64_t successes_ = 0;
  std::uint64_t relayed_ = 0;
  std::uint64_t relayed_here_ = 0;
  std::uint64_t unauthenticated_ = 0;  ///< Requests refused for their keys.
  /// Requests refused as a newer routing could have their keys.
  std::uint64_t unconfirmed_keys_ = 0;
  /// Requests that waited for the routing to be confirmed.
  std::uint64_t requests_held_ = 0;
  Instant started_{};
  Instant last_event_batch_at_{};
  Instant next_traffic_log_{};
  bool draining_ = false;
  /// While draining_: when requests that still run are answered with an error.
  Instant final_answers_at_{};
  bool logged_ready_ = false;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_FORWARD_HOST_H_
