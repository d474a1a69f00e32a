#include "snipeworks/forward_gateway.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "snipeworks/target_protocol.h"

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr int kMisdirectedStatus = 421;
constexpr int kUnavailableStatus = 503;
// Lets the target's own deadline expire first.
constexpr Duration kRunMargin = milliseconds(100);
// A live target accepts within a few milliseconds. One that does not counts as
// gone, and the request goes to another target.
constexpr Duration kConnectTimeout = milliseconds(250);
// A live target accepts within a round trip; the retry waits for this check.
constexpr Duration kVerifyTimeout = milliseconds(100);
// The listener of a process that exits may accept a connection and reset it.
constexpr int kMaxVerifyTries = 4;
// A request that must run at most once only reuses a connection that was used
// this recently: if the target is closing an idle connection, it is unknown
// whether the request ran.
constexpr Duration kMaxConnectionIdle = milliseconds(500);

std::uint64_t DeclaredLength(const HttpCallResult& result) {
  const std::string_view text = result.Header("Content-Length");
  std::uint64_t length = result.body.size();
  std::from_chars(text.data(), text.data() + text.size(), length);
  return length;
}

// An answer without the header ends a limit, and one whose header cannot be
// read says nothing. Of several limits the lowest holds.
std::optional<StatedLimit> StatedLimitOf(const HttpCallResult& result,
                                         std::string_view name) {
  StatedLimit stated;
  bool present = false;
  for (const HttpHeader& header : result.headers) {
    if (!SameHeaderName(header.name, name)) {
      continue;
    }
    present = true;
    if (const auto limit = ParseRequestLimit(header.value)) {
      stated.per_second = std::min(*limit, stated.per_second.value_or(*limit));
    }
  }
  const bool readable = !present || stated.per_second;
  return readable ? std::optional(stated) : std::nullopt;
}

}  // namespace

ForwardGateway::ForwardGateway(EventLoop& loop,
                               const ForwardNames& names,
                               OnOutcome on_outcome)
    : names_(names), client_(loop), on_outcome_(std::move(on_outcome)) {}

void ForwardGateway::SetMaxConnections(const std::string& address,
                                       std::uint32_t max_connections) {
  std::uint32_t& current = max_connections_[address];
  if (current != max_connections) {
    current = max_connections;
    client_.SetConnectionLimit(address, max_connections);
  }
}

void ForwardGateway::Start(const AttemptCommand& command) {
  const ForwardedRequest& request = *command.forwarded;
  HttpCall call;
  call.address = command.address;
  call.shared_request = request.message;
  call.headers.reserve(2);
  call.headers.push_back(
      {names_.deadline_ms, std::to_string(std::max<std::int64_t>(
                               1, command.budget.count() / 1000))});
  call.headers.push_back({names_.expected_target, command.target});
  call.timeout = command.budget + kRunMargin;
  call.connect_timeout = kConnectTimeout;
  call.other_zone = command.other_zone;
  // A request without an id cannot be told apart from earlier ones.
  call.fresh_connection =
      command.fresh_connection || request.request_id.empty();
  if (!command.repeatable) {
    call.max_idle = kMaxConnectionIdle;
  }
  call.correlation_header = {names_.request_id, request.request_id};
  const HttpCallId sent = client_.Send(
      std::move(call), [this, id = command.id, snapshot = command.snapshot,
                        part = command.part](HttpCallResult&& result) {
        const bool new_connection = !result.reused_connection;
        const bool connect_failed = result.connect_failed;
        AttemptOutcome outcome = ForwardOutcomeOf(std::move(result), names_);
        outcome.new_connection = new_connection;
        outcome.connect_failed = connect_failed;
        outcome.snapshot = snapshot;
        outcome.part = part;
        if (outcome.status == AttemptStatus::kLost) {
          running_.at(id).unverified = outcome;
          VerifyTargetLoss(id, kMaxVerifyTries);
        } else {
          Report(id, outcome);
        }
      });
  running_[command.id] = {sent, command.target, command.address,
                          command.other_zone, std::nullopt};
}

void ForwardGateway::Report(AttemptId attempt, const AttemptOutcome& outcome) {
  running_.erase(attempt);
  on_outcome_(attempt, outcome);
}

// A connection may be lost with or without its target. A target whose process
// has exited refuses a new connection; a timeout proves nothing, as the network
// may be partitioned.
void ForwardGateway::VerifyTargetLoss(AttemptId attempt, int tries) {
  PendingAttempt& running = running_.at(attempt);
  HttpCall call;
  call.address = running.address;
  call.connect_only = true;
  call.timeout = kVerifyTimeout;
  call.connect_timeout = kVerifyTimeout;
  call.other_zone = running.other_zone;
  running.call = client_.Send(
      std::move(call), [this, attempt, tries](const HttpCallResult& result) {
        const bool connection_lost = result.status == HttpCallStatus::kLost &&
                                     !result.connection_refused;
        if (connection_lost && tries > 1) {
          VerifyTargetLoss(attempt, tries - 1);
          return;
        }
        AttemptOutcome verified = *running_.at(attempt).unverified;
        if (result.status == HttpCallStatus::kAborted) {
          verified.status = AttemptStatus::kCancelled;
        } else if (!result.connection_refused) {
          verified.status = AttemptStatus::kFailed;
        }
        Report(attempt, verified);
      });
}

void ForwardGateway::TestConnection(const std::string& address,
                                    std::function<void(bool reached)> done) {
  client_.TestConnection(address, kConnectTimeout, std::move(done));
}

void ForwardGateway::Cancel(AttemptId attempt) {
  auto found = running_.find(attempt);
  if (found != running_.end()) {
    client_.Abort(found->second.call);
  }
}

void ForwardGateway::CancelUnsent(const std::string& target) {
  for (const auto& [attempt, running] : running_) {
    if (running.target == target && !running.unverified) {
      client_.AbortUnsent(running.call);
    }
  }
}

AttemptOutcome ForwardOutcomeOf(HttpCallResult result,
                                const ForwardNames& names) {
  AttemptOutcome outcome;
  if (const auto status =
          UnansweredStatus(result.status, AttemptStatus::kFailed)) {
    outcome.status = *status;
    return outcome;
  }
  if (result.http_status != kMisdirectedStatus) {
    outcome.stated_limit = StatedLimitOf(result, names.request_limit);
  }
  outcome.load = ParseLoadHeader(result.Header(names.load));
  outcome.draining = result.Header(names.leaving) == names.leaving_value;
  if (result.http_status == kMisdirectedStatus) {
    outcome.status = AttemptStatus::kWrongTarget;
    return outcome;
  }
  // Retry-After also applies to a 503 that does not prove that the request was
  // not run.
  const bool not_run = !result.Header(names.not_run).empty();
  if (not_run || result.http_status == kUnavailableStatus) {
    outcome.retry_after = result.retry_after.value_or(Duration{});
  }
  if (not_run) {
    outcome.status = AttemptStatus::kShed;
    return outcome;
  }
  auto answer = std::make_shared<TargetAnswer>();
  answer->status = result.http_status;
  answer->signature = std::string(result.Header(names.signature));
  const bool success = result.http_status >= 200 && result.http_status < 300;
  outcome.status = success ? AttemptStatus::kAnswered : AttemptStatus::kFailed;
  // Something else may listen at the address of a target.
  if (answer->signature.empty()) {
    outcome.status = AttemptStatus::kFailed;
    return outcome;
  }
  answer->declared_length = DeclaredLength(result);
  answer->headers = std::move(result.headers);
  RemoveHopByHopHeaders(answer->headers);
  answer->body = std::move(result.body);
  answer->held = std::move(result.held);
  outcome.documents = 1;
  outcome.answer = std::move(answer);
  return outcome;
}

std::optional<ReportedLoad> ParseLoadHeader(std::string_view text) {
  std::array<std::uint32_t, 4> values = {0, 0, 0, 100};
  std::size_t count = 0;
  const char* position = text.data();
  const char* const end = position + text.size();
  while (position < end && count < values.size()) {
    while (position < end && (*position == ' ' || *position == ',')) {
      ++position;
    }
    const auto [next, error] = std::from_chars(position, end, values[count]);
    if (error != std::errc()) {
      break;
    }
    ++count;
    position = next;
  }
  if (count < 3) {
    return std::nullopt;
  }
  return ReportedLoad{values[0], values[1], values[2], values[3]};
}

}  // namespace snipeworks
