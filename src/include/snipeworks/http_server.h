#ifndef SNIPEWORKS_HTTP_SERVER_H_
#define SNIPEWORKS_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "snipeworks/address.h"
#include "snipeworks/error.h"
#include "snipeworks/http_message.h"

namespace snipeworks {

/// Settings of an HttpServer.
struct HttpServerConfig {
  Address address;
  std::size_t max_body_bytes = std::size_t{64} * 1024;
  unsigned idle_timeout_s = 120;
  unsigned max_connections = 1000;
};

/// An HTTP/1.1 server on ulfius with a thread per connection.
class HttpServer {
 public:
  /// Called on the connection's thread; may block.
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  /// Starts listening. Fails with kInternal if the address cannot be had.
  static Result<std::unique_ptr<HttpServer>> Start(
      const HttpServerConfig& config,
      Handler handler);

  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Accepts no new connection; those that are open go on.
  void StopAccepting();
  /// Requests that are being answered.
  int in_flight() const;
  /// Open connections now, and the most there were at once.
  int connections() const;
  int max_connections_seen() const;

 private:
  class Impl;
  explicit HttpServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_HTTP_SERVER_H_
