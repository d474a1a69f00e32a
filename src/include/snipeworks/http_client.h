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
#include "snipeworks/event_loop.h"
#include "snipeworks/http_message.h"

namespace snipeworks {

/// Identifies a call of an HttpClient.
using HttpCallId = std::uint64_t;

/// Request line, headers and body that several calls have in common.
struct SharedRequest {
  std::string head;  ///< Serialized, each line ended; no blank line.
  std::string body;
  bool is_head_method = false;  ///< The method is HEAD: the answer has no body.
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
  /// A kept connection is used only if it has been idle for at most this long.
  Duration max_idle = std::chrono::seconds(60);
  /// True if a connection that has been idle may not be used.
  bool fresh_connection = false;
  /// Nothing is sent: the call ends as answered once a new connection, which
  /// may be one more than the limit, has stayed open for a few milliseconds.
  bool connect_only = false;
  /// The called side is in another availability zone. For the counters only.
  bool other_zone = false;
  /// An answer that has this header with another value belongs to another
  /// call: it is dropped, and the call goes on waiting. Empty for no check.
  HttpHeader correlation_header;
};

/// How a call ended.
enum class HttpCallStatus {
  kAnswered,
  kNotSent,  ///< No connection; no byte of the request was sent.
  kLost,     ///< Sent (or only connected), then the connection broke.
  kTimeout,  ///< Sent, and no answer within the call's timeout.
  /// Sent, and what came back was more than the client holds.
  kTooLarge,
  kAborted,
};

/// The answer to a call.
struct HttpCallResult {
  HttpCallStatus status = HttpCallStatus::kNotSent;
  int http_status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
  /// What Retry-After says in seconds; nothing if it is absent or says
  /// anything else.
  std::optional<Duration> retry_after;
  /// True if the call went out on a connection that had been used before.
  bool reused_connection = false;
  /// True if nobody listens at the address.
  bool connection_refused = false;
  /// True if the call was given up for bytes that are no answer.
  bool malformed = false;

  /// The value of header `name`, in any case, or empty.
  std::string_view Header(std::string_view name) const {
    return FindHeader(headers, name);
  }
};

/// How much of the answers that are on their way a client holds.
struct HttpClientLimits {
  /// Of one answer, in bytes: headers, body and whatever is passed over.
  std::size_t max_response_bytes = std::size_t{8} * 1024 * 1024;
  /// Of all of them together, in bytes of memory; the largest one is given up
  /// first. A fifth of the 160 MB that the smallest hosts have.
  std::size_t max_buffered_bytes = std::size_t{32} * 1024 * 1024;

  friend auto operator<=>(const HttpClientLimits&,
                          const HttpClientLimits&) = default;
};

/// What a client sent and got, in calls, connections and bytes.
struct HttpTrafficCounters {
  std::uint64_t calls = 0;
  std::uint64_t connections = 0;  ///< That were opened.
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

  std::uint64_t connections_opened() const {
    return own_zone.connections + other_zone.connections;
  }
};

/// An HTTP/1.1 client on the event loop, with a limited pool of connections to
/// each address and one call at a time on each. Never sends a call twice. All
/// members belong to the loop's thread.
class HttpClient {
 public:
  using Done = std::function<void(HttpCallResult&&)>;

  explicit HttpClient(EventLoop& loop, HttpClientLimits limits = {});
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends `call`; `done` runs once, later, on the loop.
  HttpCallId Send(HttpCall call, Done done);
  /// Gives a call up and closes its connection; its `done` runs with kAborted.
  void Abort(HttpCallId call);
  /// Gives a call up if no byte of it was sent; its `done` runs with kNotSent.
  void AbortUnsent(HttpCallId call);

  /// At most this many connections to `address` at once.
  void SetConnectionLimit(const std::string& address, std::uint32_t limit);
  /// The connection of `call` is silent: neither it nor any other that was
  /// opened with it is used for a new call.
  void RetireConnectionGeneration(HttpCallId call);

  const HttpClientTraffic& traffic() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_HTTP_CLIENT_H_
