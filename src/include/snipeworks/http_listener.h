#ifndef SNIPEWORKS_HTTP_LISTENER_H_
#define SNIPEWORKS_HTTP_LISTENER_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "snipeworks/address.h"
#include "snipeworks/clock.h"
#include "snipeworks/error.h"
#include "snipeworks/event_loop.h"
#include "snipeworks/http_message.h"

namespace snipeworks {

/// What callers of an HttpListener may send, and how long they may take.
struct ListenerLimits {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{256} * 1024;
  /// From the first byte of a request to the end of its headers.
  Duration header_timeout = std::chrono::seconds(10);
  /// From the first byte of a request to its last.
  Duration request_timeout = std::chrono::seconds(30);
  /// Without a request on the way.
  Duration idle_timeout = std::chrono::seconds(60);
  /// Connections beyond this are reset; 0 for no limit.
  std::size_t max_connections = 0;

  friend auto operator<=>(const ListenerLimits&,
                          const ListenerLimits&) = default;
};

/// One request and its answer; unique within a listener.
using ExchangeId = std::uint64_t;

/// An HTTP/1.1 server on the event loop. One request at a time is taken from a
/// connection; what is pipelined behind it waits. All members belong to the
/// loop's thread.
class HttpListener {
 public:
  struct Handlers {
    /// A whole request; Answer must follow unless its caller leaves.
    std::function<void(ExchangeId, HttpRequest)> on_request;
    /// The caller of a request has closed its connection.
    std::function<void(ExchangeId)> on_disconnect;
  };

  /// Listens on `address`. Fails with kInternal if it cannot be had.
  static Result<std::unique_ptr<HttpListener>> Start(
      EventLoop& loop,
      const Address& address,
      const ListenerLimits& limits,
      Handlers handlers);

  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /// Answers a request. Does nothing if its caller has left.
  void SendResponse(ExchangeId exchange, const HttpResponse& response);

  /// Limits for the requests that follow.
  void SetLimits(const ListenerLimits& limits);

  /// From now on each answer closes its connection.
  void CloseAfterResponses();
  /// Accepts no new connection but those that callers have opened already, and
  /// closes those that have no request on the way.
  void StopAccepting();

  /// Requests that have not been answered.
  std::size_t open_exchanges() const;
  /// Those, requests that are being read, answers that have not all been handed
  /// to the network, and connections so new that their first request may be on
  /// its way.
  std::size_t unfinished_connections() const;
  /// Open connections now, and the most there were at once.
  std::size_t connections() const;
  std::size_t max_connections_seen() const;

 private:
  class Impl;
  explicit HttpListener(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_HTTP_LISTENER_H_
