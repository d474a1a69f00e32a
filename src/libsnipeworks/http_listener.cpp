#include "snipeworks/http_listener.h"

#include <arpa/inet.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <uv.h>

#include <algorithm>
#include <array>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <glog/logging.h>

#include "http_listener_state.h"
#include "http_listener_timeouts.h"
#include "http_listener_writer.h"
#include "http_response_text.h"

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr int kBacklog = 1024;
// A connection reads at most this much in one iteration of the loop, so that
// clients with much to parse do not hold up the others.
constexpr std::size_t kReadBufferBytes = std::size_t{16} * 1024;
// Bytes buffered behind a request in progress before reading stops.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{16} * 1024;
constexpr Duration kTimeoutCheckInterval = milliseconds(250);
constexpr const char* kMemoryRetryAfterSeconds = "1";
constexpr int kBadRequestStatus = 400;
constexpr int kUnavailableStatus = 503;
constexpr int kTimeoutStatus = 408;
constexpr int kHeadersTooLargeStatus = 431;

}  // namespace

class HttpListener::Impl : public ClientListener {
 public:
  Impl(EventLoop& loop,
       const ListenerLimits& limits,
       Handlers handlers,
       ClientLimiter* clients)
      : loop_(loop),
        limits_(limits),
        handlers_(std::move(handlers)),
        callbacks_(ListenerParserCallbacks()),
        own_clients_(clients == nullptr
                         ? std::make_unique<ClientLimiter>(loop, ClientLimits{})
                         : nullptr),
        clients_(clients == nullptr ? *own_clients_ : *clients),
        timeout_timer_(loop, [this] { CheckTimeouts(); }) {
    clients_.Add(*this);
  }

  ~Impl() override {
    clients_.Remove(*this);
    StopListening();
    while (!connections_.empty()) {
      Connection* connection = connections_.begin()->second;
      connection->exchange = 0;
      Close(*connection);
    }
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  bool TurnAway(ClientId client) override {
    auto found = connections_.find(client);
    if (found == connections_.end()) {
      return false;
    }
    if (found->second->in_request) {
      RejectRequest(*found->second, kUnavailableStatus,
                    "too many bytes of requests are held");
    } else {
      Close(*found->second);
    }
    return true;
  }

  bool Disconnect(ClientId client) override {
    auto found = connections_.find(client);
    if (found == connections_.end()) {
      return false;
    }
    Close(*found->second);
    return true;
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
    clients_.Enforce();
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
  using Connection = ListenerConnection;

  static Impl& OwnerOf(const Connection& connection) {
    return *static_cast<Impl*>(connection.owner);
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
    if ((limits_.max_connections != 0 &&
         connections_.size() >= limits_.max_connections) ||
        !clients_.MakeRoom()) {
      uv_tcp_close_reset(&connection->handle, [](uv_handle_t* handle) {
        delete static_cast<Connection*>(handle->data);
      });
      return;
    }
    uv_tcp_nodelay(&connection->handle, 1);
    http_parser_init(&connection->parser, HTTP_REQUEST);
    connection->parser.data = connection;
    connection->limits = &limits_;
    connection->handlers = &handlers_;
    connection->since = MonotonicNow();
    connection->next_sent_after = loop_.events_since();
    connection->budget = &clients_.budget();
    connection->account = &connection->budget->Open(connection->since);
    connections_[connection->id()] = connection;
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
          connection->pipelined.empty() && !connection->HasUnreadBytes()) {
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
          auto& connection = *static_cast<Connection*>(handle->data);
          if (std::exchange(connection.pauses, false)) {
            // Ends the reading of this iteration.
            *buffer = uv_buf_init(nullptr, 0);
            return;
          }
          Impl& owner = OwnerOf(connection);
          *buffer = uv_buf_init(owner.buffer_.data(),
                                static_cast<unsigned>(owner.buffer_.size()));
        },
        [](uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
          auto& connection = *static_cast<Connection*>(stream->data);
          if (size > 0) {
            const auto bytes = static_cast<std::size_t>(size);
            connection.pauses = bytes == kReadBufferBytes;
            OwnerOf(connection).OnData(connection, {buffer->base, bytes});
          } else if (size < 0 && size != UV_ENOBUFS) {
            OwnerOf(connection).Close(connection);
          }
        });
  }

  void OnData(Connection& connection, std::string_view bytes) {
    if (connection.lingering) {
      return;
    }
    connection.received_any = true;
    connection.budget->OnMoved(MonotonicNow(), *connection.account,
                               bytes.size());
    if (connection.exchange == 0 && connection.pipelined.empty()) {
      Parse(connection, bytes);
    } else {
      connection.AppendPipelined(bytes);
      if (connection.pipelined.size() > kMaxPipelinedBytes) {
        StopReading(connection);
      }
    }
    clients_.Enforce();
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

  // Parses up to the end of one request; the rest waits in `pipelined`.
  void Parse(Connection& connection, std::string_view bytes) {
    if (!connection.in_body && connection.folds.Read(bytes)) {
      RejectRequest(connection, kBadRequestStatus, "a header is folded");
      return;
    }
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
      connection.in_body = false;
      connection.folds = FoldDetector();
      // Bytes after a request to switch protocols are not HTTP.
      const bool switched = connection.parser.upgrade != 0;
      connection.keep_alive = connection.keep_alive && !switched;
      if (!switched) {
        connection.AppendPipelined(bytes.substr(std::min(used, bytes.size())));
      }
      DispatchRequest(connection);
      return;
    }
    if (fault == HPE_OK) {
      if (connection.awaits_continue && connection.body_bytes == 0) {
        connection.awaits_continue = false;
        Write(connection, "HTTP/1.1 100 Continue\r\n\r\n");
      }
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
    connection.DropRequest();
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
    request.connection_id = connection.id();
    request.sent_after = connection.next_sent_after;
    const ExchangeId id = next_exchange_++;
    connection.exchange = id;
    exchanges_[id] = &connection;
    connection.UpdateActivity(MonotonicNow());
    handlers_.on_request(id, std::move(request));
  }

  void Respond(Connection& connection, const HttpResponse& response) {
    const bool close =
        response.close || close_after_responses_ || !connection.keep_alive;
    std::string text = ResponseText(response, close, connection.is_head);
    connection.since = MonotonicNow();
    if (connection.pipelined.empty()) {
      connection.next_sent_after = connection.since;
    }
    connection.DropRequest();
    Write(connection, std::move(text));
    if (connection.closing) {
      return;
    }
    connection.UpdateActivity(connection.since);
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
      loop_.Post([this, id = connection.id()] { ParsePipelined(id); });
    }
  }

  void OnWritten(Connection& connection, std::size_t bytes) {
    connection.ReleaseUnsent(bytes);
    const bool waits = connection.exchange == 0 && !connection.in_request;
    if (connection.unsent_bytes > 0 || !waits) {
      return;
    }
    const Instant now = MonotonicNow();
    connection.UpdateActivity(now);
    if (!connection.lingering) {
      connection.since = now;
      ReadNextRequest(connection);
    }
  }

  void ParsePipelined(std::uint64_t id) {
    auto found = connections_.find(id);
    if (found == connections_.end() || found->second->exchange != 0 ||
        found->second->pipelined.empty() || found->second->lingering ||
        found->second->unsent_bytes > 0) {
      return;
    }
    Connection& connection = *found->second;
    const std::string bytes = connection.TakePipelined();
    Parse(connection, bytes);
    ResumeReading(connection);
  }

  void Write(Connection& connection, std::string bytes) {
    const bool sent =
        WriteOrQueue(connection, std::move(bytes),
                     [](Connection& writer, std::size_t written, bool failed) {
                       if (failed) {
                         OwnerOf(writer).Close(writer);
                       } else {
                         OwnerOf(writer).OnWritten(writer, written);
                       }
                     });
    if (!sent) {
      Close(connection);
    }
  }

  // Sends queued bytes and the end of the stream, then waits for the caller to
  // close: closing with unread bytes would reset the connection and lose the
  // response.
  void Linger(Connection& connection) {
    connection.lingering = true;
    connection.TakePipelined();
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
    connections_.erase(connection.id());
    connection.budget->Close(*std::exchange(connection.account, nullptr));
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
      connection->LookAtWriteQueue(now);
      switch (TimeoutActionFor(connection->Phase(), now - connection->since,
                               now - connection->account->moved_at(),
                               limits_)) {
        case TimeoutAction::kNone:
          break;
        case TimeoutAction::kRefuse:
          timed_out.push_back(connection);
          break;
        case TimeoutAction::kClose:
          expired.push_back(connection);
          break;
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
  http_parser_settings callbacks_;
  std::unique_ptr<ClientLimiter> own_clients_;  // If none was given.
  ClientLimiter& clients_;
  uv_tcp_t* listener_ = nullptr;
  std::unordered_map<std::uint64_t, Connection*> connections_;
  std::unordered_map<ExchangeId, Connection*> exchanges_;
  std::size_t max_connections_seen_ = 0;
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
    Handlers handlers,
    ClientLimiter* clients) {
  auto impl =
      std::make_unique<Impl>(loop, limits, std::move(handlers), clients);
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
