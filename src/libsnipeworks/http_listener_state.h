#ifndef SNIPEWORKS_LIBSNIPEWORKS_HTTP_LISTENER_STATE_H_
#define SNIPEWORKS_LIBSNIPEWORKS_HTTP_LISTENER_STATE_H_

#include <http_parser.h>
#include <uv.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "fold_detector.h"
#include "http_listener_timeouts.h"
#include "snipeworks/client_memory_budget.h"
#include "snipeworks/http_listener.h"

namespace snipeworks {

/// One client's connection: the request that is being read, the bytes that
/// follow it, and what the client holds of the process's memory.
struct ListenerConnection {
  uv_tcp_t handle;
  http_parser parser;
  void* owner = nullptr;
  const ListenerLimits* limits = nullptr;
  const HttpListener::Handlers* handlers = nullptr;
  ClientMemoryBudget* budget = nullptr;
  ClientMemoryBudget::Account* account = nullptr;
  ExchangeId exchange = 0;
  HttpRequest request;
  FoldDetector folds;  ///< In the head being read.
  std::string pipelined;
  std::size_t header_bytes = 0;
  std::size_t body_bytes = 0;     ///< Read of the body, kept or not.
  std::size_t request_bytes = 0;  ///< Memory that the request holds.
  std::size_t unsent_bytes = 0;   ///< Of responses.
  std::size_t queued_bytes = 0;   ///< Unsent bytes when last looked at.
  std::size_t needed_body_bytes = 0;
  bool awaits_continue = false;  ///< The client waits for 100 Continue.
  bool value_seen = false;
  bool reading = false;
  bool pauses = false;  ///< Has read its share of this loop iteration.
  bool in_request = false;
  bool in_body = false;
  bool complete = false;
  bool keep_alive = true;
  bool is_head = false;
  bool closing = false;
  bool lingering = false;
  bool received_any = false;  ///< Any byte has been read.
  int reject_status = 0;      ///< Status for a request that is not read.
  const char* reject_reason = nullptr;
  Instant since{};  ///< Start of the request, idle, sending or lingering time.
  Instant next_sent_after{};  ///< HttpRequest::sent_after of the next request.

  ClientId id() const { return account->id(); }
  bool IsIdle() const { return exchange == 0 && !in_request && !lingering; }
  /// True if the first request may be in transit.
  bool AwaitsFirstRequest(Instant now) const;
  bool HasUnsentBytes() const;
  bool HasUnreadBytes() const;
  std::size_t WriteQueueBytes() const;

  void HoldForRequest(std::size_t bytes);
  /// Frees the memory of the request, and what it holds.
  void DropRequest();
  void AppendPipelined(std::string_view bytes);
  /// Takes the pipelined bytes out.
  std::string TakePipelined();
  void HoldUnsent(std::size_t bytes);
  void ReleaseUnsent(std::size_t bytes);
  /// Takes bytes that have left the write queue since the last look as read by
  /// the client.
  void LookAtWriteQueue(Instant now);
  ConnectionPhase Phase() const;
  /// Tells the budget what the client is in the middle of.
  void UpdateActivity(Instant now) const;
};

/// The parser callbacks that fill the request of a ListenerConnection, which is
/// the parser's `data`. They set `reject_status` where they fail.
http_parser_settings ListenerParserCallbacks();

}  // namespace snipeworks

#endif  // SNIPEWORKS_LIBSNIPEWORKS_HTTP_LISTENER_STATE_H_
