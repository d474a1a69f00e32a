#include "snipeworks/http_client.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <uv.h>

#include <algorithm>
#include <array>
#include <limits>
#include <memory>
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

constexpr std::size_t kReadBufferBytes = std::size_t{64} * 1024;
// A target counts connections that became silent until it closes them itself;
// for this long they are assumed to count against the limit.
constexpr Duration kSilentConnectionCountTime = std::chrono::seconds(60);
// TCP breaks a connection whose bytes are unacknowledged for this long.
constexpr unsigned kTcpUserTimeoutMs = 3000;
constexpr Duration kIdleCheckInterval = milliseconds(500);
// A process that exits closes its sockets one after the other: its listener may
// accept a connection that is reset a moment later.
constexpr Duration kConnectOnlyOpenTime = milliseconds(5);
// Interim responses and late duplicates of responses to earlier calls are few.
constexpr int kMaxSkippedResponses = 64;
// Memory of a header in addition to its text.
constexpr std::size_t kHeaderOverheadBytes = sizeof(HttpHeader);
constexpr std::size_t kMaxHeaders = 256;
constexpr std::size_t kKeptWriteBufferBytes = std::size_t{4} * 1024;
constexpr std::uint64_t kNoContentLength =
    std::numeric_limits<std::uint64_t>::max();
// Smaller responses are not counted once they are complete, and not aborted for
// the memory that others use.
constexpr std::size_t kLargeResponseBytes = std::size_t{64} * 1024;

}  // namespace

class HttpClient::Impl {
 public:
  Impl(EventLoop& loop, HttpClientLimits limits)
      : loop_(loop),
        limits_(limits),
        deadline_timer_(loop, [this] { OnDeadlineTimer(); }),
        idle_timer_(loop, [this] { CloseExpiredConnections(); }) {
    http_parser_settings_init(&callbacks_);
    callbacks_.on_message_begin = [](http_parser* parser) {
      ResetResult(ConnectionOf(parser));
      return 0;
    };
    callbacks_.on_header_field = [](http_parser* parser, const char* at,
                                    std::size_t size) {
      HttpConnection& connection = ConnectionOf(parser);
      if (connection.head_complete) {
        return 0;  // A trailer field.
      }
      auto& headers = connection.transfer->result.headers;
      if (headers.empty() || connection.value_seen) {
        if (headers.size() == kMaxHeaders) {
          connection.transfer->oversized = true;
          return 1;
        }
        headers.emplace_back();
        connection.value_seen = false;
        AddBuffered(connection, kHeaderOverheadBytes);
      }
      headers.back().name.append(at, size);
      AddBuffered(connection, size);
      return 0;
    };
    callbacks_.on_header_value = [](http_parser* parser, const char* at,
                                    std::size_t size) {
      HttpConnection& connection = ConnectionOf(parser);
      if (connection.head_complete) {
        return 0;
      }
      connection.value_seen = true;
      connection.transfer->result.headers.back().value.append(at, size);
      AddBuffered(connection, size);
      return 0;
    };
    callbacks_.on_headers_complete = [](http_parser* parser) {
      return OnHeadComplete(ConnectionOf(parser));
    };
    callbacks_.on_body = [](http_parser* parser, const char* at,
                            std::size_t size) {
      HttpConnection& connection = ConnectionOf(parser);
      connection.transfer->body_bytes += size;
      if (connection.skips_response) {
        return 0;
      }
      std::string& body = connection.transfer->result.body;
      const std::size_t before = body.capacity();
      body.append(at, size);
      AddBuffered(connection, body.capacity() - before);
      return 0;
    };
    callbacks_.on_message_complete = [](http_parser* parser) {
      return OnMessageComplete(ConnectionOf(parser));
    };
    idle_timer_.Set(kIdleCheckInterval);
  }

  ~Impl() {
    for (auto& [address, pool] : pools_) {
      pool.waiting.clear();
    }
    const std::vector<HttpConnection*> open(connections_.begin(),
                                            connections_.end());
    for (HttpConnection* connection : open) {
      connection->transfer = nullptr;
      Close(*connection);
    }
  }

  HttpCallId Send(HttpCall call, Done done) {
    const HttpCallId id = next_id_++;
    HttpTransfer& added = transfers_[id];
    added.id = id;
    added.call = std::move(call);
    added.done = std::move(done);
    ++CountersFor(added).calls;
    added.deadline = MonotonicNow() + added.call.timeout;
    deadlines_.Add(added.deadline, id);
    SetTimer();
    AssignConnection(PoolFor(added.call.address), added);
    return id;
  }

  void Abort(HttpCallId id) {
    auto found = transfers_.find(id);
    if (found != transfers_.end()) {
      EndCallLater(found->second, HttpCallStatus::kAborted);
    }
  }

  void AbortUnsent(HttpCallId id) {
    auto found = transfers_.find(id);
    if (found != transfers_.end() && (found->second.connection == nullptr ||
                                      !found->second.connection->sent)) {
      EndCallLater(found->second, HttpCallStatus::kNotSent);
    }
  }

  void SetLimit(const std::string& address, std::uint32_t limit) {
    HttpConnectionPool& pool = PoolFor(address);
    pool.limit = std::max(1U, limit);
    StartWaitingCalls(pool);
  }

  void RetireGeneration(HttpCallId id) {
    auto found = transfers_.find(id);
    if (found == transfers_.end() || found->second.connection == nullptr) {
      return;
    }
    HttpConnectionPool& pool = *found->second.connection->pool;
    if (found->second.connection->generation != pool.generation) {
      return;
    }
    pool.silent.push_back(
        {MonotonicNow() + kSilentConnectionCountTime, pool.open});
    ++pool.generation;
    const std::vector<HttpConnection*> idle = std::exchange(pool.idle, {});
    for (HttpConnection* connection : connections_) {
      if (connection->pool == &pool && connection->counted_in_pool) {
        connection->counted_in_pool = false;
        connection->reusable = false;
        --pool.open;
      }
    }
    for (HttpConnection* connection : idle) {
      Close(*connection);
    }
  }

  void SimulateCut(std::optional<CutKind> cut) {
    const std::optional<CutKind> before = std::exchange(cut_, cut);
    const std::vector<HttpConnection*> open(connections_.begin(),
                                            connections_.end());
    for (HttpConnection* connection : open) {
      if (cut == CutKind::kSilent) {
        connection->cut = true;
      } else if (cut == CutKind::kReset || (before && connection->cut)) {
        OnConnectionBroken(*connection);
      }
    }
  }

  const HttpClientTraffic& traffic() const { return traffic_; }

 private:
  static HttpConnection& ConnectionOf(http_parser* parser) {
    return *static_cast<HttpConnection*>(parser->data);
  }

  static Impl& OwnerOf(const HttpConnection& connection) {
    return *static_cast<Impl*>(connection.owner);
  }

  static void AddBuffered(HttpConnection& connection, std::size_t bytes) {
    connection.transfer->buffered_bytes += bytes;
    *OwnerOf(connection).buffered_bytes_ += bytes;
  }

  HttpTrafficCounters& CountersFor(const HttpTransfer& transfer) {
    return transfer.call.other_zone ? traffic_.other_zone : traffic_.own_zone;
  }

  void ReleaseBuffered(HttpTransfer& transfer) {
    *buffered_bytes_ -= std::exchange(transfer.buffered_bytes, 0);
  }

  static void ResetResult(HttpConnection& connection) {
    connection.value_seen = false;
    connection.head_complete = false;
    connection.skips_response = false;
    OwnerOf(connection).ReleaseBuffered(*connection.transfer);
    HttpCallResult& result = connection.transfer->result;
    result.headers.clear();
    result.headers.reserve(12);
    result.body.clear();
  }

  // An answer to an earlier call, which arrives late.
  static bool AnswersAnotherCall(HttpConnection& connection) {
    HttpTransfer& transfer = *connection.transfer;
    const HttpHeader& expected = transfer.call.correlation_header;
    if (expected.name.empty()) {
      return false;
    }
    const std::string_view echoed = transfer.result.Header(expected.name);
    const ResponseMatch match = connection.pool->matcher.Match(
        expected.value, echoed, connection.calls == 1);
    if (match != ResponseMatch::kAnswer) {
      connection.reusable = false;
    }
    if (match != ResponseMatch::kForeign) {
      return false;
    }
    LOG_EVERY_T(WARNING, 1)
        << "event=answer_of_another_call address=" << transfer.call.address
        << (echoed.empty() ? " id=none" : " id=other");
    transfer.skipped_without_id |= echoed.empty();
    return true;
  }

  // Returns 0 to read a body, 1 if the response has none, and -1 if the head is
  // malformed.
  static int OnHeadComplete(HttpConnection& connection) {
    connection.head_complete = true;
    HttpTransfer& transfer = *connection.transfer;
    if (!std::ranges::all_of(transfer.result.headers, IsHeaderName,
                             &HttpHeader::name)) {
      return -1;
    }
    const bool is_head = transfer.call.shared_request
                             ? transfer.call.shared_request->is_head_method
                             : transfer.call.method == "HEAD";
    const unsigned status = connection.parser.status_code;
    connection.skips_response = !IsFinalStatus(static_cast<int>(status)) ||
                                AnswersAnotherCall(connection);
    if (is_head || status == HTTP_STATUS_NO_CONTENT ||
        status == HTTP_STATUS_NOT_MODIFIED) {
      return 1;
    }
    const std::uint64_t length = connection.parser.content_length;
    transfer.oversized =
        length != kNoContentLength &&
        length > OwnerOf(connection).limits_.max_response_bytes;
    return transfer.oversized ? -1 : 0;
  }

  // Returns 0 to continue, unless too many responses were skipped.
  static int SkipResponse(HttpTransfer& transfer) {
    return ++transfer.skipped_responses > kMaxSkippedResponses ? 1 : 0;
  }

  // Pauses the parser after each response: one that is interim or answers
  // another call is followed by the status line of the next.
  static int OnMessageComplete(HttpConnection& connection) {
    http_parser_pause(&connection.parser, 1);
    HttpTransfer& transfer = *connection.transfer;
    if (!IsFinalStatus(static_cast<int>(connection.parser.status_code))) {
      return SkipResponse(transfer);
    }
    if (connection.skips_response) {
      return SkipResponse(transfer);
    }
    if (!http_should_keep_alive(&connection.parser)) {
      connection.reusable = false;
    }
    connection.response_complete = true;
    return 0;
  }

  HttpConnectionPool& PoolFor(const std::string& address) {
    auto [slot, added] = pools_.try_emplace(address);
    if (added) {
      if (auto parsed = Address::Parse(address)) {
        uv_ip4_addr(parsed->ip.c_str(), parsed->port, &slot->second.address);
      }
    }
    return slot->second;
  }

  // Uses the most recently used idle connection, opens a connection or queues
  // the call.
  void AssignConnection(HttpConnectionPool& pool, HttpTransfer& transfer) {
    if (transfer.call.connect_only) {
      OpenConnection(pool, transfer);
      return;
    }
    const Instant now = MonotonicNow();
    if (!transfer.call.fresh_connection && pool.matcher.AllowsReuse(now)) {
      while (!pool.idle.empty()) {
        HttpConnection* connection = pool.idle.back();
        if (now - connection->idle_since > transfer.call.max_idle) {
          break;
        }
        pool.idle.pop_back();
        if (now < connection->reusable_until) {
          SendRequest(*connection, transfer);
          return;
        }
        Close(*connection);
      }
    }
    const std::uint32_t limit = pool.CurrentLimit();
    if (pool.open >= limit && !pool.idle.empty()) {
      HttpConnection* oldest = pool.idle.front();
      pool.idle.erase(pool.idle.begin());
      Close(*oldest);
    }
    if (pool.open < limit) {
      OpenConnection(pool, transfer);
    } else {
      pool.waiting.push_back(transfer.id);
    }
  }

  void StartWaitingCalls(HttpConnectionPool& pool) {
    while (!pool.waiting.empty() &&
           (!pool.idle.empty() || pool.open < pool.CurrentLimit())) {
      const HttpCallId id = pool.waiting.front();
      pool.waiting.pop_front();
      auto found = transfers_.find(id);
      if (found != transfers_.end()) {
        AssignConnection(pool, found->second);
      }
    }
  }

  void OpenConnection(HttpConnectionPool& pool, HttpTransfer& transfer) {
    auto* connection = new HttpConnection;
    connection->owner = this;
    connection->pool = &pool;
    connection->generation = pool.generation;
    connection->transfer = &transfer;
    transfer.connection = connection;
    ++pool.open;
    ++CountersFor(transfer).connections;
    connections_.push_back(connection);
    uv_tcp_init_ex(loop_.raw(), &connection->handle, AF_INET);
    connection->handle.data = connection;
    connection->connect.data = connection;
    connection->write.data = connection;
    uv_tcp_nodelay(&connection->handle, 1);
    uv_os_fd_t socket = -1;
    if (uv_fileno(reinterpret_cast<uv_handle_t*>(&connection->handle),
                  &socket) == 0) {
      setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &kTcpUserTimeoutMs,
                 sizeof(kTcpUserTimeoutMs));
    }
    transfer.connect_deadline = MonotonicNow() + transfer.call.connect_timeout;
    deadlines_.Add(transfer.connect_deadline, transfer.id);
    SetTimer();
    connection->cut = cut_.has_value();
    if (cut_ && cut_ != CutKind::kSilent) {
      transfer.result.connection_refused = true;
      transfer.result.connect_failed = true;
      EndCallLater(transfer, HttpCallStatus::kNotSent);
    }
    if (cut_) {
      return;
    }
    const int started = uv_tcp_connect(
        &connection->connect, &connection->handle,
        reinterpret_cast<const sockaddr*>(&pool.address),
        [](uv_connect_t* request, int status) {
          auto& connected = *static_cast<HttpConnection*>(request->data);
          if (!connected.closing) {
            OwnerOf(connected).OnConnected(connected, status);
          }
        });
    if (started != 0) {
      transfer.result.connect_failed = true;
      EndCallLater(transfer, HttpCallStatus::kNotSent);
    }
  }

  void OnConnected(HttpConnection& connection, int status) {
    if (status != 0) {
      connection.transfer->result.connection_refused =
          status == UV_ECONNREFUSED || status == UV_ECONNRESET;
      connection.transfer->result.connect_failed = true;
      OnConnectionBroken(connection);
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
          if (read.closing || read.cut || size == 0) {
            return;
          }
          if (size > 0) {
            OwnerOf(read).OnData(
                read, {buffer->base, static_cast<std::size_t>(size)});
          } else {
            OwnerOf(read).OnEndOfStream(read, size == UV_EOF);
          }
        });
    if (connection.transfer->call.connect_only) {
      HttpTransfer& transfer = *connection.transfer;
      transfer.deadline =
          std::min(transfer.deadline, MonotonicNow() + kConnectOnlyOpenTime);
      deadlines_.Add(transfer.deadline, transfer.id);
      SetTimer();
    } else {
      SendRequest(connection, *connection.transfer);
    }
  }

  void SendRequest(HttpConnection& connection, HttpTransfer& transfer) {
    transfer.connection = &connection;
    transfer.result.reused_connection = connection.calls > 0;
    connection.transfer = &transfer;
    connection.status_line.Reset();
    connection.response_complete = false;
    ++connection.calls;
    connection.write_buffer = Serialize(transfer.call);
    connection.sent = true;
    CountersFor(transfer).sent_bytes += connection.write_buffer.size();
    if (connection.cut) {
      return;
    }
    auto* stream = reinterpret_cast<uv_stream_t*>(&connection.handle);
    uv_buf_t buffer =
        uv_buf_init(connection.write_buffer.data(),
                    static_cast<unsigned>(connection.write_buffer.size()));
    const int written = uv_try_write(stream, &buffer, 1);
    if (written == static_cast<int>(connection.write_buffer.size())) {
      FreeLargeWriteBuffer(connection);
      return;
    }
    if (written < 0 && written != UV_EAGAIN) {
      connection.sent = false;
      EndCallLater(transfer, HttpCallStatus::kNotSent);
      return;
    }
    const std::size_t done =
        written > 0 ? static_cast<std::size_t>(written) : 0;
    buffer = uv_buf_init(
        connection.write_buffer.data() + done,
        static_cast<unsigned>(connection.write_buffer.size() - done));
    connection.writing = true;
    uv_write(&connection.write, stream, &buffer, 1,
             [](uv_write_t* request, int) {
               auto& connection = *static_cast<HttpConnection*>(request->data);
               connection.writing = false;
               FreeLargeWriteBuffer(connection);
             });
  }

  // Idle connections would keep the bodies that they have sent.
  static void FreeLargeWriteBuffer(HttpConnection& connection) {
    if (connection.write_buffer.capacity() > kKeptWriteBufferBytes) {
      std::string().swap(connection.write_buffer);
    }
  }

  struct ParsedBytes {
    std::size_t count = 0;
    bool malformed = false;
  };

  // Parses up to the end of the response to the call. The parser passes status
  // lines that are none, so they are read first.
  ParsedBytes Parse(HttpConnection& connection, std::string_view bytes) {
    ParsedBytes parsed;
    while (parsed.count < bytes.size() && !connection.response_complete) {
      std::string_view piece = bytes.substr(parsed.count);
      if (connection.status_line.state() == StatusLineReader::State::kReading) {
        piece = piece.substr(0, connection.status_line.Read(piece));
      }
      if (connection.status_line.state() == StatusLineReader::State::kInvalid) {
        parsed.malformed = true;
        return parsed;
      }
      parsed.count += http_parser_execute(&connection.parser, &callbacks_,
                                          piece.data(), piece.size());
      const auto fault = HTTP_PARSER_ERRNO(&connection.parser);
      if (fault == HPE_PAUSED) {
        http_parser_pause(&connection.parser, 0);
        connection.status_line.Reset();
      } else if (fault != HPE_OK) {
        parsed.malformed = true;
        return parsed;
      }
    }
    return parsed;
  }

  void OnData(HttpConnection& connection, std::string_view bytes) {
    if (connection.transfer == nullptr) {
      // No call is in progress, so the bytes belong to none.
      Close(connection);
      return;
    }
    HttpTransfer& transfer = *connection.transfer;
    transfer.received_bytes += bytes.size();
    CountersFor(transfer).received_bytes += bytes.size();
    const ParsedBytes parsed = Parse(connection, bytes);
    const std::size_t overhead_bytes =
        transfer.received_bytes - transfer.body_bytes;
    const bool too_large =
        transfer.oversized ||
        transfer.received_bytes > limits_.max_response_bytes ||
        overhead_bytes > limits_.max_overhead_bytes + transfer.body_bytes ||
        transfer.skipped_responses > kMaxSkippedResponses;
    if (connection.response_complete && !too_large) {
      FinishCall(connection, parsed.count < bytes.size());
      return;
    }
    if (too_large) {
      AbortOversizedResponse(transfer);
    } else if (parsed.malformed) {
      AbortMalformedResponse(transfer);
    }
    KeepToMemoryLimit();
  }

  void KeepToMemoryLimit() {
    while (*buffered_bytes_ > limits_.max_buffered_bytes) {
      const auto largest = std::ranges::max_element(
          transfers_, {},
          [](const auto& entry) { return entry.second.buffered_bytes; });
      if (largest == transfers_.end() ||
          largest->second.buffered_bytes < kLargeResponseBytes) {
        return;
      }
      AbortOversizedResponse(largest->second);
    }
  }

  // An endless response must consume neither the memory of this host nor the
  // event loop's time for other connections, so it is not read any further.
  void AbortOversizedResponse(HttpTransfer& transfer) {
    ++traffic_.answers_too_large;
    LOG_EVERY_T(WARNING, 1)
        << "event=answer_too_large address=" << transfer.call.address
        << " received=" << transfer.received_bytes
        << " held=" << *buffered_bytes_;
    EndCallLater(transfer, HttpCallStatus::kTooLarge);
  }

  // What the target has sent says nothing of whether the request has run.
  void AbortMalformedResponse(HttpTransfer& transfer) {
    ++traffic_.answers_malformed;
    LOG_EVERY_T(WARNING, 1)
        << "event=answer_malformed address=" << transfer.call.address
        << " received=" << transfer.received_bytes;
    EndCallLater(transfer, HttpCallStatus::kMalformed);
  }

  // A response without a length ends with its connection, if the server closed
  // that without a reset.
  void OnEndOfStream(HttpConnection& connection, bool clean_close) {
    if (connection.transfer == nullptr || !clean_close ||
        connection.WasReset()) {
      OnConnectionBroken(connection);
      return;
    }
    http_parser_execute(&connection.parser, &callbacks_, nullptr, 0);
    if (connection.response_complete) {
      connection.reusable = false;
      FinishCall(connection, false);
    } else {
      OnConnectionBroken(connection);
    }
  }

  void FinishCall(HttpConnection& connection, bool extra_bytes) {
    HttpTransfer& transfer = *connection.transfer;
    HttpCallResult& result = transfer.result;
    result.status = HttpCallStatus::kAnswered;
    result.http_status = static_cast<int>(connection.parser.status_code);
    result.retry_after = ParseRetryAfter(result.Header("Retry-After"));
    connection.transfer = nullptr;
    transfer.connection = nullptr;
    HttpConnectionPool& pool = *connection.pool;
    const Instant now = MonotonicNow();
    connection.idle_since = now;
    connection.reusable_until = now + KeepAliveTime(result);
    const bool keep = connection.reusable && !extra_bytes &&
                      !connection.writing && connection.reusable_until > now &&
                      connection.generation == pool.generation &&
                      pool.open <= pool.limit && pool.matcher.AllowsReuse(now);
    if (keep) {
      pool.idle.push_back(&connection);
    } else {
      Close(connection);
    }
    StartWaitingCalls(pool);
    CompleteCall(transfer.id);
  }

  // Ends the call, if any, of a connection that broke.
  void OnConnectionBroken(HttpConnection& connection) {
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
    NoteUnanswered(*transfer);
    transfer->connection = nullptr;
    connection.transfer = nullptr;
    const HttpCallId id = transfer->id;
    Close(connection);
    CompleteCall(id);
  }

  static void NoteUnanswered(const HttpTransfer& transfer) {
    if (transfer.skipped_without_id && transfer.connection != nullptr) {
      transfer.connection->pool->matcher.OnUnanswered(MonotonicNow());
    }
  }

  void Close(HttpConnection& connection) {
    if (std::exchange(connection.closing, true)) {
      return;
    }
    HttpConnectionPool& pool = *connection.pool;
    std::erase(pool.idle, &connection);
    std::erase(connections_, &connection);
    if (connection.counted_in_pool) {
      --pool.open;
    }
    uv_close(reinterpret_cast<uv_handle_t*>(&connection.handle),
             [](uv_handle_t* handle) {
               delete static_cast<HttpConnection*>(handle->data);
             });
    if (!pool.waiting.empty()) {
      loop_.Post([this, &pool] { StartWaitingCalls(pool); });
    }
  }

  void CompleteCall(HttpCallId id) {
    auto node = transfers_.extract(id);
    if (node.empty()) {
      return;
    }
    HttpTransfer& transfer = node.mapped();
    if (transfer.buffered_bytes >= kLargeResponseBytes) {
      transfer.result.held =
          HeldBytes(buffered_bytes_, std::exchange(transfer.buffered_bytes, 0));
    }
    ReleaseBuffered(transfer);
    transfer.done(std::move(transfer.result));
  }

  // Ends a call from within a caller's own call: `done` is posted to the loop.
  void EndCallLater(HttpTransfer& transfer, HttpCallStatus status) {
    transfer.result.status = status;
    NoteUnanswered(transfer);
    transfer.result.headers.clear();
    // Frees the memory before the end of this iteration of the loop.
    std::string().swap(transfer.result.body);
    ReleaseBuffered(transfer);
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
    if (auto due = deadlines_.NextDue()) {
      deadline_timer_.Set(std::max(Duration{}, *due - MonotonicNow()));
    }
  }

  // Each call has a deadline, and another one while it connects.
  void OnDeadlineTimer() {
    const Instant now = MonotonicNow();
    while (auto id = deadlines_.PopDue(now)) {
      auto found = transfers_.find(*id);
      if (found == transfers_.end()) {
        continue;
      }
      HttpTransfer& transfer = found->second;
      HttpConnection* connection = transfer.connection;
      const bool sent = connection != nullptr && connection->sent;
      const bool connected = connection != nullptr && connection->connected;
      if (now >= transfer.deadline && connected && transfer.call.connect_only) {
        FinishCall(*connection, false);
      } else if (now >= transfer.deadline) {
        EndCallLater(transfer, sent ? HttpCallStatus::kTimeout
                                    : HttpCallStatus::kNotSent);
      } else if (connection != nullptr && !connection->connected &&
                 now >= transfer.connect_deadline) {
        ++traffic_.connections_failed;
        transfer.result.connect_failed = true;
        EndCallLater(transfer, HttpCallStatus::kNotSent);
      }
    }
    SetTimer();
  }

  void CloseExpiredConnections() {
    const Instant now = MonotonicNow();
    std::vector<HttpConnection*> expired;
    for (HttpConnection* connection : connections_) {
      const bool idle =
          connection->transfer == nullptr && connection->connected;
      if (idle && now >= connection->reusable_until) {
        expired.push_back(connection);
      }
    }
    for (HttpConnection* connection : expired) {
      Close(*connection);
    }
    idle_timer_.Set(kIdleCheckInterval);
  }

  EventLoop& loop_;
  HttpClientLimits limits_;
  /// Of the responses in progress and the large ones in use.
  std::shared_ptr<std::size_t> buffered_bytes_ =
      std::make_shared<std::size_t>(0);
  http_parser_settings callbacks_{};
  StringMap<HttpConnectionPool> pools_;
  std::vector<HttpConnection*> connections_;
  std::unordered_map<HttpCallId, HttpTransfer> transfers_;
  TimerQueue<HttpCallId> deadlines_;
  HttpCallId next_id_ = 1;
  HttpClientTraffic traffic_;
  std::optional<CutKind> cut_;  ///< The simulated partition.
  std::array<char, kReadBufferBytes> buffer_;
  LoopTimer deadline_timer_;
  LoopTimer idle_timer_;
};

HttpClient::HttpClient(EventLoop& loop, HttpClientLimits limits)
    : impl_(std::make_unique<Impl>(loop, limits)) {}

HttpClient::~HttpClient() = default;

HttpCallId HttpClient::Send(HttpCall call, Done done) {
  return impl_->Send(std::move(call), std::move(done));
}

// A server at its connection limit accepts the connection and resets it.
void HttpClient::TestConnection(const std::string& address,
                                Duration timeout,
                                std::function<void(bool reached)> done) {
  HttpCall call;
  call.address = address;
  call.connect_only = true;
  call.timeout = timeout;
  call.connect_timeout = timeout;
  Send(std::move(call), [done = std::move(done)](const HttpCallResult& result) {
    done(result.status == HttpCallStatus::kAnswered ||
         result.status == HttpCallStatus::kLost ||
         result.status == HttpCallStatus::kMalformed);
  });
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
  impl_->RetireGeneration(call);
}

void HttpClient::SimulateCut(std::optional<CutKind> cut) {
  impl_->SimulateCut(cut);
}

const HttpClientTraffic& HttpClient::traffic() const {
  return impl_->traffic();
}

}  // namespace snipeworks
