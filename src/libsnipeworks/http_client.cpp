#include "snipeworks/http_client.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <uv.h>

#include <algorithm>
#include <array>
#include <unordered_map>
#include <utility>

#include <glog/logging.h>

#include "http_client_state.h"
#include "snipeworks/address.h"
#include "snipeworks/string_map.h"
#include "snipeworks/timer_queue.h"

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kReadBytes = std::size_t{64} * 1024;
// A target goes on counting connections that went silent until it gives them
// up; for this long they are taken to be held.
constexpr Duration kSilentHeld = std::chrono::seconds(60);
// Bytes that are not acknowledged for this long break a connection.
constexpr unsigned kUnacknowledgedMs = 3000;
constexpr Duration kSweepInterval = milliseconds(500);
// A process that ends closes its sockets one after the other: its listener may
// take a connection that is reset a moment later.
constexpr Duration kSettleTime = milliseconds(5);
// Interim answers and late copies of answers to earlier calls are few.
constexpr int kMaxPassedOver = 64;
// What a header takes beside its text.
constexpr std::size_t kHeaderOverhead = sizeof(HttpHeader);

}  // namespace

class HttpClient::Impl {
 public:
  Impl(EventLoop& loop, HttpClientLimits limits)
      : loop_(loop),
        limits_(limits),
        timer_(loop, [this] { FireTimers(); }),
        sweep_(loop, [this] { Sweep(); }) {
    http_parser_settings_init(&callbacks_);
    callbacks_.on_message_begin = [](http_parser* parser) {
      ResetResult(Of(parser));
      return 0;
    };
    callbacks_.on_header_field = [](http_parser* parser, const char* at,
                                    std::size_t size) {
      HttpConnection& connection = Of(parser);
      auto& headers = connection.transfer->result.headers;
      if (headers.empty() || connection.value_seen) {
        headers.emplace_back();
        connection.value_seen = false;
        Hold(connection, kHeaderOverhead);
      }
      headers.back().name.append(at, size);
      Hold(connection, size);
      return 0;
    };
    callbacks_.on_header_value = [](http_parser* parser, const char* at,
                                    std::size_t size) {
      HttpConnection& connection = Of(parser);
      connection.value_seen = true;
      connection.transfer->result.headers.back().value.append(at, size);
      Hold(connection, size);
      return 0;
    };
    callbacks_.on_headers_complete = [](http_parser* parser) {
      const HttpTransfer& transfer = *Of(parser).transfer;
      const bool is_head = transfer.call.shared_request
                               ? transfer.call.shared_request->is_head_method
                               : transfer.call.method == "HEAD";
      return is_head ? 1 : 0;
    };
    callbacks_.on_body = [](http_parser* parser, const char* at,
                            std::size_t size) {
      std::string& body = Of(parser).transfer->result.body;
      const std::size_t before = body.capacity();
      body.append(at, size);
      Hold(Of(parser), body.capacity() - before);
      return 0;
    };
    callbacks_.on_message_complete = [](http_parser* parser) {
      return OnMessage(Of(parser));
    };
    sweep_.Set(kSweepInterval);
  }

  ~Impl() {
    for (auto& [address, route] : routes_) {
      route.waiting.clear();
    }
    const std::vector<HttpConnection*> open(connections_.begin(),
                                            connections_.end());
    for (HttpConnection* connection : open) {
      connection->transfer = nullptr;
      Close(*connection);
    }
  }

  HttpCallId Send(HttpCall call, Done done) {
    const HttpCallId id = next_++;
    HttpTransfer& added = transfers_[id];
    added.id = id;
    added.call = std::move(call);
    added.done = std::move(done);
    ++VolumeOf(added).calls;
    added.ends = MonotonicNow() + added.call.timeout;
    timers_.Add(added.ends, id);
    SetTimer();
    Place(RouteOf(added.call.address), added);
    return id;
  }

  void Abort(HttpCallId id) {
    auto found = transfers_.find(id);
    if (found != transfers_.end()) {
      EndLater(found->second, HttpCallStatus::kAborted);
    }
  }

  void AbortUnsent(HttpCallId id) {
    auto found = transfers_.find(id);
    if (found != transfers_.end() && (found->second.connection == nullptr ||
                                      !found->second.connection->sent)) {
      EndLater(found->second, HttpCallStatus::kNotSent);
    }
  }

  void SetLimit(const std::string& address, std::uint32_t limit) {
    HttpRoute& route = RouteOf(address);
    route.limit = std::max(1U, limit);
    ServeWaiting(route);
  }

  void Distrust(HttpCallId id) {
    auto found = transfers_.find(id);
    if (found == transfers_.end() || found->second.connection == nullptr) {
      return;
    }
    HttpRoute& route = *found->second.connection->route;
    if (found->second.connection->generation != route.generation) {
      return;
    }
    route.silent.push_back({MonotonicNow() + kSilentHeld, route.open});
    ++route.generation;
    const std::vector<HttpConnection*> idle = std::exchange(route.idle, {});
    for (HttpConnection* connection : connections_) {
      if (connection->route == &route && connection->counted) {
        connection->counted = false;
        connection->reusable = false;
        --route.open;
      }
    }
    for (HttpConnection* connection : idle) {
      Close(*connection);
    }
  }

  const HttpClientTraffic& traffic() const { return traffic_; }

 private:
  static HttpConnection& Of(http_parser* parser) {
    return *static_cast<HttpConnection*>(parser->data);
  }

  static Impl& OwnerOf(const HttpConnection& connection) {
    return *static_cast<Impl*>(connection.owner);
  }

  static void Hold(HttpConnection& connection, std::size_t bytes) {
    connection.transfer->held += bytes;
    OwnerOf(connection).held_ += bytes;
  }

  HttpTrafficCounters& VolumeOf(const HttpTransfer& transfer) {
    return transfer.call.other_zone ? traffic_.other_zone : traffic_.own_zone;
  }

  void Release(HttpTransfer& transfer) {
    held_ -= std::exchange(transfer.held, 0);
  }

  static void ResetResult(HttpConnection& connection) {
    connection.value_seen = false;
    OwnerOf(connection).Release(*connection.transfer);
    HttpCallResult& result = connection.transfer->result;
    result.headers.clear();
    result.headers.reserve(12);
    result.body.clear();
  }

  // Returns 0 to read on, unless there is no end to what is passed over.
  static int PassOver(HttpTransfer& transfer) {
    return ++transfer.passed_over > kMaxPassedOver ? 1 : 0;
  }

  // Returns 0 to read on: after an interim answer, or one to another call.
  static int OnMessage(HttpConnection& connection) {
    const int status = static_cast<int>(connection.parser.status_code);
    const bool interim = status >= 100 && status < 200 && status != 101;
    HttpTransfer& transfer = *connection.transfer;
    if (interim) {
      return PassOver(transfer);
    }
    if (!http_should_keep_alive(&connection.parser)) {
      connection.reusable = false;
    }
    const HttpHeader& echo = transfer.call.correlation_header;
    if (!echo.name.empty()) {
      const std::string_view value = transfer.result.Header(echo.name);
      if (!value.empty() && value != echo.value) {
        LOG_EVERY_T(WARNING, 1)
            << "event=answer_of_another_call address=" << transfer.call.address;
        connection.reusable = false;
        return PassOver(transfer);
      }
    }
    connection.complete = true;
    http_parser_pause(&connection.parser, 1);
    return 0;
  }

  HttpRoute& RouteOf(const std::string& address) {
    auto [slot, added] = routes_.try_emplace(address);
    if (added) {
      if (auto parsed = Address::Parse(address)) {
        uv_ip4_addr(parsed->ip.c_str(), parsed->port, &slot->second.address);
      }
    }
    return slot->second;
  }

  // Takes the connection that was used last, opens one, or lets the call wait.
  void Place(HttpRoute& route, HttpTransfer& transfer) {
    if (transfer.call.connect_only) {
      Open(route, transfer);
      return;
    }
    const Instant now = MonotonicNow();
    if (!transfer.call.fresh_connection) {
      while (!route.idle.empty()) {
        HttpConnection* connection = route.idle.back();
        if (now - connection->idle_since > transfer.call.max_idle) {
          break;
        }
        route.idle.pop_back();
        if (now < connection->idle_until) {
          Begin(*connection, transfer);
          return;
        }
        Close(*connection);
      }
    }
    const std::uint32_t limit = route.LimitNow();
    if (route.open >= limit && !route.idle.empty()) {
      HttpConnection* oldest = route.idle.front();
      route.idle.erase(route.idle.begin());
      Close(*oldest);
    }
    if (route.open < limit) {
      Open(route, transfer);
    } else {
      route.waiting.push_back(transfer.id);
    }
  }

  void ServeWaiting(HttpRoute& route) {
    while (!route.waiting.empty() &&
           (!route.idle.empty() || route.open < route.LimitNow())) {
      const HttpCallId id = route.waiting.front();
      route.waiting.pop_front();
      auto found = transfers_.find(id);
      if (found != transfers_.end()) {
        Place(route, found->second);
      }
    }
  }

  void Open(HttpRoute& route, HttpTransfer& transfer) {
    auto* connection = new HttpConnection;
    connection->owner = this;
    connection->route = &route;
    connection->generation = route.generation;
    connection->transfer = &transfer;
    transfer.connection = connection;
    ++route.open;
    ++VolumeOf(transfer).connections;
    connections_.push_back(connection);
    uv_tcp_init_ex(loop_.raw(), &connection->handle, AF_INET);
    connection->handle.data = connection;
    connection->connect.data = connection;
    connection->write.data = connection;
    uv_tcp_nodelay(&connection->handle, 1);
    uv_os_fd_t socket = -1;
    if (uv_fileno(reinterpret_cast<uv_handle_t*>(&connection->handle),
                  &socket) == 0) {
      setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnacknowledgedMs,
                 sizeof(kUnacknowledgedMs));
    }
    transfer.connect_ends = MonotonicNow() + transfer.call.connect_timeout;
    timers_.Add(transfer.connect_ends, transfer.id);
    SetTimer();
    const int started = uv_tcp_connect(
        &connection->connect, &connection->handle,
        reinterpret_cast<const sockaddr*>(&route.address),
        [](uv_connect_t* request, int status) {
          auto& connected = *static_cast<HttpConnection*>(request->data);
          if (!connected.closing) {
            OwnerOf(connected).OnConnected(connected, status);
          }
        });
    if (started != 0) {
      EndLater(transfer, HttpCallStatus::kNotSent);
    }
  }

  void OnConnected(HttpConnection& connection, int status) {
    if (status != 0) {
      connection.transfer->result.connection_refused =
          status == UV_ECONNREFUSED || status == UV_ECONNRESET;
      Fail(connection);
      return;
    }
    connection.connected = true;
    http_parser_init(&connection.parser, HTTP_RESPONSE);
    connection.parser.data = &connection;
    uv_read_start(
        reinterpret_cast<uv_stream_t*>(&connection.handle),
        [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
          Impl& owner = OwnerOf(*static_cast<HttpConnection*>(handle->data));
          *buffer = uv_buf_init(owner.buffer_.data(),
                                static_cast<unsigned>(owner.buffer_.size()));
        },
        [](uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
          auto& read = *static_cast<HttpConnection*>(stream->data);
          if (read.closing || size == 0) {
            return;
          }
          if (size > 0) {
            OwnerOf(read).OnData(
                read, {buffer->base, static_cast<std::size_t>(size)});
          } else {
            OwnerOf(read).OnEnd(read, size == UV_EOF);
          }
        });
    if (connection.transfer->call.connect_only) {
      HttpTransfer& transfer = *connection.transfer;
      transfer.ends = std::min(transfer.ends, MonotonicNow() + kSettleTime);
      timers_.Add(transfer.ends, transfer.id);
      SetTimer();
    } else {
      Begin(connection, *connection.transfer);
    }
  }

  void Begin(HttpConnection& connection, HttpTransfer& transfer) {
    transfer.connection = &connection;
    transfer.result.reused_connection = connection.calls > 0;
    connection.transfer = &transfer;
    connection.complete = false;
    ++connection.calls;
    connection.out = Serialize(transfer.call);
    connection.sent = true;
    VolumeOf(transfer).sent_bytes += connection.out.size();
    auto* stream = reinterpret_cast<uv_stream_t*>(&connection.handle);
    uv_buf_t buffer = uv_buf_init(connection.out.data(),
                                  static_cast<unsigned>(connection.out.size()));
    const int written = uv_try_write(stream, &buffer, 1);
    if (written == static_cast<int>(connection.out.size())) {
      return;
    }
    if (written < 0 && written != UV_EAGAIN) {
      connection.sent = false;
      EndLater(transfer, HttpCallStatus::kNotSent);
      return;
    }
    const std::size_t done =
        written > 0 ? static_cast<std::size_t>(written) : 0;
    buffer = uv_buf_init(connection.out.data() + done,
                         static_cast<unsigned>(connection.out.size() - done));
    connection.writing = true;
    uv_write(&connection.write, stream, &buffer, 1,
             [](uv_write_t* request, int) {
               static_cast<HttpConnection*>(request->data)->writing = false;
             });
  }

  void OnData(HttpConnection& connection, std::string_view bytes) {
    if (connection.transfer == nullptr) {
      // Nobody waits for an answer: what came belongs to no call.
      Close(connection);
      return;
    }
    HttpTransfer& transfer = *connection.transfer;
    transfer.received += bytes.size();
    VolumeOf(transfer).received_bytes += bytes.size();
    const std::size_t used = http_parser_execute(
        &connection.parser, &callbacks_, bytes.data(), bytes.size());
    const bool too_large = transfer.received > limits_.max_response_bytes ||
                           transfer.passed_over > kMaxPassedOver;
    if (connection.complete && !too_large) {
      http_parser_pause(&connection.parser, 0);
      const bool extra = used < bytes.size();
      Finish(connection, extra);
      return;
    }
    if (too_large) {
      GiveUpAnswer(transfer);
    } else if (HTTP_PARSER_ERRNO(&connection.parser) != HPE_OK) {
      transfer.result.malformed = true;
      Fail(connection);
    }
    while (held_ > limits_.max_buffered_bytes) {
      GiveUpAnswer(
          std::ranges::max_element(transfers_, {}, [](const auto& entry) {
            return entry.second.held;
          })->second);
    }
  }

  // A target that sends without end must take neither the memory of this host
  // nor the turns of others: what it sends is not read on.
  void GiveUpAnswer(HttpTransfer& transfer) {
    ++traffic_.answers_too_large;
    LOG_EVERY_T(WARNING, 1)
        << "event=answer_too_large address=" << transfer.call.address
        << " received=" << transfer.received << " held=" << held_;
    EndLater(transfer, HttpCallStatus::kTooLarge);
  }

  // An answer without a length ends with its connection, if that was closed in
  // order.
  void OnEnd(HttpConnection& connection, bool in_order) {
    if (connection.transfer == nullptr || !in_order || connection.WasReset()) {
      Fail(connection);
      return;
    }
    http_parser_execute(&connection.parser, &callbacks_, nullptr, 0);
    if (connection.complete) {
      connection.reusable = false;
      Finish(connection, false);
    } else {
      Fail(connection);
    }
  }

  void Finish(HttpConnection& connection, bool extra_bytes) {
    HttpTransfer& transfer = *connection.transfer;
    HttpCallResult& result = transfer.result;
    result.status = HttpCallStatus::kAnswered;
    result.http_status = static_cast<int>(connection.parser.status_code);
    result.retry_after = ParseRetryAfter(result.Header("Retry-After"));
    connection.transfer = nullptr;
    transfer.connection = nullptr;
    HttpRoute& route = *connection.route;
    const Instant now = MonotonicNow();
    connection.idle_since = now;
    connection.idle_until = now + KeepAliveOf(result);
    const bool keep = connection.reusable && !extra_bytes &&
                      !connection.writing && connection.idle_until > now &&
                      connection.generation == route.generation &&
                      route.open <= route.limit;
    if (keep) {
      route.idle.push_back(&connection);
    } else {
      Close(connection);
    }
    ServeWaiting(route);
    Report(transfer.id);
  }

  // The connection broke.
  void Fail(HttpConnection& connection) {
    HttpTransfer* transfer = connection.transfer;
    if (transfer == nullptr) {
      Close(connection);
      return;
    }
    if (!connection.sent) {
      ++traffic_.connections_failed;
    }
    const bool broke = connection.sent ||
                       (transfer->call.connect_only && connection.connected);
    transfer->result.status =
        broke ? HttpCallStatus::kLost : HttpCallStatus::kNotSent;
    transfer->connection = nullptr;
    connection.transfer = nullptr;
    const HttpCallId id = transfer->id;
    Close(connection);
    Report(id);
  }

  void Close(HttpConnection& connection) {
    if (std::exchange(connection.closing, true)) {
      return;
    }
    HttpRoute& route = *connection.route;
    std::erase(route.idle, &connection);
    std::erase(connections_, &connection);
    if (connection.counted) {
      --route.open;
    }
    uv_close(reinterpret_cast<uv_handle_t*>(&connection.handle),
             [](uv_handle_t* handle) {
               delete static_cast<HttpConnection*>(handle->data);
             });
    if (!route.waiting.empty()) {
      loop_.Post([this, &route] { ServeWaiting(route); });
    }
  }

  void Report(HttpCallId id) {
    auto node = transfers_.extract(id);
    if (!node.empty()) {
      Release(node.mapped());
      node.mapped().done(std::move(node.mapped().result));
    }
  }

  // For ends that come out of a caller's own call: `done` runs from the loop.
  void EndLater(HttpTransfer& transfer, HttpCallStatus status) {
    transfer.result.status = status;
    Release(transfer);
    if (HttpConnection* connection =
            std::exchange(transfer.connection, nullptr)) {
      connection->transfer = nullptr;
      Close(*connection);
    }
    auto node = transfers_.extract(transfer.id);
    auto ended = std::make_shared<HttpTransfer>(std::move(node.mapped()));
    loop_.Post([ended] { ended->done(std::move(ended->result)); });
  }

  void SetTimer() {
    if (auto due = timers_.NextDue()) {
      timer_.Set(std::max(Duration{}, *due - MonotonicNow()));
    }
  }

  // One timer ends the attempt to connect, the other the whole call.
  void FireTimers() {
    const Instant now = MonotonicNow();
    while (auto id = timers_.PopDue(now)) {
      auto found = transfers_.find(*id);
      if (found == transfers_.end()) {
        continue;
      }
      HttpTransfer& transfer = found->second;
      HttpConnection* connection = transfer.connection;
      const bool sent = connection != nullptr && connection->sent;
      const bool connected = connection != nullptr && connection->connected;
      if (now >= transfer.ends && connected && transfer.call.connect_only) {
        Finish(*connection, false);
      } else if (now >= transfer.ends) {
        EndLater(transfer,
                 sent ? HttpCallStatus::kTimeout : HttpCallStatus::kNotSent);
      } else if (connection != nullptr && !connection->connected &&
                 now >= transfer.connect_ends) {
        ++traffic_.connections_failed;
        EndLater(transfer, HttpCallStatus::kNotSent);
      }
    }
    SetTimer();
  }

  void Sweep() {
    const Instant now = MonotonicNow();
    std::vector<HttpConnection*> old;
    for (HttpConnection* connection : connections_) {
      const bool idle =
          connection->transfer == nullptr && connection->connected;
      if (idle && now >= connection->idle_until) {
        old.push_back(connection);
      }
    }
    for (HttpConnection* connection : old) {
      Close(*connection);
    }
    sweep_.Set(kSweepInterval);
  }

  EventLoop& loop_;
  HttpClientLimits limits_;
  std::size_t held_ = 0;  ///< Memory that answers on their way take.
  http_parser_settings callbacks_{};
  StringMap<HttpRoute> routes_;
  std::vector<HttpConnection*> connections_;
  std::unordered_map<HttpCallId, HttpTransfer> transfers_;
  TimerQueue<HttpCallId> timers_;
  HttpCallId next_ = 1;
  HttpClientTraffic traffic_;
  std::array<char, kReadBytes> buffer_;
  LoopTimer timer_;
  LoopTimer sweep_;
};

HttpClient::HttpClient(EventLoop& loop, HttpClientLimits limits)
    : impl_(std::make_unique<Impl>(loop, limits)) {}

HttpClient::~HttpClient() = default;

HttpCallId HttpClient::Send(HttpCall call, Done done) {
  return impl_->Send(std::move(call), std::move(done));
}

void HttpClient::Abort(HttpCallId call) {
  impl_->Abort(call);
}

void HttpClient::AbortUnsent(HttpCallId call) {
  impl_->AbortUnsent(call);
}

void HttpClient::SetConnectionLimit(const std::string& address,
                                    std::uint32_t limit) {
  impl_->SetLimit(address, limit);
}

void HttpClient::RetireConnectionGeneration(HttpCallId call) {
  impl_->Distrust(call);
}

const HttpClientTraffic& HttpClient::traffic() const {
  return impl_->traffic();
}

}  // namespace snipeworks
