#ifndef SNIPEWORKS_LIBSNIPEWORKS_TEST_SOCKETS_TEST_H_
#define SNIPEWORKS_LIBSNIPEWORKS_TEST_SOCKETS_TEST_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace snipeworks {

inline sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// A port on loopback that no socket listens on.
inline std::uint16_t FreePort() {
  const int probe = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = LoopbackAddress(0);
  bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  socklen_t size = sizeof(address);
  getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size);
  close(probe);
  return ntohs(address.sin_port);
}

/// A blocking connection whose reads time out after two seconds.
class Socket {
 public:
  /// Connects to `port` on loopback.
  explicit Socket(std::uint16_t port)
      : descriptor_(socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in address = LoopbackAddress(port);
    connect(descriptor_, reinterpret_cast<const sockaddr*>(&address),
            sizeof(address));
    SetReadTimeout();
  }

  /// Takes ownership of an accepted connection.
  static Socket Accepted(int descriptor) { return Socket(descriptor, true); }

  Socket(Socket&& other) noexcept
      : descriptor_(std::exchange(other.descriptor_, -1)) {}
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() {
    if (descriptor_ >= 0) {
      close(descriptor_);
    }
  }

  void Send(const std::string& bytes) const {
    send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  /// Sends as much of `bytes` as possible within two seconds; false if the peer
  /// has closed the connection.
  bool TrySend(const std::string& bytes) const {
    const timeval timeout{2, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    return send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0;
  }

  /// Reads up to and including `mark`, or to the end of the stream.
  std::string ReadUntil(const std::string& mark) const {
    std::string text;
    char byte = 0;
    while (!text.ends_with(mark) && recv(descriptor_, &byte, 1, 0) == 1) {
      text += byte;
    }
    return text;
  }

  /// Reads to the end of the stream.
  std::string ReadAll() const {
    std::string text;
    char buffer[4096];
    for (ssize_t count = 0;
         (count = recv(descriptor_, buffer, sizeof(buffer), 0)) > 0;) {
      text.append(buffer, static_cast<std::size_t>(count));
    }
    return text;
  }

  /// Closes the connection with a reset.
  void Reset() {
    const linger now{1, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close(std::exchange(descriptor_, -1));
  }

 private:
  Socket(int descriptor, bool) : descriptor_(descriptor) { SetReadTimeout(); }

  void SetReadTimeout() const {
    const timeval timeout{2, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  }

  int descriptor_;
};

/// A server in its own thread that runs one script for each connection, in
/// order.
class ScriptedServer {
 public:
  using Script = std::function<void(Socket)>;

  /// What happens to the listening socket after the last script.
  enum class AfterLastScript { kKeepListening, kStopListening };

  explicit ScriptedServer(
      std::vector<Script> scripts,
      AfterLastScript after_last_script = AfterLastScript::kKeepListening)
      : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address = LoopbackAddress(0);
    bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    socklen_t size = sizeof(address);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    listen(listener_, 16);
    thread_ =
        std::thread([this, after_last_script, scripts = std::move(scripts)] {
          for (const Script& script : scripts) {
            const int accepted = accept(listener_, nullptr, nullptr);
            if (accepted < 0) {
              return;
            }
            script(Socket::Accepted(accepted));
          }
          if (after_last_script == AfterLastScript::kStopListening) {
            shutdown(listener_, SHUT_RDWR);
          }
        });
  }

  ~ScriptedServer() {
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  int listener_;
  std::uint16_t port_ = 0;
  std::thread thread_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_LIBSNIPEWORKS_TEST_SOCKETS_TEST_H_
