#include "http_client_state.h"

#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <cmath>

#include "snipeworks/json_reader.h"

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// Idle connections are closed this long before the keep-alive timeout that the
// server declares: a request that crosses the server's close may or may not
// have run.
constexpr Duration kKeepAliveMargin = milliseconds(500);
// For servers that declare no keep-alive timeout.
constexpr Duration kDefaultKeepAlive = std::chrono::seconds(30);
// Longer times are capped at this, so that Duration cannot overflow; a target
// that asks for more is effectively unavailable.
constexpr std::uint64_t kMaxDelaySeconds = 3600;

}  // namespace

std::string Serialize(const HttpCall& call) {
  const bool shared = call.shared_request != nullptr;
  const std::string& body = shared ? call.shared_request->body : call.body;
  std::string text;
  text.reserve((shared ? call.shared_request->head.size() : 128) + 256 +
               body.size());
  if (shared) {
    text += call.shared_request->head;
  } else {
    text += call.method + ' ' + call.path +
            " HTTP/1.1\r\nHost: " + call.address + "\r\n";
    if (!body.empty()) {
      text += "Content-Type: application/json\r\n";
    }
  }
  for (const HttpHeader& header : call.headers) {
    text += header.name;
    text += ": ";
    text += header.value;
    text += "\r\n";
  }
  if (!body.empty() || (!shared && call.method == "POST")) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  text += "\r\n";
  text += body;
  return text;
}

std::uint32_t HttpConnectionPool::CurrentLimit() {
  if (silent.empty()) {
    return limit;
  }
  const Instant now = MonotonicNow();
  std::uint32_t still_counted = 0;
  std::erase_if(
      silent,
      [&](const HttpConnectionPool::SilentConnections& silent_connections) {
        const bool expired = now >= silent_connections.counted_until;
        still_counted += expired ? 0 : silent_connections.count;
        return expired;
      });
  return limit > still_counted ? limit - still_counted : 1;
}

// libuv reports an end of stream when the peer hangs up, even if it did so with
// a reset.
bool HttpConnection::WasReset() const {
  uv_os_fd_t socket = -1;
  if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle), &socket) != 0) {
    return true;
  }
  char byte = 0;
  return recv(socket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) < 0;
}

Duration KeepAliveTime(const HttpCallResult& result) {
  constexpr std::string_view kTimeoutParameter = "timeout=";
  const std::string_view text = result.Header("Keep-Alive");
  const auto at = text.find(kTimeoutParameter);
  if (at == std::string_view::npos) {
    return kDefaultKeepAlive;
  }
  std::uint64_t seconds = 0;
  const char* const first = text.data() + at + kTimeoutParameter.size();
  const auto [end, fault] =
      std::from_chars(first, text.data() + text.size(), seconds);
  if (fault == std::errc::invalid_argument) {
    return Duration{};  // Negative or not a number.
  }
  const bool overflow = fault == std::errc::result_out_of_range;
  const std::uint64_t keep_alive_seconds =
      overflow ? kMaxDelaySeconds : std::min(seconds, kMaxDelaySeconds);
  return std::chrono::seconds(keep_alive_seconds) - kKeepAliveMargin;
}

std::optional<Duration> ParseRetryAfter(std::string_view text) {
  double seconds = 0.0;
  const auto [end, fault] =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  const bool whole = end == text.data() + text.size();
  if (fault == std::errc::result_out_of_range && whole && text[0] != '-') {
    seconds = static_cast<double>(kMaxDelaySeconds);
  } else if (fault != std::errc() || !whole || !std::isfinite(seconds) ||
             seconds < 0.0) {
    return std::nullopt;
  }
  seconds = std::min(seconds, static_cast<double>(kMaxDelaySeconds));
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

Result<std::optional<CutKind>> ParseCut(std::string_view json_text) {
  auto document = ParseJson(json_text);
  if (!document) {
    return tl::unexpected(document.error());
  }
  JsonReader reader(*document);
  const std::string name = reader.String("targets");
  if (reader.ok() && name == "silent") {
    return CutKind::kSilent;
  }
  if (reader.ok() && name == "reset") {
    return CutKind::kReset;
  }
  if (reader.ok() && name == "refuse-new") {
    return CutKind::kRefuseNew;
  }
  if (reader.ok() && name == "none") {
    return std::optional<CutKind>();
  }
  return Fail(ErrorKind::kBadRequest,
              "targets: must be silent, reset, refuse-new or none");
}

}  // namespace snipeworks
