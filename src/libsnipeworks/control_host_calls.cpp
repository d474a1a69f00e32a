#include "snipeworks/control_host.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "control_host_timeouts.h"
#include "snipeworks/caller_api.h"
#include "snipeworks/compression.h"
#include "snipeworks/text.h"

// Calls made by targets and operators.

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr Duration kReadTimeout = milliseconds(700);
constexpr Duration kProposeTimeout = milliseconds(900);
// An operator's call is abandoned after this long. The operator's client turns
// to another host sooner.
constexpr Duration kProposeDeadline = std::chrono::seconds(4);

// Customers in /v1/status.
constexpr std::size_t kQuotasShown = 100;

nlohmann::json QuotasJson(const QuotaAllocator& quotas) {
  nlohmann::json customers = nlohmann::json::array();
  for (const QuotaUsage& usage : quotas.Usage(MonotonicNow(), kQuotasShown)) {
    nlohmann::json hosts = nlohmann::json::object();
    for (const auto& [host, per_second] : usage.hosts) {
      hosts[host] = per_second;
    }
    customers.push_back({{"customer", usage.customer},
                         {"quota_per_s", usage.quota.requests_per_second},
                         {"burst", usage.quota.burst},
                         {"demand_per_s", usage.requests_per_second},
                         {"tokens", usage.tokens},
                         {"closed", usage.closed},
                         {"shares", usage.shares},
                         {"hosts", std::move(hosts)}});
  }
  return {{"complete", quotas.complete()},
          {"customers_with_quota", quotas.customers()},
          {"busiest", std::move(customers)}};
}

std::string StatusJson(const ControlStatus& status,
                       const QuotaAllocator* quotas) {
  nlohmann::json members = nlohmann::json::array();
  for (const Member& member : status.members) {
    members.push_back({{"host", member.host},
                       {"address", member.address},
                       {"voter", member.voter}});
  }
  nlohmann::json evacuated = nlohmann::json::array();
  for (const EvacuatedZone& zone : status.evacuated_zones) {
    evacuated.push_back({{"zone", zone.zone}, {"since_s", zone.since_s}});
  }
  nlohmann::json document = {{"host", status.host},
                             {"role", status.role},
                             {"leader", status.leader},
                             {"term", status.term},
                             {"commit", status.commit},
                             {"last", status.last},
                             {"first", status.first},
                             {"current", status.current},
                             {"failed", status.failed},
                             {"settings_version", status.settings_version},
                             {"members_committed", status.members_committed},
                             {"claims", status.claims},
                             {"evacuated_zones", std::move(evacuated)},
                             {"members", std::move(members)}};
  if (quotas != nullptr) {
    document["quotas"] = QuotasJson(*quotas);
  }
  return WriteJson(document) + "\n";
}

}  // namespace

void ControlHost::OnHttp(ExchangeId exchange, const HttpRequest& request) {
  if (request.path == "/healthz") {
    http_->SendResponse(exchange, {200, "text/plain", "ok\n"});
    return;
  }
  if (request.path == "/v1/status") {
    http_->SendResponse(exchange, {200, "application/json",
                                   StatusJson(Status(), quotas_.allocator())});
    return;
  }
  if (request.path == "/v1/faults" && settings_.allow_faults()) {
    const auto partition = ParsePartition(request.body);
    if (!partition) {
      AnswerError(exchange, partition.error());
      return;
    }
    peers_.SetPartitioned(partition->address, partition->partitioned);
    http_->SendResponse(exchange, {200, "text/plain", "ok\n"});
    return;
  }
  auto call = DecodeControlCall(request, names_);
  if (!call) {
    const bool document = request.path == names_.replace_path;
    const bool zone_order = request.path.starts_with(names_.evacuation_prefix);
    if (call.error().kind == ErrorKind::kBadRequest) {
      log_.Write(document     ? EventKind::kRoutingRejected
                 : zone_order ? EventKind::kZoneOrder
                              : EventKind::kReportRejected,
                 {{"path", request.path}, {"reason", call.error().detail}});
    }
    metrics_.OnCall(document     ? "replace_routing"
                    : zone_order ? "zone_order"
                                 : "report",
                    "rejected");
    AnswerError(exchange, call.error());
  } else if (const auto* report = std::get_if<TargetReport>(&*call)) {
    if (const auto departure = membership_.OnReport(report->announcement)) {
      AcknowledgeDeparture(exchange, *departure, "report");
    } else {
      metrics_.OnCall("report", "taken");
      Answer(exchange, "{}");
    }
  } else if (const auto* leave = std::get_if<LeaveRequest>(&*call)) {
    AcknowledgeDeparture(
        exchange, membership_.OnLeave(*leave, WallMillisecondsNow()), "leave");
  } else if (const auto* change = std::get_if<ReplaceRouting>(&*call)) {
    OnReplace(exchange, *change);
  } else if (const auto* order = std::get_if<ZoneOrder>(&*call)) {
    OnZoneOrder(exchange, *order, request.sent_after);
  } else {
    OnReadRouting(exchange);
  }
}

// The target gets no more work from now on. It is told so once a quorum has
// stored its departure: what was acknowledged outlives the loss of all memory
// together with the disks that may be lost. Without a quorum it turns to
// another host.
void ControlHost::AcknowledgeDeparture(ExchangeId exchange,
                                       const Departure& departure,
                                       const char* call) {
  const std::int64_t now_s = std::max(WallSecondsNow(), state_.time_s());
  const auto acknowledge = [this, exchange, call] {
    metrics_.OnCall(call, "taken");
    Answer(exchange, "{}");
  };
  if (state_.HasDeparture(departure, now_s)) {
    acknowledge();
    return;
  }
  const Instant now = MonotonicNow();
  const auto refuse = [this, exchange, call, departure, now] {
    log_.Write(EventKind::kDepartureUnrecorded,
               {{"target", departure.target},
                {"incarnation", departure.incarnation},
                {"after_ms", MonotonicNow() - now}});
    metrics_.OnCall(call, "undecided");
    AnswerError(exchange,
                {ErrorKind::kNoQuorum, "no quorum of control hosts answered",
                 kAcknowledgeRetryAfter});
  };
  if (!node_ || TimeWithoutQuorum(now) > kQuorumPatience) {
    refuse();
    return;
  }
  ProposeUntilDecided(
      Encode(ToCommand(departure, now_s)), now + kAcknowledgeDeadline,
      [acknowledge, refuse](const std::optional<CommandResult>& result) {
        if (result && IsRecorded(*result)) {
          acknowledge();
        } else {
          refuse();
        }
      });
}

void ControlHost::OnReplace(ExchangeId exchange, const ReplaceRouting& change) {
  const Instant now = MonotonicNow();
  ControlCommand command;
  command.kind = CommandKind::kRouting;
  command.routing_version = change.routing.version;
  command.document = Compress(change.document);
  ProposeUntilDecided(
      Encode(command), now + kProposeDeadline,
      [this, exchange, now,
       version = change.routing.version](std::optional<CommandResult> result) {
        const Duration latency = MonotonicNow() - now;
        if (!result) {
          log_.Write(EventKind::kRoutingUnanswered,
                     {{"version", version}, {"after_ms", latency}});
          metrics_.OnCall("replace_routing", "undecided");
          AnswerError(exchange, {ErrorKind::kNoQuorum,
                                 "no quorum of control hosts answered",
                                 milliseconds(500)});
          return;
        }
        const bool accepted = result->status == CommandStatus::kAccepted;
        log_.Write(EventKind::kRoutingAccepted,
                   {{"version", version},
                    {"outcome", accepted ? "accepted" : "unchanged"},
                    {"newest", result->version},
                    {"after_ms", latency}});
        metrics_.OnCall("replace_routing", accepted ? "accepted" : "unchanged");
        metrics_.OnDecided(latency);
        Answer(exchange, "{}");
      });
}

// Retries are safe: the command carries its own version or id, so repeating it
// after a lost reply changes nothing.
void ControlHost::ProposeUntilDecided(const std::string& command,
                                      Instant give_up,
                                      const OnDecided& done) {
  if (MonotonicNow() >= give_up) {
    done(std::nullopt);
    return;
  }
  ProposeOnce(command, give_up,
              [this, command, give_up,
               done](const std::optional<CommandResult>& result) {
                if (result) {
                  done(result);
                  return;
                }
                loop_.After(kProposeRetryDelay, [this, command, give_up, done] {
                  ProposeUntilDecided(command, give_up, done);
                });
              });
}

void ControlHost::ProposeOnce(const std::string& command,
                              Instant give_up,
                              const OnDecided& done) {
  const Instant now = MonotonicNow();
  const auto on_reply = [done](const PeerResult& result) {
    const auto reply =
        result ? Decode<ProposeReply>(*result) : std::optional<ProposeReply>();
    done(reply && reply->decided ? std::optional(reply->result) : std::nullopt);
  };
  if (node_ && node_->IsLeaderWithQuorum(now)) {
    OnPropose(command, on_reply);
    return;
  }
  const std::string leader = LeaderAddress();
  if (leader.empty() || leader == settings_.peer().ToString()) {
    done(std::nullopt);
    return;
  }
  peers_.Call(leader, kControlProposePath, command,
              std::min(kProposeTimeout, give_up - now), on_reply);
}

void ControlHost::OnReadRouting(ExchangeId exchange) {
  const ReadReply own = ReadNewestRouting();
  const std::string leader = LeaderAddress();
  if (own.current || leader.empty() || leader == settings_.peer().ToString()) {
    AnswerRead(exchange, own);
    return;
  }
  peers_.Call(leader, kControlReadPath, "", kReadTimeout,
              [this, exchange](const PeerResult& result) {
                const auto reply = result ? Decode<ReadReply>(*result)
                                          : std::optional<ReadReply>();
                AnswerRead(exchange, reply.value_or(ReadReply{}));
              });
}

void ControlHost::AnswerRead(ExchangeId exchange, const ReadReply& reply) {
  if (reply.current && reply.routing.version > 0) {
    if (const auto document = Decompress(reply.routing.document)) {
      metrics_.OnCall("read_routing", "answered");
      Answer(exchange, *document);
      return;
    }
  }
  log_.Write(EventKind::kReadUnanswered,
             {{"current", reply.current}, {"version", reply.routing.version}});
  metrics_.OnCall("read_routing", "unanswered");
  AnswerError(exchange,
              {ErrorKind::kNoQuorum,
               reply.current ? "no version has been accepted yet"
                             : "this host cannot confirm the newest version",
               milliseconds(500)});
}

void ControlHost::Answer(ExchangeId exchange, const std::string& body) {
  http_->SendResponse(exchange, {200, "application/json", body});
}

void ControlHost::AnswerError(ExchangeId exchange, const Error& error) {
  http_->SendResponse(
      exchange, ToHttpResponse(error, RetryAfterFormat::kFractionalSeconds));
}

}  // namespace snipeworks
