#include "http2_connection.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace snipeworks {

namespace {

constexpr std::size_t kMaxPayloadBytes = std::size_t{64} * 1024 * 1024;
constexpr std::uint32_t kMaxConcurrentStreams = 10000;
constexpr std::uint32_t kFlowControlWindowBytes = 16 * 1024 * 1024;
constexpr std::size_t kReadBufferBytes = std::size_t{64} * 1024;

nghttp2_nv Header(const char* name, const std::string& value) {
  // NGHTTP2_NV_FLAG_NONE makes nghttp2 copy both strings.
  return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name)),
          reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())),
          std::strlen(name), value.size(), NGHTTP2_NV_FLAG_NONE};
}

struct Write {
  uv_write_t request;
  std::string data;
};

}  // namespace

// The callbacks of nghttp2 and libuv.
struct Http2Callbacks {
  static Http2Connection& ConnectionOf(void* user) {
    return *static_cast<Http2Connection*>(user);
  }

  static int OnHeader(nghttp2_session*,
                      const nghttp2_frame* frame,
                      const std::uint8_t* name,
                      std::size_t name_size,
                      const std::uint8_t* value,
                      std::size_t value_size,
                      std::uint8_t,
                      void* user) {
    Http2Message& message = ConnectionOf(user).incoming_[frame->hd.stream_id];
    const std::string_view key(reinterpret_cast<const char*>(name), name_size);
    std::string text(reinterpret_cast<const char*>(value), value_size);
    if (key == ":path") {
      message.path = std::move(text);
    } else if (key == ":status") {
      message.status = std::atoi(text.c_str());
    }
    return 0;
  }

  static int OnData(nghttp2_session* session,
                    std::uint8_t,
                    std::int32_t stream,
                    const std::uint8_t* data,
                    std::size_t size,
                    void* user) {
    std::string& payload = ConnectionOf(user).incoming_[stream].payload;
    if (payload.size() + size > kMaxPayloadBytes) {
      nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, stream,
                                NGHTTP2_ENHANCE_YOUR_CALM);
      return 0;
    }
    payload.append(reinterpret_cast<const char*>(data), size);
    return 0;
  }

  static int OnFrame(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    Http2Connection& connection = ConnectionOf(user);
    const bool ends_stream = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    const bool is_message_frame =
        frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (!ends_stream || !is_message_frame) {
      return 0;
    }
    auto node = connection.incoming_.extract(frame->hd.stream_id);
    if (!node.empty()) {
      connection.events_.on_message(frame->hd.stream_id, node.mapped());
    }
    return 0;
  }

  static int OnStreamClose(nghttp2_session*,
                           std::int32_t stream,
                           std::uint32_t error,
                           void* user) {
    Http2Connection& connection = ConnectionOf(user);
    connection.incoming_.erase(stream);
    connection.outgoing_.erase(stream);
    if (error != NGHTTP2_NO_ERROR && connection.events_.on_stream_failed) {
      connection.events_.on_stream_failed(stream);
    }
    return 0;
  }

  static ssize_t ReadPayload(nghttp2_session*,
                             std::int32_t,
                             std::uint8_t* buffer,
                             std::size_t size,
                             std::uint32_t* flags,
                             nghttp2_data_source* source,
                             void*) {
    auto* outgoing = static_cast<Http2Connection::Outgoing*>(source->ptr);
    const std::size_t left = outgoing->payload.size() - outgoing->sent;
    const std::size_t count = std::min(size, left);
    std::memcpy(buffer, outgoing->payload.data() + outgoing->sent, count);
    outgoing->sent += count;
    if (outgoing->sent == outgoing->payload.size()) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(count);
  }

  static void OnAlloc(uv_handle_t*, std::size_t, uv_buf_t* buffer) {
    thread_local std::array<char, kReadBufferBytes> space;
    *buffer = uv_buf_init(space.data(), space.size());
  }

  static void OnRead(uv_stream_t* stream,
                     ssize_t count,
                     const uv_buf_t* buffer) {
    Http2Connection& connection = ConnectionOf(stream->data);
    if (count < 0) {
      connection.Close();
      return;
    }
    connection.OnRead(reinterpret_cast<const std::uint8_t*>(buffer->base),
                      static_cast<std::size_t>(count));
  }

  static void OnConnect(uv_connect_t* request, int status) {
    Http2Connection& connection = ConnectionOf(request->data);
    delete request;
    if (status < 0 || connection.closing_) {
      connection.Close();
      return;
    }
    connection.StartSession();
    connection.events_.on_connected();
    connection.Flush();
  }

  static void OnWritten(uv_write_t* request, int status) {
    auto* write = static_cast<Write*>(request->data);
    if (status < 0) {
      ConnectionOf(request->handle->data).Close();
    }
    delete write;
  }

  static void OnSocketClosed(uv_handle_t* handle) {
    delete static_cast<Http2Connection*>(handle->data);
  }
};

Http2Connection* Http2Connection::Create(uv_loop_t* loop,
                                         Role role,
                                         Events events,
                                         PeerTraffic& traffic) {
  return new Http2Connection(loop, role, std::move(events), traffic);
}

Http2Connection::Http2Connection(uv_loop_t* loop,
                                 Role role,
                                 Events events,
                                 PeerTraffic& traffic)
    : role_(role), events_(std::move(events)), traffic_(traffic) {
  uv_tcp_init(loop, &socket_);
  uv_tcp_nodelay(&socket_, 1);
  socket_.data = this;
}

Http2Connection::~Http2Connection() {
  if (session_ != nullptr) {
    nghttp2_session_del(session_);
  }
}

void Http2Connection::Connect(const Address& address) {
  sockaddr_in target{};
  uv_ip4_addr(address.ip.c_str(), address.port, &target);
  auto* request = new uv_connect_t;
  request->data = this;
  const int started = uv_tcp_connect(request, &socket_,
                                     reinterpret_cast<const sockaddr*>(&target),
                                     &Http2Callbacks::OnConnect);
  if (started < 0) {
    delete request;
    Close();
  }
}

bool Http2Connection::Accept(uv_stream_t* listener) {
  if (uv_accept(listener, reinterpret_cast<uv_stream_t*>(&socket_)) < 0) {
    return false;
  }
  StartSession();
  Flush();
  return true;
}

void Http2Connection::StartSession() {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_header_callback(callbacks,
                                                   &Http2Callbacks::OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
      callbacks, &Http2Callbacks::OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(
      callbacks, &Http2Callbacks::OnFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(
      callbacks, &Http2Callbacks::OnStreamClose);
  if (role_ == Role::kClient) {
    nghttp2_session_client_new(&session_, callbacks, this);
  } else {
    nghttp2_session_server_new(&session_, callbacks, this);
  }
  nghttp2_session_callbacks_del(callbacks);
  const std::array<nghttp2_settings_entry, 2> settings = {
      {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxConcurrentStreams},
       {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kFlowControlWindowBytes}}};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        kFlowControlWindowBytes);
  uv_read_start(reinterpret_cast<uv_stream_t*>(&socket_),
                &Http2Callbacks::OnAlloc, &Http2Callbacks::OnRead);
}

void Http2Connection::OnRead(const std::uint8_t* data, std::size_t size) {
  traffic_.bytes_received += size;
  // nghttp2_session_mem_send must not be called from nghttp2's callbacks.
  in_receive_ = true;
  const ssize_t used = nghttp2_session_mem_recv(session_, data, size);
  in_receive_ = false;
  if (used < 0) {
    Close();
    return;
  }
  Flush();
}

void Http2Connection::Flush() {
  if (closing_ || in_receive_ || session_ == nullptr) {
    return;
  }
  std::string pending;
  const std::uint8_t* data = nullptr;
  ssize_t count = 0;
  while ((count = nghttp2_session_mem_send(session_, &data)) > 0) {
    pending.append(reinterpret_cast<const char*>(data),
                   static_cast<std::size_t>(count));
  }
  if (pending.empty()) {
    return;
  }
  traffic_.bytes_sent += pending.size();
  auto* write = new Write{{}, std::move(pending)};
  write->request.data = write;
  uv_buf_t buffer = uv_buf_init(write->data.data(),
                                static_cast<unsigned>(write->data.size()));
  const int started =
      uv_write(&write->request, reinterpret_cast<uv_stream_t*>(&socket_),
               &buffer, 1, &Http2Callbacks::OnWritten);
  if (started < 0) {
    delete write;
    Close();
  }
}

nghttp2_data_provider Http2Connection::MakeDataProvider(Outgoing& outgoing) {
  nghttp2_data_provider provider{};
  provider.source.ptr = &outgoing;
  provider.read_callback = &Http2Callbacks::ReadPayload;
  return provider;
}

std::int32_t Http2Connection::SendRequest(const std::string& path,
                                          std::string payload) {
  if (closing_ || session_ == nullptr) {
    return -1;
  }
  auto outgoing = std::make_unique<Outgoing>(Outgoing{std::move(payload)});
  const nghttp2_data_provider provider = MakeDataProvider(*outgoing);
  const std::string method = "POST";
  const std::string scheme = "http";
  const std::string authority = "snipeworks";
  const std::array headers = {
      Header(":method", method), Header(":scheme", scheme),
      Header(":authority", authority), Header(":path", path)};
  const std::int32_t stream = nghttp2_submit_request(
      session_, nullptr, headers.data(), headers.size(), &provider, nullptr);
  if (stream >= 0) {
    outgoing_[stream] = std::move(outgoing);
    Flush();
  }
  return stream;
}

void Http2Connection::SendResponse(std::int32_t stream,
                                   int status,
                                   std::string payload) {
  if (closing_ || session_ == nullptr) {
    return;
  }
  auto outgoing = std::make_unique<Outgoing>(Outgoing{std::move(payload)});
  const nghttp2_data_provider provider = MakeDataProvider(*outgoing);
  const std::string status_text = std::to_string(status);
  const std::array headers = {Header(":status", status_text)};
  outgoing_[stream] = std::move(outgoing);
  nghttp2_submit_response(session_, stream, headers.data(), headers.size(),
                          &provider);
  Flush();
}

void Http2Connection::Close() {
  if (std::exchange(closing_, true)) {
    return;
  }
  uv_close(reinterpret_cast<uv_handle_t*>(&socket_),
           &Http2Callbacks::OnSocketClosed);
  if (events_.on_closed) {
    events_.on_closed();
  }
}

}  // namespace snipeworks
