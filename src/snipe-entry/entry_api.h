#ifndef SNIPE_ENTRY_ENTRY_API_H_
#define SNIPE_ENTRY_ENTRY_API_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "entry_host.h"
#include "snipeworks/event_loop.h"
#include "snipeworks/http_listener.h"

namespace snipeworks {

/// The HTTP API of an entry host, for callers, targets, the platform and
/// operators.
class EntryApi {
 public:
  EntryApi(EventLoop& loop, EntryHost& host);

  /// Starts listening. Fails with kInternal.
  Result<void> Start();
  /// Sends "Connection: close" with every later answer.
  void CloseConnections() { listener_->CloseAfterResponses(); }
  void StopAccepting() { listener_->StopAccepting(); }
  /// Requests that are unanswered or may still arrive on an open connection.
  std::size_t unfinished_connections() const {
    return listener_->unfinished_connections();
  }

 private:
  void OnRequest(ExchangeId exchange, const HttpRequest& request);
  /// Answers a request that is neither a search nor an action.
  HttpResponse Route(const HttpRequest& request);
  HttpResponse RouteSafely(const HttpRequest& request);
  using Respond = std::function<void(const HttpResponse&)>;

  /// Runs a search or an action, or has another entry host run it. Returns
  /// false if `request` is neither.
  bool RunRequest(const HttpRequest& request, const Respond& respond);
  void OnSearch(const std::string& group,
                const HttpRequest& request,
                const Respond& respond);
  void OnAction(const std::string& group,
                const HttpRequest& request,
                const Respond& respond);
  void OnRelayedRequest(ExchangeId exchange, const HttpRequest& request);
  /// Relays a request of a host that has lost its targets, or refuses it if no
  /// other host is known to help. Returns false if it is to be run here.
  bool RelayOrRefuse(const HttpRequest& request,
                     Duration budget,
                     bool once,
                     const Respond& respond);
  /// Has another entry host run `request`, within `budget` from `started`.
  /// `ran_before`: it may have run here.
  void Relay(const HttpRequest& request,
             Instant started,
             Duration budget,
             bool once,
             bool ran_before,
             const Respond& respond);
  HttpResponse OnAnnouncement(const HttpRequest& request);
  HttpResponse OnStatus();
  HttpResponse OnQuarantineRelease(const HttpRequest& request);
  HttpResponse OnFaultInjection(const HttpRequest& request);
  HttpResponse OnMetrics();

  EventLoop& loop_;
  EntryHost& host_;
  ClientLimiter clients_;
  std::unique_ptr<HttpListener> listener_;
};

}  // namespace snipeworks

#endif  // SNIPE_ENTRY_ENTRY_API_H_
