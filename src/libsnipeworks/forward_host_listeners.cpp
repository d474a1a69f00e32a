// The listeners of a ForwardHost, and the limits on their clients.

#include <limits>
#include <utility>

#include "snipeworks/forward_host.h"
#include "snipeworks/relay_messages.h"

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// Of a relayed request, besides the caller's headers and body.
constexpr std::size_t kRelayOverheadBytes = std::size_t{256} * 1024;
constexpr char kFaultsPath[] = "/v1/faults";
constexpr std::size_t kMaxFaultBytes = std::size_t{64} * 1024;
// As much as the listener's limit allows.
constexpr std::size_t kWholeBody = std::numeric_limits<std::size_t>::max();

ListenerLimits ToListenerLimits(const CallerLimits& limits, Duration stall) {
  ListenerLimits result;
  result.stall_timeout = stall;
  if (limits.max_header_bytes > 0) {
    result.max_header_bytes = limits.max_header_bytes;
  }
  if (limits.max_body_bytes > 0) {
    result.max_body_bytes = limits.max_body_bytes;
  }
  if (limits.header_timeout_ms > 0) {
    result.header_timeout = milliseconds(limits.header_timeout_ms);
  }
  if (limits.idle_timeout_ms > 0) {
    result.idle_timeout = milliseconds(limits.idle_timeout_ms);
  }
  return result;
}

ListenerLimits RelayListenerLimits(const ListenerLimits& callers) {
  ListenerLimits limits;
  limits.stall_timeout = callers.stall_timeout;
  limits.max_body_bytes =
      callers.max_body_bytes + callers.max_header_bytes + kRelayOverheadBytes;
  return limits;
}

}  // namespace

Result<void> ForwardHost::StartListeners() {
  ListenerLimits limits;
  limits.stall_timeout = settings_.client_stall();
  const auto start = [&](std::unique_ptr<HttpListener>& listener,
                         const Address& address,
                         HttpListener::Handlers handlers) -> Result<void> {
    auto started = HttpListener::Start(loop_, address, limits,
                                       std::move(handlers), &clients_);
    if (!started) {
      return tl::unexpected(started.error());
    }
    listener = std::move(*started);
    return {};
  };
  auto started =
      start(front_, settings_.http(),
            {[this](ExchangeId exchange, HttpRequest request) {
               OnRequest(exchange, std::move(request));
             },
             [this](ExchangeId exchange) { OnCallerDisconnected(exchange); },
             [this](const HttpRequest& head) {
               return HasRoute(head) ? kWholeBody : 0;
             }});
  if (started) {
    started =
        start(relay_listener_, settings_.peer(),
              {[this](ExchangeId exchange, const HttpRequest& request) {
                 OnRelayedRequest(exchange, request);
               },
               [this](ExchangeId exchange) { OnOriginDisconnected(exchange); },
               [](const HttpRequest& head) {
                 return head.path == kRelayPath ? kWholeBody : 0;
               }});
  }
  if (started && settings_.ready().port != 0) {
    started = start(
        ready_listener_, settings_.ready(),
        {[this](ExchangeId exchange, const HttpRequest& request) {
           const bool good = request.path == names_.ready_path && ready();
           ready_listener_->SendResponse(exchange,
                                         {good ? 200 : 503, "text/plain",
                                          good ? "ready\n" : "not ready\n"});
         },
         [](ExchangeId) {}, [](const HttpRequest&) { return std::size_t{0}; }});
  }
  if (started && settings_.metrics().port != 0) {
    started = start(
        metrics_listener_, settings_.metrics(),
        {[this](ExchangeId exchange, const HttpRequest& request) {
           const bool fault =
               settings_.allow_faults() && request.path == kFaultsPath;
           metrics_listener_->SendResponse(
               exchange, fault ? OnFaultInjection(request)
                               : HttpResponse{200, "text/plain; version=0.0.4",
                                              MetricsPage()});
         },
         [](ExchangeId) {},
         [this](const HttpRequest& head) {
           return settings_.allow_faults() && head.path == kFaultsPath
                      ? kMaxFaultBytes
                      : 0;
         }});
  }
  return started;
}

// A host that was suspended may not know the route yet: the body is read for
// the time until it does.
bool ForwardHost::HasRoute(const HttpRequest& head) const {
  return planner_.table() != nullptr &&
         (planner_.table()->Find(head.Header("Host"), head.path) != nullptr ||
          feed_.routing_freshness(MonotonicNow()) ==
              RoutingFreshness::kSuspended);
}

void ForwardHost::SetListenerLimits(const CallerLimits& limits) {
  const ListenerLimits callers =
      ToListenerLimits(limits, settings_.client_stall());
  front_->SetLimits(callers);
  relay_listener_->SetLimits(RelayListenerLimits(callers));
}

}  // namespace snipeworks
