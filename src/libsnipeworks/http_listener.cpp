#include "snipeworks/http_listener.h"

#include <arpa/inet.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <uv.h>

#include <algorithm>
#include <array>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <glog/logging.h>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr int kBacklog = 1024;
constexpr std::size_t kReadBufferBytes = std::size_t{64} * 1024;
// Bytes buffered behind a request in progress before reading stops.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{64} * 1024;
constexpr Duration kTimeoutCheckInterval = milliseconds(250);
// Time for a caller to read the last response before the connection is closed,
// which resets it if unread bytes remain.
constexpr Duration kLingerTimeout = milliseconds(1000);
// Callers send their first request as soon as they have connected; this covers
// its transit, including the loss of one packet.
constexpr Duration kFirstRequestWait = milliseconds(500);
// Of a request; a header takes more memory than its text.
constexpr std::size_t kMaxHeaders = 256;
constexpr std::size_t kHeaderOverheadBytes = sizeof(HttpHeader);
// Connections that hold less are not closed for the memory that others use.
constexpr std::size_t kLargeConnectionBytes = std::size_t{64} * 1024;
constexpr const char* kMemoryRetryAfterSeconds = "1";
constexpr int kBadRequestStatus = 400;
constexpr int kUnavailableStatus = 503;
constexpr int kTimeoutStatus = 408;
constexpr int kTooLargeStatus = 413;
constexpr int kHeadersTooLargeStatus = 431;

const char* ReasonPhrase(int status) {
  switch (status) {
#define SNIPEWORKS_REASON(number, name, text) \
  case number:                                \
    return #text;
    HTTP_STATUS_MAP(SNIPEWORKS_REASON)
#undef SNIPEWORKS_REASON
    default:
      return "Unknown";
  }
}

bool HasNoBody(int status) {
  return status < 200 || status == 204 || status == 304;
}

struct QueuedWrite {
  uv_write_t request;
  std::string bytes;
};

}  // namespace

class HttpListener::Impl {
 public:
  Impl(EventLoop& loop, const ListenerLimits& limits, Handlers handlers)
      : loop_(loop),
        limits_(limits),
        handlers_(std::move(handlers)),
        timeout_timer_(loop, [this] { CheckTimeouts(); }) {
    http_parser_settings_init(&callbacks_);
    callbacks_.on_message_begin = [](http_parser* parser) {
      ConnectionOf(parser).OnBegin();
      return 0;
    };
    callbacks_.on_url = [](http_parser* parser, const char* at,
                           std::size_t size) {
      return ConnectionOf(parser).OnUrl({at, size});
    };
    callbacks_.on_header_field = [](http_parser* parser, const char* at,
                                    std::size_t size) {
      return ConnectionOf(parser).OnHeaderName({at, size});
    };
    callbacks_.on_header_value = [](http_parser* parser, const char* at,
                                    std::size_t size) {
      return ConnectionOf(parser).OnHeaderValue({at, size});
    };
    callbacks_.on_headers_complete = [](http_parser* parser) {
      return ConnectionOf(parser).OnHeadersComplete();
    };
    callbacks_.on_body = [](http_parser* parser, const char* at,
                            std::size_t size) {
      return ConnectionOf(parser).OnBody({at, size});
    };
    callbacks_.on_message_complete = [](http_parser* parser) {
      ConnectionOf(parser).OnComplete();
      return 0;
    };
  }

  ~Impl() {
    StopListening();
    while (!connections_.empty()) {
      Connection* connection = connections_.begin()->second;
      connection->exchange = 0;
      Close(*connection);
    }
  }

  Result<void> Listen(const Address& address) {
    listener_ = new uv_tcp_t;
    uv_tcp_init(loop_.raw(), listener_);
    listener_->data = this;
    sockaddr_in bind_address{};
    uv_ip4_addr(address.ip.c_str(), address.port, &bind_address);
    int error = uv_tcp_bind(
        listener_, reinterpret_cast<const sockaddr*>(&bind_address), 0);
    if (error == 0) {
      error =
          uv_listen(reinterpret_cast<uv_stream_t*>(listener_), kBacklog,
                    [](uv_stream_t* stream, int status) {
                      if (status == 0) {
                        static_cast<Impl*>(stream->data)->AcceptConnection();
                      }
                    });
    }
    if (error != 0) {
      StopListening();
      return Fail(
          ErrorKind::kInternal,
          "cannot listen on " + address.ToString() + ": " + uv_strerror(error));
    }
    timeout_timer_.Set(kTimeoutCheckInterval);
    return {};
  }

  void SendResponse(ExchangeId id, const HttpResponse& response) {
    auto found = exchanges_.find(id);
    if (found == exchanges_.end()) {
      return;
    }
    Connection& connection = *found->second;
    exchanges_.erase(found);
    connection.exchange = 0;
    Respond(connection, response);
  }

  void SetLimits(const ListenerLimits& limits) { limits_ = limits; }
  void CloseAfterResponses() { close_after_responses_ = true; }

  // Closing the listener resets connections in the accept queue, and closing a
  // connection with unread bytes resets it, so both are drained first.
  void StopAccepting() {
    if (listener_ == nullptr) {
      return;
    }
    AcceptQueuedConnections();
    StopListening();
    stopping_ = true;
    close_after_responses_ = true;
    CloseIdleConnections(MonotonicNow());
  }

  std::size_t open_exchanges() const { return exchanges_.size(); }
  std::size_t unfinished_connections() const {
    const Instant now = MonotonicNow();
    return static_cast<std::size_t>(
        std::ranges::count_if(connections_, [&](const auto& entry) {
          const Connection& connection = *entry.second;
          return connection.exchange != 0 || connection.in_request ||
                 !connection.pipelined.empty() || connection.HasUnsentBytes() ||
                 connection.AwaitsFirstRequest(now);
        }));
  }
  std::size_t connections() const { return connections_.size(); }
  std::size_t max_connections_seen() const { return max_connections_seen_; }

 private:
  // One caller's connection. `parser` holds the state of the request being
  // read; `pipelined` holds the bytes that follow it.
  struct Connection {
    uv_tcp_t handle;
    http_parser parser;
    Impl* owner = nullptr;
    std::uint64_t id = 0;
    ExchangeId exchange = 0;
    HttpRequest request;
    std::string pipelined;
    std::size_t header_bytes = 0;
    std::size_t held_bytes = 0;    // Of the request and what follows it.
    std::size_t unsent_bytes = 0;  // Of responses.
    bool value_seen = false;
    bool reading = false;
    bool in_request = false;
    bool in_body = false;
    bool complete = false;
    bool keep_alive = true;
    bool is_head = false;
    bool closing = false;
    bool lingering = false;
    bool received_any = false;  // Any byte has been read.
    int reject_status = 0;      // Status for a request that is not read.
    const char* reject_reason = nullptr;
    Instant since{};  // Start of the request, idle or lingering time.

    bool IsIdle() const { return exchange == 0 && !in_request && !lingering; }

    // True if the first request may be in transit.
    bool AwaitsFirstRequest(Instant now) const {
      return !received_any && !lingering && now - since < kFirstRequestWait;
    }

    bool HasUnsentBytes() const {
      return uv_stream_get_write_queue_size(
                 reinterpret_cast<const uv_stream_t*>(&handle)) > 0;
    }

    bool HasUnreadBytes() const {
      uv_os_fd_t socket = -1;
      int bytes = 0;
      return uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle),
                       &socket) == 0 &&
             ioctl(socket, FIONREAD, &bytes) == 0 && bytes > 0;
    }

    void Hold(std::size_t bytes) {
      held_bytes += bytes;
      owner->buffered_bytes_ += bytes;
    }

    void Release(std::size_t bytes) {
      held_bytes -= bytes;
      owner->buffered_bytes_ -= bytes;
    }

    void OnBegin() {
      request = HttpRequest{};
      header_bytes = 0;
      value_seen = false;
      complete = false;
      in_request = true;
      in_body = false;
      since = MonotonicNow();
    }

    int CountHeaderBytes(std::size_t bytes) {
      header_bytes += bytes;
      Hold(bytes);
      if (header_bytes <= owner->limits_.max_header_bytes &&
          request.headers.size() <= kMaxHeaders) {
        return 0;
      }
      reject_status = kHeadersTooLargeStatus;
      return 1;
    }

    int OnUrl(std::string_view piece) {
      request.target.append(piece);
      return CountHeaderBytes(piece.size());
    }

    int OnHeaderName(std::string_view piece) {
      if (request.headers.empty() || value_seen) {
        request.headers.emplace_back();
        Hold(kHeaderOverheadBytes);
        value_seen = false;
      }
      request.headers.back().name.append(piece);
      return CountHeaderBytes(piece.size());
    }

    int OnHeaderValue(std::string_view piece) {
      if (!request.headers.empty()) {
        request.headers.back().value.append(piece);
      }
      value_seen = true;
      return CountHeaderBytes(piece.size());
    }

    int OnHeadersComplete() {
      in_body = true;
      // Another server may trim such a name, and read another length from it.
      if (!std::ranges::all_of(request.headers, IsHeaderName,
                               &HttpHeader::name)) {
        reject_status = kBadRequestStatus;
        reject_reason = "a header name is malformed";
        return -1;
      }
      const bool has_length =
          parser.content_length != 0 &&
          parser.content_length != static_cast<std::uint64_t>(-1);
      if (has_length && parser.content_length > owner->limits_.max_body_bytes) {
        reject_status = kTooLargeStatus;
        return -1;
      }
      const bool has_body = has_length || ((parser.flags & F_CHUNKED) != 0);
      if (has_body &&
          HeaderListContains(request.Header("Expect"), "100-continue")) {
        owner->Write(*this, "HTTP/1.1 100 Continue\r\n\r\n");
      }
      return 0;
    }

    int OnBody(std::string_view piece) {
      if (request.body.size() + piece.size() > owner->limits_.max_body_bytes) {
        reject_status = kTooLargeStatus;
        return 1;
      }
      const std::size_t before = request.body.capacity();
      request.body.append(piece);
      Hold(request.body.capacity() - before);
      return 0;
    }

    void OnComplete() {
      complete = true;
      keep_alive = http_should_keep_alive(&parser) != 0;
      http_parser_pause(&parser, 1);
    }
  };

  static Connection& ConnectionOf(http_parser* parser) {
    return *static_cast<Connection*>(parser->data);
  }

  void StopListening() {
    if (listener_ != nullptr) {
      uv_close(reinterpret_cast<uv_handle_t*>(listener_),
               [](uv_handle_t* handle) {
                 delete reinterpret_cast<uv_tcp_t*>(handle);
               });
      listener_ = nullptr;
    }
  }

  // Accepts a connection with `fill_handle`, which fills a libuv handle.
  template <typename FillHandle>
  void Accept(const FillHandle& fill_handle) {
    auto* connection = new Connection;
    connection->owner = this;
    uv_tcp_init(loop_.raw(), &connection->handle);
    connection->handle.data = connection;
    const int accepted = fill_handle(connection->handle);
    if (accepted != 0) {
      LOG(WARNING) << "event=accept_failed reason=\"" << uv_strerror(accepted)
                   << "\"";
      uv_close(reinterpret_cast<uv_handle_t*>(&connection->handle),
               [](uv_handle_t* handle) {
                 delete static_cast<Connection*>(handle->data);
               });
      return;
    }
    if (limits_.max_connections != 0 &&
        connections_.size() >= limits_.max_connections) {
      uv_tcp_close_reset(&connection->handle, [](uv_handle_t* handle) {
        delete static_cast<Connection*>(handle->data);
      });
      return;
    }
    uv_tcp_nodelay(&connection->handle, 1);
    http_parser_init(&connection->parser, HTTP_REQUEST);
    connection->parser.data = connection;
    connection->id = next_connection_++;
    connection->since = MonotonicNow();
    connections_[connection->id] = connection;
    max_connections_seen_ =
        std::max(max_connections_seen_, connections_.size());
    StartReading(*connection);
  }

  void AcceptConnection() {
    Accept([this](uv_tcp_t& handle) {
      return uv_accept(reinterpret_cast<uv_stream_t*>(listener_),
                       reinterpret_cast<uv_stream_t*>(&handle));
    });
  }

  // libuv accepts only from its own callback, which no longer runs.
  void AcceptQueuedConnections() {
    uv_os_fd_t listening = -1;
    if (uv_fileno(reinterpret_cast<const uv_handle_t*>(listener_),
                  &listening) != 0) {
      return;
    }
    while (true) {
      const int socket =
          accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (socket < 0) {
        return;
      }
      Accept([&](uv_tcp_t& handle) { return uv_tcp_open(&handle, socket); });
    }
  }

  void CloseIdleConnections(Instant now) {
    std::vector<Connection*> closable;
    for (const auto& [id, connection] : connections_) {
      if (connection->IsIdle() && !connection->AwaitsFirstRequest(now) &&
          !connection->HasUnreadBytes()) {
        closable.push_back(connection);
      }
    }
    for (Connection* connection : closable) {
      Linger(*connection);
    }
  }

  void StartReading(Connection& connection) {
    if (connection.reading || connection.closing) {
      return;
    }
    connection.reading = true;
    uv_read_start(
        reinterpret_cast<uv_stream_t*>(&connection.handle),
        [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
          Impl& owner = *static_cast<Connection*>(handle->data)->owner;
          *buffer = uv_buf_init(owner.buffer_.data(),
                                static_cast<unsigned>(owner.buffer_.size()));
        },
        [](uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
          auto& connection = *static_cast<Connection*>(stream->data);
          if (size > 0) {
            connection.owner->OnData(
                connection, {buffer->base, static_cast<std::size_t>(size)});
          } else if (size < 0) {
            connection.owner->Close(connection);
          }
        });
  }

  void OnData(Connection& connection, std::string_view bytes) {
    if (connection.lingering) {
      return;
    }
    connection.received_any = true;
    if (connection.exchange == 0 && connection.pipelined.empty()) {
      Parse(connection, bytes);
    } else {
      AppendPipelined(connection, bytes);
      if (connection.pipelined.size() > kMaxPipelinedBytes) {
        StopReading(connection);
      }
    }
    KeepToMemoryLimit();
  }

  void AppendPipelined(Connection& connection, std::string_view bytes) {
    connection.pipelined.append(bytes);
    connection.Hold(bytes.size());
  }

  void ResumeReading(Connection& connection) {
    if (connection.pipelined.size() <= kMaxPipelinedBytes &&
        connection.unsent_bytes == 0) {
      StartReading(connection);
    }
  }

  static void StopReading(Connection& connection) {
    connection.reading = false;
    uv_read_stop(reinterpret_cast<uv_stream_t*>(&connection.handle));
  }

  void KeepToMemoryLimit() {
    while (buffered_bytes_ > limits_.max_buffered_bytes) {
      Connection* request = Largest([](const Connection& connection) {
        return connection.in_request ? connection.held_bytes : 0;
      });
      Connection* unread = Largest(
          [](const Connection& connection) { return connection.unsent_bytes; });
      if (request != nullptr) {
        LOG_EVERY_T(WARNING, 1)
            << "event=request_refused_for_memory held=" << request->held_bytes;
        RejectRequest(*request, kUnavailableStatus,
                      "too many bytes of requests are held");
      } else if (unread != nullptr) {
        LOG_EVERY_T(WARNING, 1)
            << "event=caller_does_not_read unsent=" << unread->unsent_bytes;
        Close(*unread);
      } else {
        return;
      }
    }
  }

  // The connection with the most bytes, or null if none has many.
  template <typename BytesOf>
  Connection* Largest(const BytesOf& bytes_of) const {
    Connection* largest = nullptr;
    std::size_t most = kLargeConnectionBytes;
    for (const auto& [id, connection] : connections_) {
      if (const std::size_t bytes = bytes_of(*connection); bytes >= most) {
        largest = connection;
        most = bytes;
      }
    }
    return largest;
  }

  // Parses up to the end of one request; the rest waits in `pipelined`.
  void Parse(Connection& connection, std::string_view bytes) {
    const std::size_t used = http_parser_execute(
        &connection.parser, &callbacks_, bytes.data(), bytes.size());
    const auto fault = HTTP_PARSER_ERRNO(&connection.parser);
    if (connection.closing) {
      return;
    }
    if (connection.complete) {
      http_parser_pause(&connection.parser, 0);
      connection.complete = false;
      connection.in_request = false;
      // Bytes after a request to switch protocols are not HTTP.
      const bool switched = connection.parser.upgrade != 0;
      connection.keep_alive = connection.keep_alive && !switched;
      if (!switched) {
        AppendPipelined(connection, bytes.substr(std::min(used, bytes.size())));
      }
      DispatchRequest(connection);
      return;
    }
    if (fault == HPE_OK) {
      return;
    }
    int status = connection.reject_status;
    if (status == 0) {
      status = fault == HPE_HEADER_OVERFLOW ? kHeadersTooLargeStatus
                                            : kBadRequestStatus;
    }
    RejectRequest(connection, status,
                  connection.reject_reason != nullptr
                      ? connection.reject_reason
                      : http_errno_description(fault));
  }

  void RejectRequest(Connection& connection, int status, const char* reason) {
    connection.keep_alive = false;
    connection.in_request = false;
    connection.is_head = false;
    connection.request.headers.clear();
    // Frees the memory, as an assignment does not.
    std::string().swap(connection.request.body);
    HttpResponse response;
    response.status = status;
    response.content_type = "text/plain";
    response.body = std::string(reason) + "\n";
    if (status == kUnavailableStatus) {
      response.headers = {{"Retry-After", kMemoryRetryAfterSeconds}};
    }
    Respond(connection, response);
  }

  void DispatchRequest(Connection& connection) {
    connection.is_head = connection.parser.method == HTTP_HEAD;
    HttpRequest request = std::move(connection.request);
    connection.request = HttpRequest{};
    request.method =
        http_method_str(static_cast<http_method>(connection.parser.method));
    request.path = request.target.substr(0, request.target.find('?'));
    request.connection_id = connection.id;
    const ExchangeId id = next_exchange_++;
    connection.exchange = id;
    exchanges_[id] = &connection;
    handlers_.on_request(id, std::move(request));
  }

  void Respond(Connection& connection, const HttpResponse& response) {
    const bool close =
        response.close || close_after_responses_ || !connection.keep_alive;
    std::string head;
    head.reserve(256 + response.body.size());
    head += "HTTP/1.1 ";
    head += std::to_string(response.status);
    head += ' ';
    head += ReasonPhrase(response.status);
    head += "\r\n";
    if (!response.content_type.empty()) {
      head += "Content-Type: " + response.content_type + "\r\n";
    }
    for (const HttpHeader& header : response.headers) {
      head += header.name;
      head += ": ";
      head += header.value;
      head += "\r\n";
    }
    if (!HasNoBody(response.status)) {
      head += "Content-Length: ";
      head += std::to_string(
          response.declared_length.value_or(response.body.size()));
      head += "\r\n";
    }
    if (close) {
      head += "Connection: close\r\n";
    }
    head += "\r\n";
    if (!connection.is_head && !HasNoBody(response.status)) {
      head += response.body;
    }
    connection.since = MonotonicNow();
    connection.Release(connection.held_bytes - connection.pipelined.size());
    Write(connection, std::move(head));
    if (connection.closing) {
      return;
    }
    if (close) {
      Linger(connection);
    } else if (connection.unsent_bytes > 0) {
      // A caller that does not read its responses gets no further ones.
      StopReading(connection);
    } else {
      ReadNextRequest(connection);
    }
  }

  void ReadNextRequest(Connection& connection) {
    ResumeReading(connection);
    if (!connection.pipelined.empty()) {
      // Posted to the loop, so that pipelined requests with synchronous
      // responses do not recurse.
      loop_.Post([this, id = connection.id] { ParsePipelined(id); });
    }
  }

  void OnWritten(Connection& connection, std::size_t bytes) {
    connection.unsent_bytes -= bytes;
    buffered_bytes_ -= bytes;
    const bool idle = connection.exchange == 0 && !connection.in_request;
    if (connection.unsent_bytes == 0 && idle && !connection.lingering) {
      ReadNextRequest(connection);
    }
  }

  void ParsePipelined(std::uint64_t id) {
    auto found = connections_.find(id);
    if (found == connections_.end() || found->second->exchange != 0 ||
        found->second->lingering) {
      return;
    }
    Connection& connection = *found->second;
    const std::string bytes = std::exchange(connection.pipelined, {});
    connection.Release(bytes.size());
    Parse(connection, bytes);
    ResumeReading(connection);
  }

  void Write(Connection& connection, std::string bytes) {
    auto* stream = reinterpret_cast<uv_stream_t*>(&connection.handle);
    uv_buf_t buffer =
        uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
    const int written = uv_try_write(stream, &buffer, 1);
    if (written == static_cast<int>(bytes.size())) {
      return;
    }
    if (written < 0 && written != UV_EAGAIN) {
      Close(connection);
      return;
    }
    auto* write = new QueuedWrite{{}, std::move(bytes)};
    write->request.data = write;
    const std::size_t done =
        written > 0 ? static_cast<std::size_t>(written) : 0;
    buffer = uv_buf_init(write->bytes.data() + done,
                         static_cast<unsigned>(write->bytes.size() - done));
    const int queued = uv_write(
        &write->request, stream, &buffer, 1, [](uv_write_t* request, int) {
          auto* written = static_cast<QueuedWrite*>(request->data);
          auto& writer = *static_cast<Connection*>(request->handle->data);
          if (!writer.closing) {
            writer.owner->OnWritten(writer, written->bytes.size());
          }
          delete written;
        });
    if (queued != 0) {
      delete write;
      Close(connection);
      return;
    }
    connection.unsent_bytes += write->bytes.size();
    buffered_bytes_ += write->bytes.size();
  }

  // Sends queued bytes and the end of the stream, then waits for the caller to
  // close: closing with unread bytes would reset the connection and lose the
  // response.
  void Linger(Connection& connection) {
    connection.lingering = true;
    connection.Release(connection.pipelined.size());
    connection.pipelined.clear();
    StartReading(connection);
    auto* shutdown = new uv_shutdown_t;
    const int started = uv_shutdown(
        shutdown, reinterpret_cast<uv_stream_t*>(&connection.handle),
        [](uv_shutdown_t* request, int) {
          // The caller's time to read starts once everything has been sent.
          static_cast<Connection*>(request->handle->data)->since =
              MonotonicNow();
          delete request;
        });
    if (started != 0) {
      delete shutdown;
      Close(connection);
    }
  }

  void Close(Connection& connection) {
    if (std::exchange(connection.closing, true)) {
      return;
    }
    connections_.erase(connection.id);
    buffered_bytes_ -= connection.held_bytes + connection.unsent_bytes;
    const ExchangeId exchange = std::exchange(connection.exchange, 0);
    uv_close(reinterpret_cast<uv_handle_t*>(&connection.handle),
             [](uv_handle_t* handle) {
               delete static_cast<Connection*>(handle->data);
             });
    if (exchange != 0) {
      exchanges_.erase(exchange);
      handlers_.on_disconnect(exchange);
    }
  }

  void CheckTimeouts() {
    const Instant now = MonotonicNow();
    std::vector<Connection*> timed_out;
    std::vector<Connection*> expired;
    for (const auto& [id, connection] : connections_) {
      const Duration age = now - connection->since;
      const Duration linger_timeout = connection->HasUnsentBytes()
                                          ? limits_.request_timeout
                                          : kLingerTimeout;
      if (connection->lingering
              ? age > linger_timeout
              : connection->IsIdle() && age > limits_.idle_timeout) {
        expired.push_back(connection);
      } else if (connection->in_request &&
                 age > (connection->in_body ? limits_.request_timeout
                                            : limits_.header_timeout)) {
        timed_out.push_back(connection);
      }
    }
    for (Connection* connection : expired) {
      Close(*connection);
    }
    for (Connection* connection : timed_out) {
      RejectRequest(*connection, kTimeoutStatus, "the request took too long");
    }
    if (stopping_) {
      CloseIdleConnections(now);
    }
    timeout_timer_.Set(kTimeoutCheckInterval);
  }

  EventLoop& loop_;
  ListenerLimits limits_;
  Handlers handlers_;
  http_parser_settings callbacks_{};
  uv_tcp_t* listener_ = nullptr;
  std::unordered_map<std::uint64_t, Connection*> connections_;
  std::unordered_map<ExchangeId, Connection*> exchanges_;
  std::size_t max_connections_seen_ = 0;
  std::size_t buffered_bytes_ = 0;
  std::uint64_t next_connection_ = 1;
  ExchangeId next_exchange_ = 1;
  bool close_after_responses_ = false;
  bool stopping_ = false;
  std::array<char, kReadBufferBytes> buffer_;
  LoopTimer timeout_timer_;
};

Result<std::unique_ptr<HttpListener>> HttpListener::Start(
    EventLoop& loop,
    const Address& address,
    const ListenerLimits& limits,
    Handlers handlers) {
  auto impl = std::make_unique<Impl>(loop, limits, std::move(handlers));
  if (auto listening = impl->Listen(address); !listening) {
    return tl::unexpected(listening.error());
  }
  return std::unique_ptr<HttpListener>(new HttpListener(std::move(impl)));
}

HttpListener::HttpListener(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

HttpListener::~HttpListener() = default;

void HttpListener::SendResponse(ExchangeId exchange,
                                const HttpResponse& response) {
  impl_->SendResponse(exchange, response);
}

void HttpListener::SetLimits(const ListenerLimits& limits) {
  impl_->SetLimits(limits);
}

void HttpListener::CloseAfterResponses() {
  impl_->CloseAfterResponses();
}

void HttpListener::StopAccepting() {
  impl_->StopAccepting();
}

std::size_t HttpListener::open_exchanges() const {
  return impl_->open_exchanges();
}

std::size_t HttpListener::unfinished_connections() const {
  return impl_->unfinished_connections();
}

std::size_t HttpListener::connections() const {
  return impl_->connections();
}

std::size_t HttpListener::max_connections_seen() const {
  return impl_->max_connections_seen();
}

}  // namespace snipeworks
