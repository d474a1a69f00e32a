#ifndef SNIPEWORKS_HTTP_LISTENER_H_
#define SNIPEWORKS_HTTP_LISTENER_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "snipeworks/address.h"
#include "snipeworks/client_limiter.h"
#include "snipeworks/clock.h"
#include "snipeworks/error.h"
#include "snipeworks/event_loop.h"
#include "snipeworks/http_message.h"

namespace snipeworks {

/// Size and time limits for the requests and connections of an HttpListener.
struct ListenerLimits {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{256} * 1024;
  /// From the first byte of a request to the end of its headers.
  Duration header_timeout = std::chrono::seconds(10);
  /// From the first byte of a request to its last, and for a client to read a
  /// response.
  Duration request_timeout = std::chrono::seconds(30);
  /// Time in which a client neither sends a byte of a body that is due nor
  /// reads one of a response.
  Duration stall_timeout = std::chrono::seconds(20);
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
    /// Bytes that are needed of the body of the request with this head. What
    /// exceeds them is read, up to the limit, and not kept. Null: all.
    std::function<std::size_t(const HttpRequest& head)> needed_body_bytes = {};
  };

  /// Listens on `address`, for clients that `clients` limits; it must outlive
  /// the listener. Null: limits of the listener's own, for tests and stand-ins.
  /// Fails with kInternal if listening is impossible.
  static Result<std::unique_ptr<HttpListener>> Start(
      EventLoop& loop,
      const Address& address,
      const ListenerLimits& limits,
      Handlers handlers,
      ClientLimiter* clients = nullptr);

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
