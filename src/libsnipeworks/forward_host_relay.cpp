// Requests that one forwarding host runs for another.

#include <algorithm>
#include <utility>

#include "snipeworks/caller_api.h"
#include "snipeworks/forward_host.h"
#include "snipeworks/relay_messages.h"
#include "snipeworks/request_authorization.h"

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// The crossing to another host and back.
constexpr Duration kRelayMargin = milliseconds(5);
constexpr Duration kMinBudget = milliseconds(1);
// A request in flight with less time left is not relayed.
constexpr Duration kMinRelayTime = milliseconds(20);
// The times of a policy, less the time that has passed.
GroupPolicy Shortened(GroupPolicy policy, Duration passed) {
  const std::int64_t passed_ms = (passed + kRelayMargin) / milliseconds(1);
  policy.soft_deadline_ms =
      std::max<std::int64_t>(1, policy.soft_deadline_ms - passed_ms);
  if (policy.objective_ms > 0) {
    policy.objective_ms =
        std::max<std::int64_t>(1, policy.objective_ms - passed_ms);
  }
  return policy;
}

RelayedForward ToMessage(const SearchRequest& request,
                         const ResponseFormat& format,
                         std::int64_t attempts,
                         Duration passed) {
  RelayedForward message;
  message.plan_name = request.plan->name;
  message.plan_version = request.plan->version;
  message.groups = GroupSet::Of(request.plan->groups);
  message.policy = Shortened(request.plan->policy, passed);
  if (message.policy.max_attempts > 0) {
    message.policy.max_attempts -= attempts;
  }
  message.request_class = static_cast<std::int64_t>(request.request_class);
  message.repeatable = request.repeatable;
  message.budget_us =
      std::max(kMinBudget, *request.budget - passed - kRelayMargin).count();
  message.top_records = format.top_records;
  message.pass_through = format.pass_through;
  message.request_id = request.forwarded->request_id;
  message.fingerprint = request.forwarded->fingerprint;
  message.head = request.forwarded->message->head;
  message.body = request.forwarded->message->body;
  message.is_head_method = format.is_head_method;
  message.customer = request.customer;
  message.customer_rank = request.customer_rank;
  return message;
}

SearchRequest ToRequest(RelayedForward& message) {
  SearchRequest request;
  request.request_class = ClassOfRank(static_cast<std::uint32_t>(
      std::max<std::int64_t>(0, message.request_class)));
  request.customer = std::move(message.customer);
  request.customer_rank = std::min(message.customer_rank, kLowestCustomerRank);
  request.repeatable = message.repeatable;
  request.budget = Duration(message.budget_us);
  auto plan = std::make_shared<SearchPlan>();
  plan->name = std::move(message.plan_name);
  plan->version = message.plan_version;
  plan->groups = message.groups.names();
  plan->policy = message.policy;
  request.plan = std::move(plan);
  request.group = request.plan->name;
  auto shared = std::make_shared<SharedRequest>();
  shared->head = std::move(message.head);
  shared->body = std::move(message.body);
  shared->is_head_method = message.is_head_method;
  auto forwarded = std::make_shared<ForwardedRequest>();
  forwarded->request_id = std::move(message.request_id);
  forwarded->fingerprint = message.fingerprint;
  forwarded->message = std::move(shared);
  request.forwarded = std::move(forwarded);
  return request;
}

}  // namespace

bool ForwardHost::MayRelay(Instant now) const {
  return contact_.state() != ContactState::kReached &&
         relay_.selector().HasCandidate(now);
}

void ForwardHost::Relay(RunningRequest running, std::int64_t attempts) {
  const Instant now = MonotonicNow();
  const Duration passed = now - running.started;
  const RequestId id = running.request.id;
  running.request.repeatable = running.request.repeatable && MayRepeat(now);
  running.attempts = attempts;
  RelayedForward message =
      ToMessage(running.request, running.format, attempts, passed);
  message.origin = settings_.host();
  ++relayed_;
  running.relay = relay_.Send(
      Encode(message), *running.request.budget - passed,
      !running.request.repeatable,
      [this, id](const RelayOutcome& outcome) { OnRelayOutcome(id, outcome); });
  running_[id] = std::move(running);
}

// Before the contact is known to be lost, it suffices that no connection for
// the request could be opened.
bool ForwardHost::FailOver(RequestId id, std::int64_t attempts) {
  const Instant now = MonotonicNow();
  auto found = running_.find(id);
  const bool unconnected = attempts == 0 && contact_.ConnectionsFail(now) &&
                           relay_.selector().HasCandidate(now);
  if (found == running_.end() || !(MayRelay(now) || unconnected)) {
    return false;
  }
  const SearchRequest& request = found->second.request;
  const GroupPolicy& policy = request.plan->policy;
  const bool enough_time =
      now + kMinRelayTime < found->second.started + *request.budget;
  const bool may_run_again =
      attempts == 0 ||
      (request.repeatable && MayRepeat(now) &&
       (policy.max_attempts == 0 || attempts < policy.max_attempts));
  if (!found->second.origin.empty() || found->second.relay || !enough_time ||
      !may_run_again ||
      (attempts > 0 && !searches_.TakeExtraAttempts(now, *request.plan))) {
    return false;
  }
  searches_.OnCallerDisconnected(now, id);
  Relay(std::move(running_.extract(id).mapped()), attempts);
  return true;
}

// A request that must not run once more waits for its answer, which may still
// come after the cut. Any other is given back to its caller, who may retry.
void ForwardHost::FailOverAll(Instant now) {
  std::vector<RequestId> ids;
  for (const auto& [id, running] : running_) {
    ids.push_back(id);
  }
  for (RequestId id : ids) {
    const auto attempts = searches_.MostAttempts(id);
    if (attempts && !FailOver(id, *attempts) &&
        running_.at(id).request.repeatable) {
      searches_.GiveUp(now, id,
                       {ErrorKind::kTargetsFailed,
                        "this host has lost its targets", std::nullopt});
    }
  }
}

void ForwardHost::OnRelayOutcome(RequestId id, const RelayOutcome& outcome) {
  auto node = running_.extract(id);
  if (node.empty()) {
    return;
  }
  const Instant now = MonotonicNow();
  RunningRequest running = std::move(node.mapped());
  running.relay.reset();
  const bool ran_before = running.attempts > 0;
  const bool refused =
      outcome.status == RelayStatus::kAnswered &&
      outcome.reply.status == RowOf(ErrorKind::kOverloaded).http_status;
  if (outcome.status == RelayStatus::kAnswered && !(refused && ran_before)) {
    if (refused) {
      Credit(running);
    }
    FinishRelayed(running, outcome, outcome.reply.ToResponse());
    return;
  }
  const Instant deadline = running.started + *running.request.budget;
  const bool late = now + kMinRelayTime >= deadline;
  if (outcome.status == RelayStatus::kNotRun && !ran_before && !late &&
      contact_.state() != ContactState::kLost) {
    Run(std::move(running));
    return;
  }
  // What may have run here must not be reported as not run.
  const RelayStatus status =
      ran_before ? RelayStatus::kUnknown : outcome.status;
  if (status == RelayStatus::kNotRun) {
    Credit(running);
  }
  Error error = RelayError(status, !running.request.repeatable);
  if (late && error.kind == ErrorKind::kTargetsFailed) {
    error.kind = ErrorKind::kDeadline;
  }
  HttpResponse response =
      ToHttpResponse(error, RetryAfterFormat::kFractionalSeconds);
  response.headers.push_back(
      {names_.request_id, running.request.forwarded->request_id});
  response.close = outcome.status == RelayStatus::kNotRun;
  FinishRelayed(running, outcome, response);
}

void ForwardHost::FinishRelayed(const RunningRequest& running,
                                const RelayOutcome& outcome,
                                const HttpResponse& response) {
  LogRelayed(running, outcome, response.status);
  requests_by_exchange_.erase(running.exchange);
  front_->SendResponse(running.exchange, response);
}

// Hosts that stop or have lost their targets take no requests of others, so
// that none travels in circles.
void ForwardHost::OnRelayedRequest(ExchangeId exchange,
                                   const HttpRequest& request) {
  const Instant now = MonotonicNow();
  auto message = request.path == kRelayPath
                     ? Decode<RelayedForward>(request.body)
                     : std::optional<RelayedForward>();
  const bool accepted = message && !draining_ && feed_.synced() &&
                        contact_.state() == ContactState::kReached &&
                        !reachability_.cut_off() && !message->groups.empty() &&
                        message->budget_us > 0;
  if (!accepted) {
    relay_listener_->SendResponse(exchange, Encapsulate({}));
    return;
  }
  ++relayed_here_;
  RunningRequest running;
  running.origin = message->origin.empty() ? "unknown" : message->origin;
  running.format.top_records = message->top_records;
  running.format.pass_through = message->pass_through;
  running.format.is_head_method = message->is_head_method;
  running.request = ToRequest(*message);
  // The origin decides by its routing, unless this host has a newer one.
  running.request.repeatable =
      running.request.repeatable &&
      running.request.plan->version >= feed_.routing_version();
  running.request.id = next_request_++;
  running.exchange = exchange;
  running.started = now;
  requests_by_relayed_exchange_[exchange] = running.request.id;
  Run(std::move(running));
}

void ForwardHost::OnOriginDisconnected(ExchangeId exchange) {
  auto node = requests_by_relayed_exchange_.extract(exchange);
  if (!node.empty()) {
    running_.erase(node.mapped());
    searches_.OnCallerDisconnected(MonotonicNow(), node.mapped());
  }
}

HttpResponse ForwardHost::OnFaultInjection(const HttpRequest& request) {
  auto cut = ParseCut(request.body);
  if (!cut) {
    return ToHttpResponse(cut.error());
  }
  gateway_.SimulateCut(*cut);
  return {200, "text/plain", "ok\n"};
}

}  // namespace snipeworks
