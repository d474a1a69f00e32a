#include "snipeworks/request_relay.h"

#include <utility>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr int kOkStatus = 200;
// A host that is up accepts within a round trip.
constexpr Duration kConnectTimeout = milliseconds(250);
// The host looks again for targets within this time.
constexpr Duration kNotRunRetryAfter = milliseconds(250);
constexpr std::size_t kMaxTries = 6;
// Each costs a caller the connect timeout.
constexpr std::size_t kMaxUnreachable = 2;
constexpr std::uint32_t kConnectionsPerHost = 64;
// A request that must run at most once only reuses a connection that was used
// this recently: one that closes leaves open whether the request ran.
constexpr Duration kMaxConnectionIdle = milliseconds(500);

}  // namespace

Error RelayError(RelayStatus status, bool once) {
  if (status == RelayStatus::kNotRun) {
    return {ErrorKind::kNotReady,
            "this host reaches no target, and no other entry host took the "
            "request",
            kNotRunRetryAfter};
  }
  return {once ? ErrorKind::kOutcomeUnknown : ErrorKind::kTargetsFailed,
          "the entry host that ran the request did not answer",
          {}};
}

RequestRelay::RequestRelay(EventLoop& loop, RelaySelector selector)
    : loop_(loop), client_(loop), selector_(std::move(selector)) {}

RelayId RequestRelay::Send(std::string message,
                           Duration timeout,
                           bool once,
                           Done done) {
  const RelayId id = next_id_++;
  PendingRequest& pending = running_[id];
  pending.message = std::move(message);
  pending.deadline = MonotonicNow() + timeout;
  pending.once = once;
  pending.done = std::move(done);
  TryNext(id);
  return id;
}

void RequestRelay::Cancel(RelayId id) {
  auto node = running_.extract(id);
  if (!node.empty()) {
    client_.Abort(node.mapped().call);
  }
}

void RequestRelay::TryNext(RelayId id) {
  PendingRequest& pending = running_.at(id);
  const Instant now = MonotonicNow();
  const bool may_try = pending.tried.size() < kMaxTries &&
                       pending.unreachable < kMaxUnreachable &&
                       now < pending.deadline;
  const auto address =
      may_try ? selector_.Choose(now, pending.tried) : std::nullopt;
  if (!address) {
    loop_.Post([this, id] { Finish(id, RelayStatus::kNotRun, {}); });
    return;
  }
  pending.tried.push_back(*address);
  client_.SetConnectionLimit(*address, kConnectionsPerHost);
  HttpCall call;
  call.address = *address;
  call.path = kRelayPath;
  call.body = pending.message;
  call.timeout = pending.deadline - now;
  call.connect_timeout = kConnectTimeout;
  if (pending.once) {
    call.max_idle = kMaxConnectionIdle;
  }
  selector_.OnSent(*address);
  pending.call = client_.Send(
      std::move(call), [this, id, address = *address](HttpCallResult&& result) {
        OnResult(id, address, result);
      });
}

void RequestRelay::OnResult(RelayId id,
                            const std::string& address,
                            const HttpCallResult& result) {
  selector_.OnEnded(address);
  auto found = running_.find(id);
  if (found == running_.end()) {
    return;
  }
  const Instant now = MonotonicNow();
  if (result.status == HttpCallStatus::kNotSent) {
    selector_.OnUnreachable(now, address);
    ++found->second.unreachable;
    TryNext(id);
    return;
  }
  const bool answered = result.status == HttpCallStatus::kAnswered &&
                        result.http_status == kOkStatus;
  auto reply =
      answered ? Decode<RelayReply>(result.body) : std::optional<RelayReply>();
  if (!reply || (reply->accepted && !IsFinalStatus(reply->status))) {
    selector_.OnUnreachable(now, address);
    Finish(id, RelayStatus::kUnknown, {});
  } else if (reply->accepted) {
    selector_.OnServed(address);
    Finish(id, RelayStatus::kAnswered, std::move(*reply));
  } else {
    selector_.OnRefused(now, address);
    TryNext(id);
  }
}

void RequestRelay::Finish(RelayId id, RelayStatus status, RelayReply reply) {
  auto node = running_.extract(id);
  if (node.empty()) {
    return;
  }
  const PendingRequest& pending = node.mapped();
  node.mapped().done(
      {status, std::move(reply),
       pending.tried.empty() ? std::string() : pending.tried.back(),
       pending.tried.size()});
}

}  // namespace snipeworks
