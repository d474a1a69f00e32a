#ifndef SNIPEWORKS_HTTP_CLIENT_H_
#define SNIPEWORKS_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "snipeworks/clock.h"
#include "snipeworks/event_loop.h"
#include "snipeworks/http_server.h"

namespace snipeworks {

/// Identifies a call of an HttpClient.
using HttpCallId = std::uint64_t;

/// A request to send.
struct HttpCall {
  std::string address;  ///< "IP:port".
  std::string method = "POST";
  std::string path;
  std::string body;
  std::vector<HttpHeader> headers;
  Duration timeout = std::chrono::seconds(10);
  /// True if a connection that has been idle may not be used.
  bool fresh_connection = false;
};

/// How a call ended.
enum class HttpCallStatus {
  kAnswered,
  kNotSent,  ///< No connection; no byte of the request was sent.
  kLost,     ///< Sent, then the connection broke.
  kTimeout,  ///< Sent, and no answer within the call's timeout.
  kAborted,
};

/// The answer to a call.
struct HttpCallResult {
  HttpCallStatus status = HttpCallStatus::kNotSent;
  int http_status = 0;
  std::string body;
  double retry_after_s = 0.0;  ///< The Retry-After header, 0 without one.
};

/// A client on libcurl's multi interface, with a limited pool of connections
/// to each address. Runs on an event loop; all members belong to its thread.
class HttpClient {
 public:
  using Done = std::function<void(const HttpCallResult&)>;

  explicit HttpClient(EventLoop& loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends `call`; `done` runs once, later, on the loop.
  HttpCallId Send(const HttpCall& call, Done done);
  /// Gives a call up and closes its connection; its `done` runs with kAborted.
  void Abort(HttpCallId call);

  /// At most this many connections to `address` at once.
  void SetConnectionLimit(const std::string& address, std::uint32_t limit);
  /// The connection of `call` is silent: neither it nor any other that was
  /// opened with it is used for a new call.
  void DistrustConnectionOf(HttpCallId call);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_HTTP_CLIENT_H_
