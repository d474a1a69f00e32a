#ifndef SNIPEWORKS_HTTP_SERVER_H_
#define SNIPEWORKS_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "snipeworks/address.h"
#include "snipeworks/error.h"

namespace snipeworks {

/// One header of a message.
struct HttpHeader {
  std::string name;
  std::string value;
};

/// A request as a server got it.
struct HttpRequest {
  std::string method;
  std::string path;  ///< Without the query string.
  std::vector<HttpHeader> headers;
  std::string body;
  /// Identifies the connection within its server.
  std::uint64_t connection = 0;

  /// The value of header `name`, in any case, or empty.
  std::string_view Header(std::string_view name) const;
};

/// What a server answers.
struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::vector<HttpHeader> headers;
  bool close = false;  ///< Close the connection afterwards.
};

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
