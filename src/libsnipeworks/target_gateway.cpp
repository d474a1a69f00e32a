#include "snipeworks/target_gateway.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "snipeworks/target_protocol.h"

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// A cancelled attempt that has not ended by then is given up with its
// connection.
constexpr Duration kCancelGrace = milliseconds(200);
constexpr Duration kAskTimeout = milliseconds(300);
// The target's own deadline comes first.
constexpr Duration kRunMargin = milliseconds(100);
constexpr Duration kVerifyTimeout = milliseconds(100);
// A process that ends closes its sockets one after the other: its listener may
// reset a connection first, and refuses the next one.
constexpr int kVerifyTries = 4;
constexpr Duration kVerifyPause = milliseconds(5);
constexpr Duration kWarmTimeout = milliseconds(1000);

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

void TargetGateway::SetShare(const std::string& address, std::uint32_t share) {
  auto [slot, added] = shares_.try_emplace(address, share);
  if (!added && slot->second == share) {
    return;
  }
  slot->second = share;
  client_.SetConnectionLimit(address, share);
  if (added) {
    HttpCall warm;
    warm.address = address;
    warm.method = "GET";
    warm.path = "/healthz";
    warm.timeout = kWarmTimeout;
    client_.Send(warm, [](const HttpCallResult&) {});
  }
}

void TargetGateway::Start(const AttemptCommand& command) {
  Running running;
  running.name = prefix_ + "-" + std::to_string(command.id);
  running.command = command;
  running.started = std::chrono::system_clock::now();
  if (auto parent = TraceContext::Parse(command.trace_parent)) {
    running.context = parent->Child(random_);
    running.parent_span = parent->span_id;
  }
  HttpCall call;
  call.address = command.address;
  call.path = kRunPath;
  call.body = ToJson(RunRequest{running.name, command.group, command.snapshot,
                                command.part, *command.query, command.budget,
                                command.idempotency_key});
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

void TargetGateway::OnAnswer(AttemptId attempt, const HttpCallResult& result) {
  auto node = running_.extract(attempt);
  if (node.empty()) {
    return;
  }
  const Running& running = node.mapped();
  const AttemptOutcome outcome = OutcomeOf(result, running.name);
  if (outcome.status == AttemptStatus::kLost) {
    VerifyLoss(running, kVerifyTries);
  } else {
    Report(running, outcome);
  }
}

// A broken connection can mean that the target broke, or only the connection.
// The target that is asked again tells: one that has gone refuses, one that was
// restarted has another incarnation.
void TargetGateway::VerifyLoss(const Running& running, int tries) {
  HttpCall call = CallAbout(running, kProbePath);
  call.timeout = kVerifyTimeout;
  client_.Send(call, [this, running, tries](const HttpCallResult& result) {
    if (result.status == HttpCallStatus::kLost && tries > 1) {
      loop_.After(kVerifyPause,
                  [this, running, tries] { VerifyLoss(running, tries - 1); });
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

HttpCall TargetGateway::CallAbout(const Running& running, const char* path) {
  HttpCall call;
  call.address = running.command.address;
  call.path = path;
  call.body = nlohmann::json{{"attempt", running.name}}.dump();
  call.timeout = kAskTimeout;
  // A probe must not go the way of the connection that is doubted.
  call.fresh_connection = path == std::string_view(kProbePath);
  return call;
}

void TargetGateway::Report(const Running& running,
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
  client_.Send(CallAbout(found->second, kCancelPath),
               [](const HttpCallResult&) {});
  loop_.After(kCancelGrace, [this, attempt] {
    auto late = running_.find(attempt);
    if (late != running_.end()) {
      client_.Abort(late->second.call);
    }
  });
}

void TargetGateway::Probe(AttemptId attempt) {
  auto found = running_.find(attempt);
  if (found == running_.end()) {
    return;
  }
  const HttpCall call = CallAbout(found->second, kProbePath);
  client_.Send(call, [this, attempt](const HttpCallResult& result) {
    const ProbeState state = ParseProbeAnswer(result).state;
    auto late = running_.find(attempt);
    if (late == running_.end()) {
      return;
    }
    if (state == ProbeState::kUnknown) {
      client_.RetireConnectionGeneration(late->second.call);
      client_.Abort(late->second.call);
    }
    on_probe_(attempt, state);
  });
}

}  // namespace snipeworks
