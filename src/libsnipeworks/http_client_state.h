#ifndef SNIPEWORKS_LIBSNIPEWORKS_HTTP_CLIENT_STATE_H_
#define SNIPEWORKS_LIBSNIPEWORKS_HTTP_CLIENT_STATE_H_

#include <http_parser.h>
#include <netinet/in.h>
#include <uv.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "response_match.h"
#include "snipeworks/clock.h"
#include "snipeworks/http_client.h"
#include "status_line.h"

namespace snipeworks {

/// Connection limit for addresses without a limit of their own.
inline constexpr std::uint32_t kDefaultConnectionLimit = 4;

struct HttpConnection;

/// One call in progress.
struct HttpTransfer {
  HttpCallId id = 0;
  HttpCall call;
  HttpClient::Done done;
  HttpConnection* connection = nullptr;
  Instant deadline{};          ///< Of the whole call.
  Instant connect_deadline{};  ///< Of the connection attempt.
  HttpCallResult result;
  std::size_t received_bytes = 0;  ///< Bytes read, parsed or skipped.
  std::size_t body_bytes = 0;      ///< Those of them that belong to bodies.
  int skipped_responses = 0;  ///< Interim responses and those to other calls.
  bool skipped_without_id = false;  ///< A response that names no call.
  std::size_t buffered_bytes = 0;   ///< Approximate memory used by `result`.
  bool oversized = false;           ///< The head exceeds a limit.
};

/// The connections to one address.
struct HttpConnectionPool {
  // Connections retired as silent, which the server may still count as open.
  struct SilentConnections {
    Instant counted_until;
    std::uint32_t count = 0;
  };

  sockaddr_in address{};
  std::uint32_t limit = kDefaultConnectionLimit;
  std::uint32_t open = 0;
  std::uint64_t generation = 0;  ///< Older connections are not reused.
  std::vector<HttpConnection*> idle;
  std::deque<HttpCallId> waiting;
  std::vector<SilentConnections> silent;
  ResponseMatcher matcher;  ///< For calls with a correlation header.

  /// `limit`, less the silent connections that the server may still count.
  std::uint32_t CurrentLimit();
};

/// A connection with at most one call on it.
struct HttpConnection {
  uv_tcp_t handle;
  uv_connect_t connect;
  uv_write_t write;
  http_parser parser;
  StatusLineReader status_line;
  HttpConnectionPool* pool = nullptr;
  void* owner = nullptr;
  std::uint64_t generation = 0;
  HttpTransfer* transfer = nullptr;
  std::string write_buffer;  ///< The request that is being written.
  std::uint64_t calls = 0;
  bool connected = false;
  bool writing = false;
  bool sent = false;  ///< Any byte of the current request was written.
  bool closing = false;
  bool reusable = true;
  bool value_seen = false;
  bool head_complete = false;   ///< Of the response that is being read.
  bool skips_response = false;  ///< It is interim, or answers another call.
  bool response_complete = false;
  bool cut = false;             ///< Silent in a simulated partition.
  bool counted_in_pool = true;  ///< Whether it counts in pool->open.
  Instant idle_since{};
  Instant reusable_until{};

  /// True if the peer reset the connection instead of closing it.
  bool WasReset() const;
};

/// The request bytes of `call`, head and body.
std::string Serialize(const HttpCall& call);

/// How long a connection may stay idle after `result` and still be reused.
Duration KeepAliveTime(const HttpCallResult& result);

/// Parses a Retry-After value in seconds, which may have a fraction, and caps
/// it at an hour. Nothing for a date, a negative number or anything else.
std::optional<Duration> ParseRetryAfter(std::string_view text);

}  // namespace snipeworks

#endif  // SNIPEWORKS_LIBSNIPEWORKS_HTTP_CLIENT_STATE_H_
