#include "entry_api.h"

#include <algorithm>
#include <exception>
#include <utility>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "snipeworks/caller_api.h"
#include "snipeworks/json_reader.h"
#include "snipeworks/relay_messages.h"
#include "snipeworks/text.h"

namespace snipeworks {

using nlohmann::json;

namespace {

// Of the 160 MB that the smallest hosts have.
constexpr std::size_t kClientMemoryBytes = std::size_t{48} * 1024 * 1024;
constexpr std::size_t kMaxBodyBytes = std::size_t{1024} * 1024;
constexpr Duration kIdleTimeout = std::chrono::seconds(60);
// Far more than the callers and load balancers of one host keep open.
constexpr std::size_t kMaxConnections = 1000;
// For searches without a deadline of their own.
constexpr Duration kDefaultBudget = std::chrono::seconds(10);
// The crossing to another host and back.
constexpr Duration kRelayMargin = std::chrono::milliseconds(5);
constexpr std::size_t kMaxActionBytes = std::size_t{16} * 1024;

HttpResponse TextResponse(int status, std::string body) {
  return {status, "text/plain", std::move(body), {}, false};
}

HttpResponse NotFoundResponse(const HttpRequest& request) {
  return TextResponse(404, "unknown path " + request.path + "\n");
}

HttpResponse ToHttpResponse(const ActionAnswer& answer) {
  json document = json::parse(answer.body, nullptr, false);
  if (!document.is_object()) {
    LOG(ERROR) << "event=action_answer_unreadable size=" << answer.body.size();
    document = json::object();
  }
  document["ran"] = "yes";
  document["replayed"] = answer.replayed;
  HttpResponse response;
  response.body = WriteJson(document) + "\n";
  return response;
}

Result<ActionRequest> ParseAction(const std::string& group,
                                  const HttpRequest& http) {
  auto search = ParseSearch(group, http);
  if (!search) {
    return tl::unexpected(search.error());
  }
  ActionRequest request;
  request.group = group;
  request.caller = search->caller;
  request.key = std::string(http.Header(kIdempotencyKeyHeader));
  request.body = search->query;
  if (request.caller.empty()) {
    return Fail(ErrorKind::kBadRequest,
                std::string(kCallerHeader) + ": is required");
  }
  if (!KeyCreationSeconds(request.key) || !IsPrintable(request.key)) {
    return Fail(ErrorKind::kBadRequest,
                std::string(kIdempotencyKeyHeader) +
                    ": must be UNIX-SECONDS.TOKEN with a token of at "
                    "least 8 bytes");
  }
  if (request.body.size() > kMaxActionBytes) {
    return Fail(ErrorKind::kTooLarge, "query: must have at most 16384 bytes");
  }
  if (search->budget) {
    if (*search->budget <= Duration{}) {
      return Fail(ErrorKind::kBadRequest, "deadline: must be at least 1 ms");
    }
    request.budget = *search->budget;
  }
  return request;
}

}  // namespace

EntryApi::EntryApi(EventLoop& loop, EntryHost& host)
    : loop_(loop),
      host_(host),
      clients_(loop, ClientLimitsFor(host.settings(), kClientMemoryBytes)) {}

Result<void> EntryApi::Start() {
  ListenerLimits limits;
  limits.stall_timeout = host_.settings().client_stall();
  limits.max_body_bytes = kMaxBodyBytes;
  limits.idle_timeout = kIdleTimeout;
  limits.max_connections = kMaxConnections;
  auto listener = HttpListener::Start(
      loop_, host_.settings().http(), limits,
      {[this](ExchangeId exchange, const HttpRequest& request) {
         OnRequest(exchange, request);
       },
       [](ExchangeId) {},
       [](const HttpRequest& head) {
         const bool known =
             head.path == kRelayPath || head.path.starts_with("/v1/");
         return head.method == "POST" && known ? kMaxBodyBytes : 0;
       }},
      &clients_);
  if (!listener) {
    return tl::unexpected(listener.error());
  }
  listener_ = std::move(*listener);
  return {};
}

void EntryApi::OnRequest(ExchangeId exchange, const HttpRequest& request) {
  const Respond respond = [this, exchange](const HttpResponse& response) {
    listener_->SendResponse(exchange, response);
  };
  if (request.method == "POST" && request.path == kRelayPath) {
    OnRelayedRequest(exchange, request);
    return;
  }
  if (RunRequest(request, respond)) {
    return;
  }
  listener_->SendResponse(exchange, RouteSafely(request));
}

// The JSON library that reads operators' request bodies throws.
HttpResponse EntryApi::RouteSafely(const HttpRequest& request) {
  try {
    return Route(request);
  } catch (const std::exception& error) {
    LOG(ERROR) << "event=handler_failed path=" << request.path << " reason=\""
               << error.what() << "\"";
    return TextResponse(500, "the request failed\n");
  }
}

HttpResponse EntryApi::Route(const HttpRequest& request) {
  if (request.method == "POST") {
    if (request.path == "/v1/announcements") {
      return OnAnnouncement(request);
    }
    if (request.path == "/v1/quarantine/release") {
      return OnQuarantineRelease(request);
    }
    if (request.path == "/v1/faults" && host_.settings().allow_faults()) {
      return OnFaultInjection(request);
    }
    return NotFoundResponse(request);
  }
  if (request.path == "/healthz") {
    return TextResponse(200, "ok\n");
  }
  if (request.path == "/readyz") {
    return host_.ready() ? TextResponse(200, "ready\n")
                         : TextResponse(503, "not ready\n");
  }
  if (request.path == "/metrics") {
    return OnMetrics();
  }
  if (request.path == "/v1/status") {
    return OnStatus();
  }
  return NotFoundResponse(request);
}

bool EntryApi::RunRequest(const HttpRequest& request, const Respond& respond) {
  if (request.method != "POST") {
    return false;
  }
  const std::string search_group = GroupInPath(request.path, "search");
  if (!search_group.empty()) {
    OnSearch(search_group, request, respond);
    return true;
  }
  const std::string action_group = GroupInPath(request.path, "actions");
  if (!action_group.empty()) {
    OnAction(action_group, request, respond);
    return true;
  }
  return false;
}

void EntryApi::OnSearch(const std::string& group,
                        const HttpRequest& http,
                        const Respond& respond) {
  auto request = ParseSearch(group, http);
  if (!request) {
    respond(snipeworks::ToHttpResponse(request.error()));
    return;
  }
  const Instant now = MonotonicNow();
  const Duration budget = request->budget.value_or(kDefaultBudget);
  if (RelayOrRefuse(http, budget, false, respond)) {
    return;
  }
  request->trace_parent = std::string(http.Header("traceparent"));
  const SearchRequest submitted = *request;
  host_.Search(submitted, [this, http, submitted, respond, budget,
                           now](const FinishSearch& finish) {
    if (host_.MayFailOver(MonotonicNow(), submitted, finish)) {
      Relay(http, now, budget, false, finish.most_attempts > 0, respond);
      return;
    }
    respond(finish.result ? snipeworks::ToHttpResponse(*finish.result)
                          : snipeworks::ToHttpResponse(finish.result.error()));
  });
}

void EntryApi::OnAction(const std::string& group,
                        const HttpRequest& http,
                        const Respond& respond) {
  auto request = ParseAction(group, http);
  if (!request) {
    respond(snipeworks::ToHttpResponse(request.error()));
    return;
  }
  if (RelayOrRefuse(http, request->budget, true, respond)) {
    return;
  }
  request->trace_parent = std::string(http.Header("traceparent"));
  const Instant now = MonotonicNow();
  const Duration budget = request->budget;
  host_.RunAction(std::move(*request), [this, http, now, budget, respond](
                                           const Result<ActionAnswer>& result) {
    if (result) {
      respond(ToHttpResponse(*result));
    } else if (host_.MayFailOver(MonotonicNow(), result.error())) {
      Relay(http, now, budget, true, false, respond);
    } else {
      respond(snipeworks::ToHttpResponse(result.error()));
    }
  });
}

bool EntryApi::RelayOrRefuse(const HttpRequest& request,
                             Duration budget,
                             bool once,
                             const Respond& respond) {
  const Instant now = MonotonicNow();
  if (host_.MayRelay(now)) {
    Relay(request, now, budget, once, false, respond);
    return true;
  }
  if (host_.targets_lost()) {
    respond(snipeworks::ToHttpResponse(RelayError(RelayStatus::kNotRun, once)));
    return true;
  }
  return false;
}

// Only a host that reaches its targets takes requests of others, so that none
// travels in circles.
void EntryApi::OnRelayedRequest(ExchangeId exchange,
                                const HttpRequest& request) {
  const auto call = Decode<RelayedCall>(request.body);
  HttpRequest inner;
  if (call) {
    inner.method = "POST";
    inner.path = call->path;
    inner.headers = call->headers;
    inner.body = call->body;
  }
  const Respond respond = [this, exchange](const HttpResponse& response) {
    listener_->SendResponse(exchange, Encapsulate(RelayReply::From(response)));
  };
  if (!call || !host_.TakesRelayed() || !RunRequest(inner, respond)) {
    listener_->SendResponse(exchange, Encapsulate({}));
  }
}

void EntryApi::Relay(const HttpRequest& request,
                     Instant started,
                     Duration budget,
                     bool once,
                     bool ran_before,
                     const Respond& respond) {
  const Duration left = budget - (MonotonicNow() - started);
  RelayedCall call;
  call.origin = host_.settings().host();
  call.path = request.path;
  call.body = request.body;
  for (const HttpHeader& header : request.headers) {
    if (!SameHeaderName(header.name, kDeadlineHeader)) {
      call.headers.push_back(header);
    }
  }
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
      left - kRelayMargin);
  call.headers.push_back(
      {kDeadlineHeader,
       std::to_string(std::max<std::int64_t>(1, millis.count()))});
  host_.relay().Send(
      Encode(call), left, once,
      [respond, once, ran_before](const RelayOutcome& outcome) {
        const bool refused =
            outcome.reply.status == RowOf(ErrorKind::kOverloaded).http_status;
        if (outcome.status == RelayStatus::kAnswered &&
            !(refused && ran_before)) {
          respond(outcome.reply.ToResponse());
          return;
        }
        // What may have run here must not be reported as not run.
        const RelayStatus status =
            ran_before ? RelayStatus::kUnknown : outcome.status;
        respond(snipeworks::ToHttpResponse(RelayError(status, once)));
      });
}

HttpResponse EntryApi::OnAnnouncement(const HttpRequest& http) {
  auto announcement = ParseAnnouncement(http.body);
  if (!announcement) {
    return snipeworks::ToHttpResponse(announcement.error());
  }
  host_.Announce(*announcement);
  return TextResponse(202, "");
}

HttpResponse EntryApi::OnStatus() {
  const Instant now = MonotonicNow();
  const EntryGauges gauges = host_.Gauges();
  json targets = json::array();
  const TargetView& view = host_.searches().view();
  for (const Announcement* announced : view.All()) {
    const bool draining = announced->state == TargetState::kDraining;
    const Duration age = view.Age(now, announced->target).value_or(Duration{});
    targets.push_back(
        {{"target", announced->target},
         {"group", announced->group},
         {"zone", announced->zone},
         {"address", announced->address},
         {"state", draining ? "draining" : "serving"},
         {"usable", view.Usable(now, announced->target) != nullptr},
         {"silent_ms", age.count() / 1000}});
  }
  json quarantined = json::array();
  for (Fingerprint fingerprint : host_.searches().Quarantined(now)) {
    quarantined.push_back(std::to_string(fingerprint));
  }
  const json document{{"host", host_.settings().host()},
                      {"zone", host_.settings().zone()},
                      {"ready", gauges.ready},
                      {"settings_version", gauges.settings_version},
                      {"running", gauges.running},
                      {"waiting", gauges.waiting},
                      {"targets", std::move(targets)},
                      {"quarantined", std::move(quarantined)}};
  return {200, "application/json", WriteJson(document) + "\n", {}, false};
}

HttpResponse EntryApi::OnQuarantineRelease(const HttpRequest& http) {
  auto document = ParseJson(http.body);
  if (!document) {
    return snipeworks::ToHttpResponse(document.error());
  }
  JsonReader reader(*document);
  const std::string text = reader.String("fingerprint");
  const bool is_number = !text.empty() &&
                         text.find_first_not_of("0123456789") == text.npos &&
                         text.size() <= 20;
  if (!reader.ok() || !is_number) {
    return TextResponse(400, "fingerprint: must be a number in a string\n");
  }
  const Fingerprint fingerprint = std::strtoull(text.c_str(), nullptr, 10);
  const bool released = host_.searches().Release(fingerprint);
  return released ? TextResponse(200, "released\n")
                  : TextResponse(404, "not held\n");
}

HttpResponse EntryApi::OnFaultInjection(const HttpRequest& http) {
  auto document = ParseJson(http.body);
  if (!document) {
    return snipeworks::ToHttpResponse(document.error());
  }
  if (document->contains("targets")) {
    const auto cut = ParseCut(http.body);
    if (!cut) {
      return snipeworks::ToHttpResponse(cut.error());
    }
    host_.SimulateCut(*cut);
    return TextResponse(200, "ok\n");
  }
  const auto partition = ParsePartition(http.body);
  if (!partition) {
    return snipeworks::ToHttpResponse(partition.error());
  }
  host_.peer_client().SetPartitioned(partition->address,
                                     partition->partitioned);
  return TextResponse(200, "ok\n");
}

HttpResponse EntryApi::OnMetrics() {
  EntryGauges gauges = host_.Gauges();
  gauges.client_held_bytes = clients_.budget().held_bytes();
  gauges.clients_turned_away = clients_.turned_away();
  HttpResponse response = TextResponse(200, host_.metrics().Serialize(gauges));
  response.content_type = "text/plain; version=0.0.4";
  return response;
}

}  // namespace snipeworks
