#include "http_listener_state.h"

#include <sys/ioctl.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// Callers send their first request as soon as they have connected; this covers
// its transit, including the loss of one packet.
constexpr Duration kFirstRequestWait = milliseconds(500);
// A header takes more memory than its text.
constexpr std::size_t kHeaderOverheadBytes = sizeof(HttpHeader);
// The shortest header on the wire: a name of one byte, a colon and a line end.
constexpr std::size_t kShortestHeaderBytes = 4;
constexpr int kBadRequestStatus = 400;
constexpr int kTooLargeStatus = 413;
constexpr int kHeadersTooLargeStatus = 431;

ListenerConnection& ConnectionOf(http_parser* parser) {
  return *static_cast<ListenerConnection*>(parser->data);
}

int CountHeaderBytes(ListenerConnection& connection, std::size_t bytes) {
  connection.header_bytes += bytes;
  connection.HoldForRequest(bytes);
  const std::size_t most = connection.limits->max_header_bytes;
  if (connection.header_bytes <= most &&
      connection.request.headers.size() <= most / kShortestHeaderBytes) {
    return 0;
  }
  connection.reject_status = kHeadersTooLargeStatus;
  return 1;
}

int OnBegin(http_parser* parser) {
  ListenerConnection& connection = ConnectionOf(parser);
  const Instant now = MonotonicNow();
  connection.request = HttpRequest{};
  connection.header_bytes = 0;
  connection.body_bytes = 0;
  connection.needed_body_bytes = 0;
  connection.awaits_continue = false;
  connection.value_seen = false;
  connection.complete = false;
  connection.in_request = true;
  connection.in_body = false;
  connection.since = now;
  connection.UpdateActivity(now);
  return 0;
}

int OnUrl(http_parser* parser, const char* at, std::size_t size) {
  ListenerConnection& connection = ConnectionOf(parser);
  connection.request.target.append(at, size);
  return CountHeaderBytes(connection, size);
}

int OnHeaderName(http_parser* parser, const char* at, std::size_t size) {
  ListenerConnection& connection = ConnectionOf(parser);
  // Fields after the body are counted and ignored: credentials and routing must
  // come before it.
  if (connection.in_body) {
    return CountHeaderBytes(connection, size);
  }
  auto& headers = connection.request.headers;
  if (headers.empty() || connection.value_seen) {
    const std::size_t before = headers.capacity();
    headers.emplace_back();
    connection.HoldForRequest((headers.capacity() - before) *
                              kHeaderOverheadBytes);
    connection.value_seen = false;
  }
  headers.back().name.append(at, size);
  return CountHeaderBytes(connection, size);
}

int OnHeaderValue(http_parser* parser, const char* at, std::size_t size) {
  ListenerConnection& connection = ConnectionOf(parser);
  if (connection.in_body) {
    return CountHeaderBytes(connection, size);
  }
  if (!connection.request.headers.empty()) {
    connection.request.headers.back().value.append(at, size);
  }
  connection.value_seen = true;
  return CountHeaderBytes(connection, size);
}

int OnHeadersComplete(http_parser* parser) {
  ListenerConnection& connection = ConnectionOf(parser);
  HttpRequest& request = connection.request;
  connection.in_body = true;
  // Another server may trim such a name, and read another length from it.
  if (!std::ranges::all_of(request.headers, IsHeaderName, &HttpHeader::name)) {
    connection.reject_status = kBadRequestStatus;
    connection.reject_reason = "a header name is malformed";
    return -1;
  }
  const bool has_length =
      parser->content_length != 0 &&
      parser->content_length != static_cast<std::uint64_t>(-1);
  if (has_length &&
      parser->content_length > connection.limits->max_body_bytes) {
    connection.reject_status = kTooLargeStatus;
    return -1;
  }
  request.method = http_method_str(static_cast<http_method>(parser->method));
  request.path = request.target.substr(0, request.target.find('?'));
  connection.HoldForRequest(request.path.size());
  const bool has_body = has_length || ((parser->flags & F_CHUNKED) != 0);
  connection.awaits_continue =
      has_body && HeaderListContains(request.Header("Expect"), "100-continue");
  connection.needed_body_bytes =
      has_body && connection.handlers->needed_body_bytes
          ? connection.handlers->needed_body_bytes(request)
          : connection.limits->max_body_bytes;
  return 0;
}

int OnBody(http_parser* parser, const char* at, std::size_t size) {
  ListenerConnection& connection = ConnectionOf(parser);
  connection.body_bytes += size;
  if (connection.body_bytes > connection.limits->max_body_bytes) {
    connection.reject_status = kTooLargeStatus;
    return 1;
  }
  std::string& body = connection.request.body;
  const std::size_t kept =
      std::min(size, connection.needed_body_bytes -
                         std::min(body.size(), connection.needed_body_bytes));
  const std::size_t before = body.capacity();
  body.append(at, kept);
  if (body.capacity() != before) {
    connection.HoldForRequest(body.capacity() - before);
  }
  connection.request.body_truncated |= kept < size;
  return 0;
}

int OnComplete(http_parser* parser) {
  ListenerConnection& connection = ConnectionOf(parser);
  connection.complete = true;
  connection.keep_alive = http_should_keep_alive(parser) != 0;
  http_parser_pause(parser, 1);
  return 0;
}

}  // namespace

bool ListenerConnection::AwaitsFirstRequest(Instant now) const {
  return !received_any && !lingering && now - since < kFirstRequestWait;
}

std::size_t ListenerConnection::WriteQueueBytes() const {
  return uv_stream_get_write_queue_size(
      reinterpret_cast<const uv_stream_t*>(&handle));
}

bool ListenerConnection::HasUnsentBytes() const {
  return WriteQueueBytes() > 0;
}

bool ListenerConnection::HasUnreadBytes() const {
  uv_os_fd_t socket = -1;
  int bytes = 0;
  return uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle), &socket) ==
             0 &&
         ioctl(socket, FIONREAD, &bytes) == 0 && bytes > 0;
}

void ListenerConnection::HoldForRequest(std::size_t bytes) {
  request_bytes += bytes;
  budget->Hold(*account, bytes);
}

void ListenerConnection::DropRequest() {
  // An assignment of an empty string or vector would keep their memory.
  std::vector<HttpHeader>().swap(request.headers);
  std::string().swap(request.target);
  std::string().swap(request.path);
  std::string().swap(request.body);
  budget->Release(*account, std::exchange(request_bytes, 0));
}

void ListenerConnection::AppendPipelined(std::string_view bytes) {
  pipelined.append(bytes);
  budget->Hold(*account, bytes.size());
}

std::string ListenerConnection::TakePipelined() {
  budget->Release(*account, pipelined.size());
  return std::exchange(pipelined, {});
}

void ListenerConnection::HoldUnsent(std::size_t bytes) {
  unsent_bytes += bytes;
  budget->Hold(*account, bytes);
}

void ListenerConnection::ReleaseUnsent(std::size_t bytes) {
  unsent_bytes -= bytes;
  budget->Release(*account, bytes);
}

void ListenerConnection::UpdateActivity(Instant now) const {
  const ClientActivity activity = exchange != 0 ? ClientActivity::kRunning
                                  : in_request  ? ClientActivity::kReceiving
                                  : unsent_bytes > 0 ? ClientActivity::kSending
                                                     : ClientActivity::kIdle;
  budget->SetActivity(now, *account, activity);
}

void ListenerConnection::LookAtWriteQueue(Instant now) {
  const std::size_t bytes = WriteQueueBytes();
  if (bytes < queued_bytes) {
    budget->OnMoved(now, *account, queued_bytes - bytes);
  }
  queued_bytes = bytes;
}

ConnectionPhase ListenerConnection::Phase() const {
  if (lingering) {
    return HasUnsentBytes() ? ConnectionPhase::kLastBytes
                            : ConnectionPhase::kLingering;
  }
  if (exchange != 0) {
    return ConnectionPhase::kRunning;
  }
  if (in_request) {
    return in_body ? ConnectionPhase::kBody : ConnectionPhase::kHead;
  }
  return unsent_bytes > 0 ? ConnectionPhase::kSending : ConnectionPhase::kIdle;
}

http_parser_settings ListenerParserCallbacks() {
  http_parser_settings callbacks;
  http_parser_settings_init(&callbacks);
  callbacks.on_message_begin = OnBegin;
  callbacks.on_url = OnUrl;
  callbacks.on_header_field = OnHeaderName;
  callbacks.on_header_value = OnHeaderValue;
  callbacks.on_headers_complete = OnHeadersComplete;
  callbacks.on_body = OnBody;
  callbacks.on_message_complete = OnComplete;
  return callbacks;
}

}  // namespace snipeworks
