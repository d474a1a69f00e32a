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

/// Size and time limits for the requests and connections of an HttpListener.
struct ListenerLimits {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{256} * 1024;
  /// Bytes of memory for all requests that are read or unanswered and for
  /// responses that are not sent yet, together. Above it, the largest request
  /// that is still being read is refused, or the caller that leaves most of its
  /// responses unread is disconnected.
  std::size_t max_buffered_bytes = std::size_t{32} * 1024 * 1024;
  /// From the first byte of a request to the end of its headers.
  Duration header_timeout = std::chrono::seconds(10);
  /// From the first byte of a request to its last.
  Duration request_timeout = std::chrono::seconds(30);
  /// Time without a request in progress.
  Duration idle_timeout = std::chrono::seconds(60);
  /// Connections beyond this are reset; 0 for no limit.
  std::size_t max_connections = 0;

  friend auto operator<=>(const ListenerLimits&,
                          const ListenerLimits&) = default;
};

/// Identifies a request and its response; unique within a listener.
using ExchangeId = std::uint64_t;

/// An HTTP/1.1 server on the event loop. Each connection has one request in
/// progress at a time; pipelined requests wait. All members must be called on
/// the loop's thread.
class HttpListener {
 public:
  struct Handlers {
    /// A complete request; SendResponse must follow unless the caller
    /// disconnects.
    std::function<void(ExchangeId, HttpRequest)> on_request;
    /// The connection of an unanswered request has closed.
    std::function<void(ExchangeId)> on_disconnect;
  };

  /// Listens on `address`. Fails with kInternal if that is impossible.
  static Result<std::unique_ptr<HttpListener>> Start(
      EventLoop& loop,
      const Address& address,
      const ListenerLimits& limits,
      Handlers handlers);

  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /// Sends the response to a request. Does nothing if its caller has
  /// disconnected.
  void SendResponse(ExchangeId exchange, const HttpResponse& response);

  /// Replaces the limits, also for open connections.
  void SetLimits(const ListenerLimits& limits);

  /// Closes each connection after its next response.
  void CloseAfterResponses();
  /// Accepts the connections that are already in the accept queue and no more,
  /// and closes those that have no request in progress.
  void StopAccepting();

  /// Number of requests without a response.
  std::size_t open_exchanges() const;
  /// Number of connections with a request without a response, a partly read
  /// request or a response not yet fully written, or so new that their first
  /// request may be in transit.
  std::size_t unfinished_connections() const;
  /// Connections open now, and the highest number open at once.
  std::size_t connections() const;
  std::size_t max_connections_seen() const;

 private:
  class Impl;
  explicit HttpListener(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_HTTP_LISTENER_H_
