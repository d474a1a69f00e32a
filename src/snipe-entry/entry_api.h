#ifndef SNIPE_ENTRY_ENTRY_API_H_
#define SNIPE_ENTRY_ENTRY_API_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "entry_host.h"
#include "snipeworks/event_loop.h"
#include "snipeworks/http_listener.h"

namespace snipeworks {

/// The HTTP side of an entry host: callers, targets, the platform, operators.
class EntryApi {
 public:
  EntryApi(EventLoop& loop, EntryHost& host) : loop_(loop), host_(host) {}

  /// Starts listening. Fails with kInternal.
  Result<void> Start();
  /// Answers with "Connection: close" from now on.
  void CloseConnections() { listener_->CloseAfterResponses(); }
  void StopAccepting() { listener_->StopAccepting(); }
  /// Requests that have not been answered or may be on their way.
  std::size_t unfinished() const { return listener_->unfinished_connections(); }

 private:
  void OnRequest(ExchangeId exchange, const HttpRequest& request);
  /// The answer to a request that is not a search or an action.
  HttpResponse Route(const HttpRequest& request);
  HttpResponse RouteSafely(const HttpRequest& request);
  void OnSearch(ExchangeId exchange,
                const std::string& group,
                const HttpRequest& request);
  void OnAction(ExchangeId exchange,
                const std::string& group,
                const HttpRequest& request);
  HttpResponse OnAnnouncement(const HttpRequest& request);
  HttpResponse OnStatus();
  HttpResponse OnRelease(const HttpRequest& request);
  HttpResponse OnFaults(const HttpRequest& request);
  HttpResponse OnMetrics();

  EventLoop& loop_;
  EntryHost& host_;
  std::unique_ptr<HttpListener> listener_;
};

}  // namespace snipeworks

#endif  // SNIPE_ENTRY_ENTRY_API_H_
