#ifndef SNIPEWORKS_REQUEST_RELAY_H_
#define SNIPEWORKS_REQUEST_RELAY_H_

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "snipeworks/error.h"
#include "snipeworks/event_loop.h"
#include "snipeworks/http_client.h"
#include "snipeworks/relay_messages.h"
#include "snipeworks/relay_selector.h"

namespace snipeworks {

/// Identifies a request that a RequestRelay has sent.
using RelayId = std::uint64_t;

/// How a relayed request ended.
enum class RelayStatus {
  kAnswered,
  kNotRun,   ///< No host took it: it was not run.
  kUnknown,  ///< A host may have run it; its answer was lost or is late.
};

/// The error for a caller whose relayed request ended as `status`, which is not
/// kAnswered. `once`: the request may run at most once.
Error RelayError(RelayStatus status, bool once);

/// The outcome of a relayed request.
struct RelayOutcome {
  RelayStatus status = RelayStatus::kNotRun;
  RelayReply reply;     ///< Set with kAnswered.
  std::string address;  ///< Of the host that was tried last.
  std::size_t tries = 0;
};

/// Has other entry hosts run requests. A request goes to another host only
/// after a proof that the one before did not run it.
///
/// HTTP/1.1 with one request at a time on a connection, so that a caller that
/// leaves is passed on by closing it, and a silent connection holds up no other
/// request.
class RequestRelay {
 public:
  using Done = std::function<void(const RelayOutcome&)>;

  RequestRelay(EventLoop& loop, RelaySelector selector);

  /// Sends `message`, an encoded RelayedForward or RelayedCall; `done` runs
  /// once, asynchronously. With `once`, the request may run at most once.
  RelayId Send(std::string message, Duration timeout, bool once, Done done);
  /// Drops a request; its `done` does not run.
  void Cancel(RelayId id);

  RelaySelector& selector() { return selector_; }
  const RelaySelector& selector() const { return selector_; }
  std::size_t running() const { return running_.size(); }
  const HttpClientTraffic& traffic() const { return client_.traffic(); }

 private:
  struct PendingRequest {
    std::string message;
    Instant deadline{};
    bool once = false;
    Done done;
    HttpCallId call = 0;
    std::vector<std::string> tried;
    std::size_t unreachable = 0;
  };

  void TryNext(RelayId id);
  void OnResult(RelayId id,
                const std::string& address,
                const HttpCallResult& result);
  void Finish(RelayId id, RelayStatus status, RelayReply reply);

  EventLoop& loop_;
  HttpClient client_;
  RelaySelector selector_;
  std::unordered_map<RelayId, PendingRequest> running_;
  RelayId next_id_ = 1;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_REQUEST_RELAY_H_
