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

#include "snipeworks/clock.h"
#include "snipeworks/http_client.h"

namespace snipeworks {

/// Connections to an address for which no limit was set.
inline constexpr std::uint32_t kDefaultConnectionLimit = 4;

struct HttpConnection;

/// One call on its way.
struct HttpTransfer {
  HttpCallId id = 0;
  HttpCall call;
  HttpClient::Done done;
  HttpConnection* connection = nullptr;
  Instant ends{};          ///< When the whole call is given up.
  Instant connect_ends{};  ///< When a connection that is not there is.
  HttpCallResult result;
  std::size_t received = 0;  ///< Bytes read for it, parsed or passed over.
  int passed_over = 0;       ///< Interim answers and those to other calls.
  std::size_t held = 0;      ///< Memory that `result` takes, about.
};

/// The way to one address.
struct HttpRoute {
  // Connections that were given up as silent, which the other end may hold.
  struct SilentConnections {
    Instant held_until;
    std::uint32_t count = 0;
  };

  sockaddr_in address{};
  std::uint32_t limit = kDefaultConnectionLimit;
  std::uint32_t open = 0;
  std::uint64_t generation = 0;  ///< Connections of older ones are not reused.
  std::vector<HttpConnection*> idle;
  std::deque<HttpCallId> waiting;
  std::vector<SilentConnections> silent;

  /// Connections that may be open now.
  std::uint32_t LimitNow();
};

/// A connection with at most one call on it.
struct HttpConnection {
  uv_tcp_t handle;
  uv_connect_t connect;
  uv_write_t write;
  http_parser parser;
  HttpRoute* route = nullptr;
  void* owner = nullptr;
  std::uint64_t generation = 0;
  HttpTransfer* transfer = nullptr;
  std::string out;  ///< The request that is being written.
  std::uint64_t calls = 0;
  bool connected = false;
  bool writing = false;
  bool sent = false;  ///< Any byte of the current request was handed over.
  bool closing = false;
  bool reusable = true;
  bool value_seen = false;
  bool complete = false;
  bool counted = true;  ///< Whether it counts in route->open.
  Instant idle_since{};
  Instant idle_until{};

  /// True if the other end broke the connection instead of closing it.
  bool WasReset() const;
};

/// The bytes of `call`, head and body.
std::string Serialize(const HttpCall& call);

/// How long a connection may be kept for another call after `result`.
Duration KeepAliveOf(const HttpCallResult& result);

/// Reads a Retry-After of seconds, fractions included, an hour at most. Nothing
/// for a date, a negative time or what is no number.
std::optional<Duration> ParseRetryAfter(std::string_view text);

}  // namespace snipeworks

#endif  // SNIPEWORKS_LIBSNIPEWORKS_HTTP_CLIENT_STATE_H_
