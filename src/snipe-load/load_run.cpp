#include "load_run.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "snipeworks/caller_api.h"
#include "snipeworks/trace.h"

namespace snipeworks {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t kConnectionsPerEntry = 256;
constexpr Duration kTimeoutMargin = milliseconds(2000);
constexpr Duration kReadinessInterval = milliseconds(200);
constexpr Duration kReadinessTimeout = milliseconds(500);
constexpr Duration kMinResendDelay = milliseconds(200);
constexpr Duration kResendPeriod = std::chrono::seconds(20);
constexpr const char* kClassNames[] = {"urgent", "normal", "routine"};

// "complete" or "partial" for a search, "ran" for an action, the kind of the
// problem document, or how the call failed.
std::string OutcomeName(const HttpCallResult& result, const json& body) {
  if (result.status != HttpCallStatus::kAnswered) {
    return result.status == HttpCallStatus::kNotSent ? "not-sent" : "lost";
  }
  if (result.http_status == 200) {
    if (!body.contains("coverage")) {
      return "ran";
    }
    const json& coverage = body["coverage"];
    return coverage["documents_answered"] == coverage["documents_total"]
               ? "complete"
               : "partial";
  }
  const std::string type = body.value("type", "");
  const std::size_t colon = type.rfind(':');
  return colon == std::string::npos
             ? "http-" + std::to_string(result.http_status)
             : type.substr(colon + 1);
}

}  // namespace

LoadRun::LoadRun(EventLoop& loop, LoadPlan plan, HistoryWriter& history)
    : loop_(loop),
      plan_(std::move(plan)),
      history_(history),
      client_(loop),
      random_(plan_.seed),
      timer_(loop, [this] { SendDueRequests(); }),
      results_(plan_.arms.size()),
      next_entry_(plan_.arms.size()) {
  for (const LoadArm& arm : plan_.arms) {
    for (const std::string& entry : arm.entries) {
      client_.SetConnectionLimit(entry, kConnectionsPerEntry);
    }
  }
}

void LoadRun::Start() {
  started_ = MonotonicNow();
  next_due_ = started_;
  CheckReadiness();
  loop_.Every(kReadinessInterval, [this] { CheckReadiness(); });
  SendDueRequests();
}

// Checks readiness as a load balancer does. A host that does not answer counts
// as not ready.
void LoadRun::CheckReadiness() {
  for (const LoadArm& arm : plan_.arms) {
    for (const std::string& entry : arm.entries) {
      HttpCall call;
      call.address = entry;
      call.method = "GET";
      call.path = "/readyz";
      call.timeout = kReadinessTimeout;
      client_.Send(call, [this, entry](const HttpCallResult& result) {
        const bool ready = result.status == HttpCallStatus::kAnswered &&
                           result.http_status == 200;
        if (ready) {
          not_ready_.erase(entry);
        } else {
          not_ready_.insert(entry);
        }
      });
    }
  }
}

// The next ready entry host, round-robin; the next one if none is ready.
const std::string& LoadRun::NextEntry(Request& request) {
  const std::vector<std::string>& entries = plan_.arms[request.arm].entries;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const std::string& entry = entries[request.entry % entries.size()];
    if (!not_ready_.contains(entry)) {
      return entry;
    }
    request.entry = next_entry_[request.arm]++;
  }
  return entries[request.entry % entries.size()];
}

void LoadRun::SendDueRequests() {
  const Instant now = MonotonicNow();
  const Instant end = started_ + plan_.warm_up + plan_.length;
  while (next_due_ <= now && next_due_ < end) {
    Send(NewRequest(next_due_));
    const double gap = -std::log(1.0 - random_.Unit()) / plan_.rate;
    next_due_ += Duration(static_cast<std::int64_t>(gap * 1e6));
  }
  if (next_due_ >= end) {
    all_sent_ = true;
    StopIfDone();
    return;
  }
  timer_.Set(std::max(Duration{}, next_due_ - MonotonicNow()));
}

LoadRun::Request LoadRun::NewRequest(Instant scheduled) {
  Request request;
  const std::size_t arms = plan_.arms.size();
  const Duration elapsed = scheduled - started_;
  request.arm = plan_.slice > Duration{}
                    ? static_cast<std::size_t>(elapsed / plan_.slice) % arms
                    : created_ % arms;
  ++created_;
  request.entry = next_entry_[request.arm]++;
  request.query =
      plan_.query.empty()
          ? "lot " + std::to_string(random_.Below(plan_.distinct_queries))
          : plan_.query;
  double draw =
      random_.Unit() * (plan_.class_weights[0] + plan_.class_weights[1] +
                        plan_.class_weights[2]);
  std::size_t index = 0;
  while (index < 2 && draw >= plan_.class_weights[index]) {
    draw -= plan_.class_weights[index++];
  }
  request.request_class = kClassNames[index];
  if (plan_.actions) {
    request.key =
        std::to_string(WallSecondsNow()) + "." + std::to_string(random_.Next());
    request.query = "order " + request.key;
  }
  request.scheduled = scheduled;
  request.resend_until = scheduled + kResendPeriod;
  request.counted = elapsed >= plan_.warm_up;
  return request;
}

void LoadRun::Send(Request request) {
  const TraceContext trace = TraceContext::New(random_, false);
  HttpCall call;
  call.address = NextEntry(request);
  call.path =
      "/v1/groups/" + plan_.group + (plan_.actions ? "/actions" : "/search");
  call.body = json{{"query", request.query}}.dump();
  call.timeout = plan_.deadline + kTimeoutMargin;
  call.headers = {
      {kDeadlineHeader, std::to_string(plan_.deadline.count() / 1000)},
      {kCallerHeader, "snipe-load"},
      {kClassHeader, request.request_class},
      {"traceparent", trace.ToHeader()}};
  if (!request.key.empty()) {
    call.headers.push_back({kIdempotencyKeyHeader, request.key});
  }
  ++outstanding_;
  const Instant sent = MonotonicNow();
  client_.Send(call, [this, request = std::move(request), id = trace.trace_id,
                      sent](const HttpCallResult& result) {
    OnAnswer(request, id, sent, result);
  });
}

void LoadRun::OnAnswer(Request request,
                       const std::string& trace,
                       Instant sent,
                       const HttpCallResult& result) {
  --outstanding_;
  const Instant now = MonotonicNow();
  json body = json::parse(result.body, nullptr, false);
  if (!body.is_object()) {
    body = json::object();
  }
  const std::string outcome = OutcomeName(result, body);
  if (history_.enabled()) {
    history_.Write({{"event", "answer"},
                    {"arm", plan_.arms[request.arm].name},
                    {"trace", trace},
                    {"group", plan_.group},
                    {"query", request.query},
                    {"key", request.key},
                    {"outcome", outcome},
                    {"sent_us", sent.time_since_epoch().count()},
                    {"ended_us", now.time_since_epoch().count()},
                    {"body", body}});
  }
  if (request.counted) {
    RecordOutcome(request, outcome, body, now);
  }
  if (ScheduleResend(request, outcome, result)) {
    return;
  }
  StopIfDone();
}

void LoadRun::RecordOutcome(const Request& request,
                            const std::string& outcome,
                            const json& body,
                            Instant now) {
  ArmResult& result = results_[request.arm];
  ++result.sent;
  ++result.outcomes[outcome];
  const double latency = ToMilliseconds(now - request.scheduled);
  if (outcome != "complete" && outcome != "partial" && outcome != "ran") {
    if (body.value("ran", "") == "no") {
      result.refusals_ms.push_back(latency);
    }
    return;
  }
  ++result.answers;
  result.latencies_ms.push_back(latency);
  result.class_latencies_ms[request.request_class].push_back(latency);
  if (outcome == "ran") {
    return;
  }
  result.complete += outcome == "complete" ? 1 : 0;
  const json& coverage = body["coverage"];
  const double share = coverage["documents_answered"].get<double>() /
                       coverage["documents_total"].get<double>();
  result.coverage_sum += share;
  result.coverage_min = std::min(result.coverage_min, share);
  const json& attempts = body["attempts"];
  result.attempts.primary += attempts["primary"].get<std::uint32_t>();
  result.attempts.hedge += attempts["hedge"].get<std::uint32_t>();
  result.attempts.retry += attempts["retry"].get<std::uint32_t>();
  result.attempts.replacement += attempts["replacement"].get<std::uint32_t>();
}

// The caller of an action resends it, through the next host, until its outcome
// is final. Returns whether it will be sent again.
bool LoadRun::ScheduleResend(const Request& request,
                             const std::string& outcome,
                             const HttpCallResult& result) {
  const bool final = outcome == "ran" || outcome == "outcome-unknown" ||
                     outcome == "key-reused" || outcome == "key-expired" ||
                     outcome == "bad-request";
  if (!plan_.actions || final || MonotonicNow() > request.resend_until) {
    return false;
  }
  const Duration requested_delay = std::min<Duration>(
      result.retry_after.value_or(Duration{}), std::chrono::seconds(1));
  ++outstanding_;
  Request again = request;
  again.entry = request.entry + 1;
  loop_.After(std::max<Duration>(kMinResendDelay, requested_delay),
              [this, again] {
                --outstanding_;
                Send(again);
              });
  return true;
}

void LoadRun::StopIfDone() {
  if (all_sent_ && outstanding_ == 0) {
    loop_.Stop();
  }
}

}  // namespace snipeworks
