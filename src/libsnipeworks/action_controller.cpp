#include "snipeworks/action_controller.h"

#include <charconv>
#include <utility>

#include <xxhash.h>
#include <nlohmann/json.hpp>

#include "snipeworks/poison_tracker.h"
#include "snipeworks/text.h"

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr Duration kRetryAfter = milliseconds(1000);
constexpr std::size_t kMinTokenLength = 8;

// The target's answer, as it is sent to the caller and stored.
std::string BodyOf(const AttemptOutcome& outcome) {
  nlohmann::json hits = nlohmann::json::array();
  for (const Hit& hit : outcome.hits) {
    hits.push_back({{"document", hit.document}, {"score", hit.score}});
  }
  return WriteJson({{"result", std::move(hits)}});
}

}  // namespace

std::optional<std::int64_t> KeyCreationSeconds(const std::string& key) {
  const std::size_t dot = key.find('.');
  if (dot == std::string::npos || key.size() - dot - 1 < kMinTokenLength) {
    return std::nullopt;
  }
  std::int64_t seconds = 0;
  const auto [end, error] =
      std::from_chars(key.data(), key.data() + dot, seconds);
  if (error != std::errc() || end != key.data() + dot || seconds <= 0) {
    return std::nullopt;
  }
  return seconds;
}

ActionController::ActionController(std::string host,
                                   std::uint64_t incarnation,
                                   ActionTargetPool& targets)
    : host_(std::move(host)), incarnation_(incarnation), targets_(targets) {}

void ActionController::Submit(Instant now, ActionRequest request) {
  const RequestId id = request.id;
  RunningAction& action = running_[id];
  action.request = std::move(request);
  // The prefix keeps the fingerprint distinct from that of a search with the
  // same text.
  action.target_query = {
      action.request.group,
      FingerprintOf("action " + action.request.group, action.request.body)};
  action.deadline = now + action.request.budget;
  action.owner =
      host_ + "-" + std::to_string(incarnation_) + "-" + std::to_string(id);
  timers_.Add(action.deadline, id);
  steps_.emplace_back(ClaimKey{id, CommandFor(action, CommandKind::kClaim)});
}

ControlCommand ActionController::CommandFor(const RunningAction& action,
                                            CommandKind kind) const {
  const ActionRequest& request = action.request;
  ControlCommand command;
  command.kind = kind;
  command.caller = request.caller;
  command.key = request.key;
  const std::uint64_t seed =
      XXH3_64bits(request.group.data(), request.group.size());
  command.body_hash =
      XXH3_64bits_withSeed(request.body.data(), request.body.size(), seed);
  command.owner = action.owner;
  command.created_s = KeyCreationSeconds(request.key).value_or(0);
  return command;
}

void ActionController::OnClaimResult(
    Instant now,
    RequestId id,
    const std::optional<CommandResult>& result) {
  auto found = running_.find(id);
  if (found == running_.end() || found->second.phase != Phase::kClaiming) {
    return;
  }
  RunningAction& action = found->second;
  if (!result) {
    // The claim may have been committed, so it is released.
    FinishNotRun(action, {ErrorKind::kClaimUnavailable,
                          "no control host confirmed the claim", kRetryAfter});
    return;
  }
  switch (result->status) {
    case CommandStatus::kGranted:
      Send(now, action);
      return;
    case CommandStatus::kDone:
      Answer(action, ActionAnswer{result->body, true});
      running_.erase(id);
      return;
    case CommandStatus::kInProgress:
      Answer(action, Fail(ErrorKind::kInProgress,
                          "another request holds the key", kRetryAfter));
      break;
    case CommandStatus::kMayHaveRun:
      Answer(action, Fail(ErrorKind::kOutcomeUnknown,
                          "an earlier request with this key may have run"));
      break;
    case CommandStatus::kKeyReused:
      Answer(action, Fail(ErrorKind::kKeyReused, result->detail));
      break;
    case CommandStatus::kKeyExpired:
      Answer(action, Fail(ErrorKind::kKeyExpired, result->detail));
      break;
    default:
      Answer(action, Fail(ErrorKind::kClaimUnavailable,
                          "unexpected answer to the claim", kRetryAfter));
      break;
  }
  running_.erase(id);
}

// Sends nothing after the deadline, since the caller has been told by then that
// the request was not run.
void ActionController::Send(Instant now, RunningAction& action) {
  if (action.answered || now >= action.deadline) {
    FinishNotRun(action, {ErrorKind::kOverloaded,
                          "the deadline passed before the request was sent",
                          kRetryAfter});
    return;
  }
  auto target = targets_.Acquire(now, action.target_query, action.tried);
  if (!target) {
    FinishNotRun(action, target.error());
    return;
  }
  action.phase = Phase::kSending;
  action.tried.push_back(target->target);
  action.target = *target;
  action.attempt = kActionBit | next_attempt_++;
  action.sent = now;
  attempts_[action.attempt] = action.request.id;
  AttemptCommand command;
  command.id = action.attempt;
  command.request = action.request.id;
  command.kind = action.tried.size() == 1 ? AttemptKind::kPrimary
                                          : AttemptKind::kReplacement;
  command.target = target->target;
  command.incarnation = target->incarnation;
  command.address = target->address;
  command.group = action.request.group;
  command.snapshot = target->snapshot;
  command.part = target->part;
  command.query = std::make_shared<const std::string>(action.request.body);
  command.budget = action.deadline - now;
  command.fresh_connection = true;
  command.idempotency_key = action.request.caller + "/" + action.request.key;
  command.trace_parent = action.request.trace_parent;
  steps_.emplace_back(SendAction{std::move(command)});
}

void ActionController::OnOutcome(Instant now,
                                 AttemptId attempt,
                                 const AttemptOutcome& outcome) {
  auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  const RequestId id = found->second;
  attempts_.erase(found);
  RunningAction& action = running_.at(id);
  targets_.Release(now, action.target_query, action.target, outcome,
                   now - action.sent);
  if (outcome.status == AttemptStatus::kAnswered) {
    const std::string body = BodyOf(outcome);
    Record(action, ClaimState::kDone, body);
    Answer(action, ActionAnswer{body, false});
    running_.erase(id);
    return;
  }
  // A probe that does not know the attempt is not sufficient proof here; only a
  // refusal by the target, or an attempt that was not sent, is.
  const bool not_run =
      ProvesNotRun(outcome.status) && outcome.status != AttemptStatus::kSilent;
  if (not_run) {
    Send(now, action);
    return;
  }
  Record(action, ClaimState::kMayHaveRun, "");
  Answer(action,
         Fail(ErrorKind::kOutcomeUnknown,
              std::string("the attempt ended as ") + ToString(outcome.status)));
  running_.erase(id);
}

void ActionController::Tick(Instant now) {
  while (auto id = timers_.PopDue(now)) {
    auto found = running_.find(*id);
    if (found == running_.end()) {
      continue;
    }
    RunningAction& action = found->second;
    if (action.phase == Phase::kClaiming) {
      // If the claim is granted later, it is released at once.
      Answer(action, Fail(ErrorKind::kClaimUnavailable,
                          "the claim was not confirmed in time", kRetryAfter));
    } else {
      // The outcome is still recorded when it arrives.
      Answer(action,
             Fail(ErrorKind::kOutcomeUnknown, "no answer within the deadline"));
    }
  }
}

// Finishes an action that was not run and will not be run by this host.
void ActionController::FinishNotRun(RunningAction& action, Error error) {
  Record(action, ClaimState::kNotRun, "");
  Answer(action, tl::unexpected(std::move(error)));
  running_.erase(action.request.id);
}

void ActionController::Record(const RunningAction& action,
                              ClaimState state,
                              const std::string& body) {
  ControlCommand command = CommandFor(action, CommandKind::kOutcome);
  command.outcome = state;
  command.body = body;
  steps_.emplace_back(RecordOutcome{std::move(command)});
}

void ActionController::Answer(RunningAction& action,
                              Result<ActionAnswer> result) {
  if (std::exchange(action.answered, true)) {
    return;
  }
  steps_.emplace_back(FinishAction{action.request.id, std::move(result)});
}

std::vector<ActionStep> ActionController::TakeSteps() {
  return std::exchange(steps_, {});
}

}  // namespace snipeworks
