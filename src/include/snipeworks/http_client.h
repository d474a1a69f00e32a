#ifndef SNIPEWORKS_HTTP_CLIENT_H_
#define SNIPEWORKS_HTTP_CLIENT_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "snipeworks/clock.h"
#include "snipeworks/error.h"
#include "snipeworks/event_loop.h"
#include "snipeworks/held_bytes.h"
#include "snipeworks/http_message.h"

namespace snipeworks {

/// Identifies a call of an HttpClient.
using HttpCallId = std::uint64_t;

/// A request head and body that several calls share.
struct SharedRequest {
  /// Request line and headers, each ended by CRLF; no blank line.
  std::string head;
  std::string body;
  /// The method is HEAD: the response has no body.
  bool is_head_method = false;
};

/// A request to send.
struct HttpCall {
  std::string address;  ///< "IP:port".
  std::string method = "POST";
  std::string path;
  std::string body;
  std::vector<HttpHeader> headers;
  /// Sent in place of `method`, `path` and `body`, before `headers`.
  std::shared_ptr<const SharedRequest> shared_request;
  Duration timeout = std::chrono::seconds(10);
  Duration connect_timeout = std::chrono::seconds(1);
  /// An idle connection is reused only if it has been idle for at most this
  /// long.
  Duration max_idle = std::chrono::seconds(60);
  /// True if an idle connection may not be reused.
  bool fresh_connection = false;
  /// Nothing is sent: the call ends with kAnswered once a new connection has
  /// stayed open for a few milliseconds. That connection may be one more than
  /// the limit allows.
  bool connect_only = false;
  /// The server is in another availability zone. Used only by the counters.
  bool other_zone = false;
  /// A response that has this header with another value belongs to another
  /// call: it is skipped, and the call keeps waiting. Empty for no check.
  HttpHeader correlation_header;
};

/// How a call ended.
enum class HttpCallStatus {
  kAnswered,
  kNotSent,  ///< No connection; no byte of the request was sent.
  /// The connection broke after the request was sent (or, with connect_only,
  /// after it was established).
  kLost,
  kTimeout,  ///< Sent, but no response within the call's timeout.
  /// Sent, but the response exceeded HttpClientLimits.
  kTooLarge,
  /// Sent, but the bytes received are no HTTP response.
  kMalformed,
  kAborted,
};

/// The outcome of a call, with the response if there is one.
struct HttpCallResult {
  HttpCallStatus status = HttpCallStatus::kNotSent;
  int http_status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
  /// The number of seconds in Retry-After; nothing if the header is absent or
  /// holds anything else.
  std::optional<Duration> retry_after;
  /// True if the call was sent on a connection that had been used before.
  bool reused_connection = false;
  /// True if nothing listens at the address.
  bool connection_refused = false;
  /// True if a connection was tried and could not be opened.
  bool connect_failed = false;
  /// A large response counts towards HttpClientLimits::max_buffered_bytes until
  /// this is destroyed.
  HeldBytes held;

  /// The value of header `name`, in any case, or empty.
  std::string_view Header(std::string_view name) const {
    return FindHeader(headers, name);
  }
};

/// Limits on the responses that a client receives.
struct HttpClientLimits {
  /// Bytes received for one response: headers, body and skipped responses.
  std::size_t max_response_bytes = std::size_t{8} * 1024 * 1024;
  /// Bytes of memory for all responses in progress, and for the large ones that
  /// are in use, together; above it, the largest one in progress is aborted
  /// first. A fifth of the 160 MB that the smallest hosts have.
  std::size_t max_buffered_bytes = std::size_t{32} * 1024 * 1024;
  /// Bytes received for one response that are no body, beyond as many bytes of
  /// bodies: headers, the framing of chunks, interim responses.
  std::size_t max_overhead_bytes = std::size_t{64} * 1024;

  friend auto operator<=>(const HttpClientLimits&,
                          const HttpClientLimits&) = default;
};

/// What a simulated network partition does to a client's connections.
enum class CutKind {
  kSilent,     ///< Nothing is sent or received any more.
  kReset,      ///< Open connections are reset, and new ones are refused.
  kRefuseNew,  ///< Open connections stay, and new ones are refused.
};

/// Reads {"targets": "silent"}, "reset", "refuse-new" or "none". Fails with
/// kBadRequest.
Result<std::optional<CutKind>> ParseCut(std::string_view json_text);

/// Calls, connections and bytes of a client.
struct HttpTrafficCounters {
  std::uint64_t calls = 0;
  std::uint64_t connections = 0;  ///< Opened ones.
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_bytes = 0;

  friend auto operator<=>(const HttpTrafficCounters&,
                          const HttpTrafficCounters&) = default;
};

/// Counters of a client since its start.
struct HttpClientTraffic {
  HttpTrafficCounters own_zone;
  HttpTrafficCounters other_zone;
  std::uint64_t connections_failed = 0;
  std::uint64_t answers_too_large = 0;
  std::uint64_t answers_malformed = 0;

  std::uint64_t connections_opened() const {
    return own_zone.connections + other_zone.connections;
  }
};

/// An HTTP/1.1 client on the event loop, with a limited connection pool for
/// each address and one call at a time on each connection. Never sends a call
/// twice. All members must be called on the loop's thread.
class HttpClient {
 public:
  using Done = std::function<void(HttpCallResult&&)>;

  explicit HttpClient(EventLoop& loop, HttpClientLimits limits = {});
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends `call`; `done` runs once, asynchronously, on the loop.
  HttpCallId Send(HttpCall call, Done done);
  /// Aborts a call and closes its connection; its `done` runs with kAborted.
  void Abort(HttpCallId call);
  /// Aborts a call if no byte of it was sent; its `done` runs with kNotSent.
  void AbortUnsent(HttpCallId call);

  /// Opens a connection to `address`; `done` gets whether that succeeded within
  /// `timeout`.
  void TestConnection(const std::string& address,
                      Duration timeout,
                      std::function<void(bool reached)> done);

  /// Limits the number of open connections to `address`.
  void SetConnectionLimit(const std::string& address, std::uint32_t limit);
  /// Retires the connection of `call`, which has become silent, and all others
  /// of its generation: none of them is used for a new call.
  void RetireConnectionGeneration(HttpCallId call);

  /// Simulates a network partition from all servers, or ends it, for failure
  /// tests.
  void SimulateCut(std::optional<CutKind> cut);

  const HttpClientTraffic& traffic() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_HTTP_CLIENT_H_
