#include "snipeworks/target_gateway.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "snipeworks/target_protocol.h"
#include "snipeworks/text.h"

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// The connection of a cancelled attempt that has not ended by then is aborted.
constexpr Duration kCancelGrace = milliseconds(200);
constexpr Duration kAttemptCallTimeout = milliseconds(300);
// Lets the target's own deadline expire first.
constexpr Duration kRunMargin = milliseconds(100);
constexpr Duration kVerifyTimeout = milliseconds(100);
// A process that exits closes its sockets one after the other: its listener may
// reset one connection before it refuses the next.
constexpr int kMaxVerifyTries = 4;
constexpr Duration kVerifyInterval = milliseconds(5);
// A live target accepts within a few milliseconds.
constexpr Duration kTestTimeout = milliseconds(250);
constexpr Duration kWarmUpTimeout = milliseconds(1000);

}  // namespace

TargetGateway::TargetGateway(EventLoop& loop,
                             std::string prefix,
                             SpanWriter& spans,
                             Random& random,
                             OnOutcome on_outcome,
                             OnProbe on_probe)
    : loop_(loop),
      client_(loop),
      prefix_(std::move(prefix)),
      spans_(spans),
      random_(random),
      on_outcome_(std::move(on_outcome)),
      on_probe_(std::move(on_probe)) {}

void TargetGateway::SetMaxConnections(const std::string& address,
                                      std::uint32_t max_connections) {
  auto [entry, added] = max_connections_.try_emplace(address, max_connections);
  if (!added && entry->second == max_connections) {
    return;
  }
  entry->second = max_connections;
  client_.SetConnectionLimit(address, max_connections);
  if (added) {
    HttpCall warm_up;
    warm_up.address = address;
    warm_up.method = "GET";
    warm_up.path = "/healthz";
    warm_up.timeout = kWarmUpTimeout;
    client_.Send(warm_up, [](const HttpCallResult&) {});
  }
}

void TargetGateway::Start(const AttemptCommand& command) {
  RunningAttempt running;
  running.wire_id = prefix_ + "-" + std::to_string(command.id);
  running.command = command;
  running.started = std::chrono::system_clock::now();
  if (auto parent = TraceContext::Parse(command.trace_parent)) {
    running.context = parent->Child(random_);
    running.parent_span = parent->span_id;
  }
  HttpCall call;
  call.address = command.address;
  call.path = kRunPath;
  call.body = ToJson(RunRequest{running.wire_id, command.group,
                                command.snapshot, command.part, *command.query,
                                command.budget, command.idempotency_key});
  call.timeout = command.budget + kRunMargin;
  call.fresh_connection = command.fresh_connection;
  if (!running.context.trace_id.empty()) {
    call.headers.push_back({"traceparent", running.context.ToHeader()});
  }
  running.call =
      client_.Send(call, [this, id = command.id](const HttpCallResult& result) {
        OnAnswer(id, result);
      });
  running_[command.id] = std::move(running);
}

void TargetGateway::TestConnection(const std::string& address,
                                   std::function<void(bool reached)> done) {
  client_.TestConnection(address, kTestTimeout, std::move(done));
}

void TargetGateway::OnAnswer(AttemptId attempt, const HttpCallResult& result) {
  auto node = running_.extract(attempt);
  if (node.empty()) {
    return;
  }
  const RunningAttempt& running = node.mapped();
  AttemptOutcome outcome = OutcomeOf(result, running.wire_id);
  outcome.new_connection = !result.reused_connection;
  outcome.connect_failed = result.connect_failed;
  if (outcome.status == AttemptStatus::kLost) {
    VerifyTargetLoss(running, kMaxVerifyTries);
  } else {
    Report(running, outcome);
  }
}

// A connection may be lost with or without its target. A probe tells them
// apart: a target that is gone refuses it, and one that was restarted reports
// another incarnation.
void TargetGateway::VerifyTargetLoss(const RunningAttempt& running, int tries) {
  HttpCall call = MakeAttemptCall(running, kProbePath);
  call.timeout = kVerifyTimeout;
  client_.Send(call, [this, running, tries](const HttpCallResult& result) {
    if (result.status == HttpCallStatus::kLost && tries > 1) {
      loop_.After(kVerifyInterval, [this, running, tries] {
        VerifyTargetLoss(running, tries - 1);
      });
      return;
    }
    AttemptOutcome outcome;
    const ProbeAnswer answer = ParseProbeAnswer(result);
    const bool gone = result.status == HttpCallStatus::kNotSent ||
                      result.status == HttpCallStatus::kLost;
    const bool answered = answer.state != ProbeState::kUnreachable;
    const bool restarted =
        answered && answer.incarnation != running.command.incarnation;
    if (gone || restarted) {
      outcome.status = AttemptStatus::kLost;
    } else if (answer.state == ProbeState::kUnknown) {
      outcome.status = AttemptStatus::kSilent;
    } else {
      outcome.status = AttemptStatus::kFailed;
    }
    Report(running, outcome);
  });
}

HttpCall TargetGateway::MakeAttemptCall(const RunningAttempt& running,
                                        const char* path) {
  HttpCall call;
  call.address = running.command.address;
  call.path = path;
  call.body = WriteJson({{"attempt", running.wire_id}});
  call.timeout = kAttemptCallTimeout;
  // A probe must not reuse the connection that it checks.
  call.fresh_connection = path == std::string_view(kProbePath);
  return call;
}

void TargetGateway::Report(const RunningAttempt& running,
                           const AttemptOutcome& outcome) {
  if (running.context.sampled) {
    spans_.Write({"entry.attempt",
                  running.context,
                  running.parent_span,
                  running.started,
                  std::chrono::system_clock::now(),
                  {{"target", running.command.target},
                   {"kind", ToString(running.command.kind)},
                   {"part", std::to_string(running.command.part)},
                   {"status", ToString(outcome.status)}}});
  }
  on_outcome_(running.command.id, outcome);
}

void TargetGateway::Cancel(AttemptId attempt) {
  auto found = running_.find(attempt);
  if (found == running_.end() || std::exchange(found->second.cancelled, true)) {
    return;
  }
  client_.Send(MakeAttemptCall(found->second, kCancelPath),
               [](const HttpCallResult&) {});
  loop_.After(kCancelGrace, [this, attempt] {
    auto still_running = running_.find(attempt);
    if (still_running != running_.end()) {
      client_.Abort(still_running->second.call);
    }
  });
}

void TargetGateway::Probe(AttemptId attempt) {
  auto found = running_.find(attempt);
  if (found == running_.end()) {
    return;
  }
  const HttpCall call = MakeAttemptCall(found->second, kProbePath);
  client_.Send(call, [this, attempt](const HttpCallResult& result) {
    const ProbeState state = ParseProbeAnswer(result).state;
    auto still_running = running_.find(attempt);
    if (still_running == running_.end()) {
      return;
    }
    if (state == ProbeState::kUnknown) {
      client_.RetireConnectionGeneration(still_running->second.call);
      client_.Abort(still_running->second.call);
    }
    on_probe_(attempt, state);
  });
}

}  // namespace snipeworks
