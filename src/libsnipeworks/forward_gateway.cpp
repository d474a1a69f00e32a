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
// The target's own deadline comes first.
constexpr Duration kRunMargin = milliseconds(100);
// A target that is there accepts within a few milliseconds; one that does not
// is taken for gone, and the request goes elsewhere.
constexpr Duration kConnectTimeout = milliseconds(250);
// A target that is there accepts within a round trip; the retry waits for this.
constexpr Duration kVerifyTimeout = milliseconds(100);
// While a target ends, its listener may take a connection that breaks at once.
constexpr int kVerifyTries = 4;
// A request that may run once goes on a connection that was used this lately:
// one that its target has just given up would leave open whether it ran.
constexpr Duration kFreshEnough = milliseconds(500);

std::uint64_t LengthOf(const HttpCallResult& result) {
  const std::string_view text = result.Header("Content-Length");
  std::uint64_t length = result.body.size();
  std::from_chars(text.data(), text.data() + text.size(), length);
  return length;
}

}  // namespace

ForwardGateway::ForwardGateway(EventLoop& loop,
                               const ForwardNames& names,
                               OnOutcome done)
    : names_(names), client_(loop), on_outcome_(std::move(done)) {}

void ForwardGateway::SetShare(const std::string& address, std::uint32_t share) {
  std::uint32_t& known = shares_[address];
  if (known != share) {
    known = share;
    client_.SetConnectionLimit(address, share);
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
  call.fresh_connection = command.fresh_connection;
  if (!command.repeatable) {
    call.max_idle = kFreshEnough;
  }
  call.correlation_header = {names_.request_id, request.request_id};
  const HttpCallId sent = client_.Send(
      std::move(call), [this, id = command.id, snapshot = command.snapshot,
                        part = command.part](HttpCallResult&& result) {
        AttemptOutcome outcome = ForwardOutcomeOf(std::move(result), names_);
        outcome.snapshot = snapshot;
        outcome.part = part;
        if (outcome.status == AttemptStatus::kLost) {
          running_.at(id).lost = outcome;
          VerifyLoss(id, kVerifyTries);
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

// A broken connection can mean that the target has ended, or only the
// connection: one that has ended refuses a new connection. Silence proves
// nothing, as the way there may be cut.
void ForwardGateway::VerifyLoss(AttemptId attempt, int tries) {
  Running& running = running_.at(attempt);
  HttpCall call;
  call.address = running.address;
  call.connect_only = true;
  call.timeout = kVerifyTimeout;
  call.connect_timeout = kVerifyTimeout;
  call.other_zone = running.other_zone;
  running.call = client_.Send(
      std::move(call), [this, attempt, tries](const HttpCallResult& result) {
        const bool broke = result.status == HttpCallStatus::kLost &&
                           !result.connection_refused;
        if (broke && tries > 1) {
          VerifyLoss(attempt, tries - 1);
          return;
        }
        AttemptOutcome verified = *running_.at(attempt).lost;
        if (result.status == HttpCallStatus::kAborted) {
          verified.status = AttemptStatus::kCancelled;
        } else if (!result.connection_refused) {
          verified.status = AttemptStatus::kFailed;
        }
        Report(attempt, verified);
      });
}

void ForwardGateway::Cancel(AttemptId attempt) {
  auto found = running_.find(attempt);
  if (found != running_.end()) {
    client_.Abort(found->second.call);
  }
}

void ForwardGateway::Withdraw(const std::string& target) {
  for (const auto& [attempt, running] : running_) {
    if (running.target == target && !running.lost) {
      client_.AbortUnsent(running.call);
    }
  }
}

AttemptOutcome ForwardOutcomeOf(HttpCallResult result,
                                const ForwardNames& names) {
  AttemptOutcome outcome;
  if (const auto status =
          UnansweredStatus(result.status, AttemptStatus::kFailed)) {
    // Who sends bytes that are no answer is there.
    outcome.status = result.malformed ? AttemptStatus::kFailed : *status;
    return outcome;
  }
  outcome.load = ParseLoad(result.Header(names.load));
  outcome.leaving = result.Header(names.leaving) == names.leaving_value;
  if (result.http_status == kMisdirectedStatus) {
    outcome.status = AttemptStatus::kWrongTarget;
    return outcome;
  }
  // The time binds also where nothing proves that the request was not run.
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
  if (success && answer->signature.empty()) {
    outcome.status = AttemptStatus::kFailed;
    return outcome;
  }
  answer->declared_length = LengthOf(result);
  answer->headers = std::move(result.headers);
  RemoveHopByHopHeaders(answer->headers);
  answer->body = std::move(result.body);
  outcome.documents = 1;
  outcome.answer = std::move(answer);
  return outcome;
}

std::optional<ReportedLoad> ParseLoad(std::string_view text) {
  std::array<std::uint32_t, 4> figures = {0, 0, 0, 100};
  std::size_t count = 0;
  const char* at = text.data();
  const char* const end = at + text.size();
  while (at < end && count < figures.size()) {
    while (at < end && (*at == ' ' || *at == ',')) {
      ++at;
    }
    const auto [next, fault] = std::from_chars(at, end, figures[count]);
    if (fault != std::errc()) {
      break;
    }
    ++count;
    at = next;
  }
  if (count < 3) {
    return std::nullopt;
  }
  return ReportedLoad{figures[0], figures[1], figures[2], figures[3]};
}

}  // namespace snipeworks
