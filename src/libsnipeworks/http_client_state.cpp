#include "http_client_state.h"

#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// A kept connection is given up this long before its server says it will be:
// a request that crosses the server's close may or may not have run.
constexpr Duration kKeepAliveMargin = milliseconds(500);
// For servers that do not say how long they keep an idle connection.
constexpr Duration kDefaultKeepAlive = std::chrono::seconds(30);

}  // namespace

std::string Serialize(const HttpCall& call) {
  const bool shared = call.shared != nullptr;
  const std::string& body = shared ? call.shared->body : call.body;
  std::string text;
  text.reserve((shared ? call.shared->head.size() : 128) + 256 + body.size());
  if (shared) {
    text += call.shared->head;
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
  const std::string text(result.Header("Keep-Alive"));
  const auto at = text.find("timeout=");
  if (at == std::string::npos) {
    return kDefaultKeepAlive;
  }
  const long seconds = std::strtol(text.c_str() + at + 8, nullptr, 10);
  return std::chrono::seconds(seconds) - kKeepAliveMargin;
}

}  // namespace snipeworks
