#include "http_client_state.h"

#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// A kept connection is given up this long before its server says it will be:
// a request that crosses the server's close may or may not have run.
constexpr Duration kKeepAliveMargin = milliseconds(500);
// For servers that do not say how long they keep an idle connection.
constexpr Duration kDefaultKeepAlive = std::chrono::seconds(30);
// Longer times are taken for this: the clock's type must not overflow, and a
// target that asks for more is as good as gone.
constexpr std::uint64_t kLongestSeconds = 3600;

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

std::uint32_t HttpRoute::LimitNow() {
  if (silent.empty()) {
    return limit;
  }
  const Instant now = MonotonicNow();
  std::uint32_t held = 0;
  std::erase_if(silent, [&](const HttpRoute::SilentConnections& one) {
    const bool given_up = now >= one.held_until;
    held += given_up ? 0 : one.count;
    return given_up;
  });
  return limit > held ? limit - held : 1;
}

// libuv tells the end of a stream when the other side hangs up, also if it
// did so with a reset.
bool HttpConnection::WasReset() const {
  uv_os_fd_t socket = -1;
  if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle), &socket) != 0) {
    return true;
  }
  char byte = 0;
  return recv(socket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) < 0;
}

Duration KeepAliveOf(const HttpCallResult& result) {
  constexpr std::string_view kTimeoutField = "timeout=";
  const std::string_view text = result.Header("Keep-Alive");
  const auto at = text.find(kTimeoutField);
  if (at == std::string_view::npos) {
    return kDefaultKeepAlive;
  }
  std::uint64_t seconds = 0;
  const char* const first = text.data() + at + kTimeoutField.size();
  const auto [end, fault] =
      std::from_chars(first, text.data() + text.size(), seconds);
  if (fault == std::errc::invalid_argument) {
    return Duration{};  // Negative, or no number.
  }
  const bool huge = fault == std::errc::result_out_of_range;
  const std::uint64_t kept =
      huge ? kLongestSeconds : std::min(seconds, kLongestSeconds);
  return std::chrono::seconds(kept) - kKeepAliveMargin;
}

std::optional<Duration> ParseRetryAfter(std::string_view text) {
  double seconds = 0.0;
  const auto [end, fault] =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  const bool whole = end == text.data() + text.size();
  if (fault == std::errc::result_out_of_range && whole && text[0] != '-') {
    seconds = static_cast<double>(kLongestSeconds);
  } else if (fault != std::errc() || !whole || !std::isfinite(seconds) ||
             seconds < 0.0) {
    return std::nullopt;
  }
  seconds = std::min(seconds, static_cast<double>(kLongestSeconds));
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

}  // namespace snipeworks
