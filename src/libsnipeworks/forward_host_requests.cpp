// Callers' requests, from arrival to the search core.

#include <algorithm>
#include <charconv>
#include <utility>

#include "snipeworks/caller_api.h"
#include "snipeworks/forward_host.h"
#include "snipeworks/request_authorization.h"
#include "snipeworks/shutdown_admission.h"

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr Duration kNotReadyRetryAfter = milliseconds(300);
// After a power failure the control hosts start, elect a leader and distribute
// the routes within about this time; a caller that retries sooner is refused
// again.
constexpr Duration kTypicalStartup = milliseconds(800);
// Retry-After of a request that comes too late in a stop: callers' new
// connections already go to other hosts.
constexpr Duration kShutdownRetryAfter = milliseconds(10);
// No other host that is known serves either: time for one to regain targets.
constexpr Duration kTargetsLostRetryAfter = milliseconds(250);
// After a suspension a control host in reach replies sooner. Without a reply
// the rest of the caller's time is better spent on the request, here or at
// another host.
constexpr Duration kMaxHold = milliseconds(250);
constexpr int kHoldShareOfDeadline = 4;
// A host that regains contact has the newest routing within about this time.
constexpr Duration kBehindRetryAfter = milliseconds(300);

std::optional<Duration> ReadDeadline(std::string_view text) {
  std::int64_t millis = 0;
  const auto [end, parse_error] =
      std::from_chars(text.data(), text.data() + text.size(), millis);
  if (parse_error != std::errc() || end == text.data() || millis <= 0) {
    return std::nullopt;
  }
  return milliseconds(millis);
}

}  // namespace

// A version that was accepted during a suspension may change each decision
// below, from the route itself to whether the request may run twice.
void ForwardHost::OnRequest(ExchangeId exchange, HttpRequest request) {
  const Instant now = MonotonicNow();
  const bool suspended =
      planner_.table() != nullptr &&
      feed_.routing_freshness(now) == RoutingFreshness::kSuspended;
  if (suspended) {
    Hold(now, exchange, std::move(request));
  } else {
    Admit(exchange, std::move(request), now);
  }
}

void ForwardHost::Hold(Instant now, ExchangeId exchange, HttpRequest request) {
  const auto deadline = ReadDeadline(request.Header(names_.deadline_ms));
  const Duration patience =
      deadline ? std::min(kMaxHold, *deadline / kHoldShareOfDeadline)
               : kMaxHold;
  ++requests_held_;
  held_.insert_or_assign(exchange, HeldRequest{std::move(request), now});
  loop_.After(patience, [this, exchange] { Release(exchange); });
}

void ForwardHost::Release(ExchangeId exchange) {
  auto held = held_.extract(exchange);
  if (!held.empty()) {
    Admit(exchange, std::move(held.mapped().request), held.mapped().arrived);
  }
}

void ForwardHost::ReleaseAll(Instant now) {
  auto released = std::exchange(held_, {});
  if (released.empty()) {
    return;
  }
  log_.Write(EventKind::kRoutingConfirmed,
             {{"version", feed_.routing_version()},
              {"released", released.size()},
              {"waited_ms", now - released.begin()->second.arrived}});
  for (auto& [exchange, held] : released) {
    Admit(exchange, std::move(held.request), held.arrived);
  }
}

void ForwardHost::OnControlReply() {
  const Instant now = MonotonicNow();
  searches_.RepeatUntil(feed_.repeatable_until());
  if (feed_.routing_freshness(now) != RoutingFreshness::kSuspended) {
    ReleaseAll(now);
  }
}

void ForwardHost::Admit(ExchangeId exchange,
                        HttpRequest request,
                        Instant arrived) {
  const Instant now = MonotonicNow();
  const RoutingFreshness freshness = feed_.routing_freshness(now);
  if (planner_.table() == nullptr) {
    Reject(exchange, request,
           {ErrorKind::kNotReady, "no routes are known yet",
            std::max(kNotReadyRetryAfter, kTypicalStartup - (now - started_))});
    return;
  }
  const Route* route =
      planner_.table()->Find(request.Header("Host"), request.path);
  if (route == nullptr && freshness == RoutingFreshness::kSuspended) {
    Reject(exchange, request,
           {ErrorKind::kNotReady,
            "this host was suspended and has yet to learn of new routes",
            kBehindRetryAfter},
           true);
    return;
  }
  if (route == nullptr) {
    Reject(exchange, request,
           {ErrorKind::kUnknownRoute,
            "no route matches the host name and path",
            {}});
    return;
  }
  const auto customer =
      Authorize(request.headers, *route, customers_, freshness, names_);
  if (!customer) {
    RejectUnauthorized(exchange, request, customer.error());
    return;
  }
  if (request.body_truncated) {
    Reject(exchange, request,
           {ErrorKind::kNotReady, "the route is newer than the request",
            kNotReadyRetryAfter});
    return;
  }
  auto plan = planner_.Plan(*route);
  if (draining_ && !HasTimeToRun(final_answers_at_ - now,
                                 searches_.SlowLatency(plan->name))) {
    Reject(exchange, request,
           {ErrorKind::kNotReady, "this host is shutting down",
            kShutdownRetryAfter});
    return;
  }
  if (reachability_.cut_off() && !ZoneCanServe(now, *plan)) {
    Reject(
        exchange, request,
        {ErrorKind::kNotReady, "this host cannot reach the other zones",
         reachability_.RetryAfter(now, feed_.zone_reachable(now),
                                  milliseconds(settings_.shutdown_hold_ms()))});
    return;
  }
  if (contact_.state() == ContactState::kLost && !MayRelay(now)) {
    Reject(exchange, request,
           {ErrorKind::kNotReady, "this host reaches no target",
            kTargetsLostRetryAfter});
    return;
  }
  const Duration timeout = milliseconds(route->timeout_ms);
  RunningRequest running;
  running.request.id = next_request_++;
  running.request.request_class = ClassOfRank(route->rank);
  if (*customer != nullptr) {
    running.request.customer = (*customer)->name;
  }
  running.request.customer_rank = CustomerRank(*customer, *route, customers_);
  running.request.repeatable = route->repeatable && MayRepeat(now);
  running.request.budget = std::min(
      timeout,
      ReadDeadline(request.Header(names_.deadline_ms)).value_or(timeout));
  running.request.plan = std::move(plan);
  running.request.group = running.request.plan->name;
  running.exchange = exchange;
  running.format.top_records = route->top_records;
  running.format.pass_through = route->shards.empty();
  running.format.is_head_method = request.method == "HEAD";
  running.started = arrived;
  if (!Charge(now, request, running)) {
    return;
  }
  running.request.forwarded = ToForwardedRequest(
      request, names_, {running.request.customer, !customers_.empty()});
  running.http_host = request.Header("Host");
  running.path = std::move(request.path);
  requests_by_exchange_[exchange] = running.request.id;
  if (MayRelay(now)) {
    Relay(std::move(running), 0);
  } else {
    Run(std::move(running));
  }
}

void ForwardHost::Run(RunningRequest running) {
  const Instant now = MonotonicNow();
  SearchRequest submitted = running.request;
  submitted.budget = *submitted.budget - (now - running.started);
  const RequestId id = submitted.id;
  running_[id] = std::move(running);
  searches_.Submit(now, submitted);
}

void ForwardHost::Reject(ExchangeId exchange,
                         const HttpRequest& request,
                         const Error& error,
                         bool close,
                         const std::string& customer) {
  HttpResponse response =
      ToHttpResponse(error, RetryAfterFormat::kFractionalSeconds);
  // Makes the load balancer route the caller's next connection to another host.
  response.close = close || response.close || reachability_.cut_off() ||
                   contact_.state() == ContactState::kLost;
  if (error.kind == ErrorKind::kUnauthenticated) {
    response.headers.push_back({"WWW-Authenticate", names_.key_scheme});
  }
  log_.Write(EventKind::kRequestRejected,
             {{"request", request.Header(names_.request_id)},
              {"reason", RowOf(error.kind).name},
              {"detail", error.detail},
              {"customer", customer},
              {"http_host", request.Header("Host")},
              {"path", request.path},
              {"status", response.status},
              {"routing_version", feed_.routing_version()}});
  front_->SendResponse(exchange, response);
}

void ForwardHost::RejectUnauthorized(ExchangeId exchange,
                                     const HttpRequest& request,
                                     const Error& error) {
  const bool is_final = error.kind == ErrorKind::kUnauthenticated;
  ++(is_final ? unauthenticated_ : unconfirmed_keys_);
  // Another host may know the key: on a new connection the caller may reach it.
  Reject(exchange, request, error, !is_final);
}

void ForwardHost::ForbidRepeatsByRouting() {
  for (auto& [id, running] : running_) {
    if (!running.request.repeatable) {
      continue;
    }
    // The version that the origin of a relayed request has is not known here.
    const Route* route =
        running.origin.empty()
            ? planner_.table()->Find(running.http_host, running.path)
            : nullptr;
    if (route == nullptr || !route->repeatable) {
      running.request.repeatable = false;
      searches_.ForbidRepeats(id);
    }
  }
}

void ForwardHost::OnCallerDisconnected(ExchangeId exchange) {
  held_.erase(exchange);
  auto node = requests_by_exchange_.extract(exchange);
  if (node.empty()) {
    return;
  }
  auto running = running_.extract(node.mapped());
  if (!running.empty()) {
    const RunningRequest& disconnected = running.mapped();
    if (!disconnected.relay &&
        searches_.MostAttempts(node.mapped()) == std::int64_t{0}) {
      Credit(disconnected);
    }
    if (disconnected.relay) {
      relay_.Cancel(*disconnected.relay);
    }
    log_.Write(EventKind::kCallerGone,
               {{"request", disconnected.request.forwarded->request_id},
                {"route", disconnected.request.group},
                {"after_ms", MonotonicNow() - disconnected.started}});
  }
  searches_.OnCallerDisconnected(MonotonicNow(), node.mapped());
}

}  // namespace snipeworks
