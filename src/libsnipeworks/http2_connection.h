#ifndef SNIPEWORKS_LIBSNIPEWORKS_HTTP2_CONNECTION_H_
#define SNIPEWORKS_LIBSNIPEWORKS_HTTP2_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include <nghttp2/nghttp2.h>
#include <uv.h>

#include "snipeworks/peer_transport.h"

namespace snipeworks {

/// What was received on one stream.
struct Http2Message {
  std::string path;
  int status = 0;
  std::string payload;
};

/// One HTTP/2 connection over a libuv TCP handle, as client or server. Deletes
/// itself once its socket is closed.
class Http2Connection {
 public:
  enum class Role { kClient, kServer };

  /// Callbacks to the owner. None runs after on_closed.
  struct Events {
    std::function<void()> on_connected;
    std::function<void(std::int32_t stream, const Http2Message&)> on_message;
    std::function<void(std::int32_t stream)> on_stream_failed;
    std::function<void()> on_closed;
  };

  /// Creates a connection; `traffic` must outlive it.
  static Http2Connection* Create(uv_loop_t* loop,
                                 Role role,
                                 Events events,
                                 PeerTraffic& traffic);

  void Connect(const Address& address);
  /// Accepts a connection from `listener`. Returns false if there is none.
  bool Accept(uv_stream_t* listener);

  /// Sends a request; returns its stream, or a negative number if it cannot be
  /// sent.
  std::int32_t SendRequest(const std::string& path, std::string payload);
  void SendResponse(std::int32_t stream, int status, std::string payload);

  /// Closes the socket; the object is deleted once libuv has closed the handle.
  void Close();

 private:
  struct Outgoing {
    std::string payload;
    std::size_t sent = 0;
  };

  Http2Connection(uv_loop_t* loop,
                  Role role,
                  Events events,
                  PeerTraffic& traffic);
  ~Http2Connection();
  friend struct Http2Callbacks;

  void StartSession();
  void OnRead(const std::uint8_t* data, std::size_t size);
  void Flush();
  nghttp2_data_provider MakeDataProvider(Outgoing& outgoing);

  Role role_;
  Events events_;
  PeerTraffic& traffic_;
  uv_tcp_t socket_{};
  nghttp2_session* session_ = nullptr;
  std::unordered_map<std::int32_t, Http2Message> incoming_;
  std::unordered_map<std::int32_t, std::unique_ptr<Outgoing>> outgoing_;
  bool in_receive_ = false;
  bool closing_ = false;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_LIBSNIPEWORKS_HTTP2_CONNECTION_H_
