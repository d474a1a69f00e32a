#ifndef SNIPE_ENTRY_ENTRY_API_H_
#define SNIPE_ENTRY_ENTRY_API_H_

#include <atomic>
#include <functional>
#include <memory>

#include "entry_host.h"
#include "snipeworks/event_loop.h"
#include "snipeworks/http_server.h"

namespace snipeworks {

/// The HTTP side of an entry host: callers, targets, the platform, operators.
/// Its server's threads hand each request to the loop and wait for the result.
class EntryApi {
 public:
  EntryApi(EventLoop& loop, EntryHost& host) : loop_(loop), host_(host) {}

  /// Starts listening. Fails with kInternal.
  Result<void> Start();
  /// Answers with "Connection: close" from now on.
  void CloseConnections() { closing_ = true; }
  void StopAccepting() { server_->StopAccepting(); }
  int in_flight() const { return server_->in_flight(); }

 private:
  HttpResponse Handle(const HttpRequest& request);
  HttpResponse Route(const HttpRequest& request);
  HttpResponse OnSearch(const std::string& group, const HttpRequest& request);
  HttpResponse OnAction(const std::string& group, const HttpRequest& request);
  HttpResponse OnAnnouncement(const HttpRequest& request);
  HttpResponse OnStatus();
  HttpResponse OnRelease(const HttpRequest& request);
  HttpResponse OnFaults(const HttpRequest& request);
  HttpResponse OnMetrics();

  /// Runs `task` on the loop and waits for what it returns.
  template <typename T>
  T OnLoop(std::function<T()> task);

  EventLoop& loop_;
  EntryHost& host_;
  std::unique_ptr<HttpServer> server_;
  std::atomic<bool> closing_ = false;
};

}  // namespace snipeworks

#endif  // SNIPE_ENTRY_ENTRY_API_H_
