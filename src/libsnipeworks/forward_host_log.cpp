// Logging and metrics of a forwarding host.

#include <algorithm>
#include <utility>

#include "snipeworks/forward_host.h"

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr Duration kTrafficInterval = milliseconds(5000);
// One in this many complete answers within the objective is logged.
constexpr std::uint64_t kSuccessSample = 64;

}  // namespace

void ForwardHost::LogTraffic(Instant now) {
  if (now < next_traffic_log_) {
    return;
  }
  next_traffic_log_ = now + kTrafficInterval;
  const HttpTrafficCounters& own = gateway_.traffic().own_zone;
  const HttpTrafficCounters& other = gateway_.traffic().other_zone;
  log_.Write(EventKind::kTraffic,
             {{"own_calls", own.calls},
              {"own_connections", own.connections},
              {"own_sent", own.sent_bytes},
              {"own_received", own.received_bytes},
              {"other_calls", other.calls},
              {"other_connections", other.connections},
              {"other_sent", other.sent_bytes},
              {"other_received", other.received_bytes},
              {"peer_sent", peers_.traffic().bytes_sent},
              {"peer_received", peers_.traffic().bytes_received}});
}

void ForwardHost::LogReadiness() {
  const bool now_ready = ready();
  if (now_ready != std::exchange(logged_ready_, now_ready)) {
    log_.Write(now_ready ? EventKind::kReady : EventKind::kUnready,
               {{"routing_version", feed_.routing_version()},
                {"targets", searches_.view().All().size()},
                {"leaving", draining_},
                {"cut_off", reachability_.cut_off()},
                {"contact", ToString(contact_.state())}});
  }
}

void ForwardHost::LogFinish(const RunningRequest& running,
                            const FinishSearch& finish,
                            int status) {
  const bool is_complete = finish.result && finish.result->coverage.complete();
  const Duration took = MonotonicNow() - running.started;
  const bool within_objective =
      took <= milliseconds(running.request.plan->policy.objective_ms);
  const bool routine = is_complete && within_objective;
  if (routine && ++successes_ % kSuccessSample != 0) {
    return;
  }
  AttemptCounts attempts;
  std::size_t parts = running.request.plan->groups.size();
  std::size_t answered = 0;
  std::string missing;
  if (finish.result) {
    attempts = finish.result->attempts;
    answered = finish.result->coverage.parts_answered;
    for (const MissingPart& part : finish.result->coverage.missing) {
      missing += (missing.empty() ? "" : " ") +
                 running.request.plan->groups[part.part] + ":" +
                 ToString(part.reason);
    }
  }
  log_.Write(
      EventKind::kRequest,
      {{"request", running.request.forwarded->request_id},
       {"route", running.request.group},
       {"customer", running.request.customer},
       {"fingerprint", std::to_string(running.request.forwarded->fingerprint)},
       {"routing_version", running.request.plan->version},
       {"outcome", finish.result ? (is_complete ? "complete" : "partial")
                                 : RowOf(finish.result.error().kind).name},
       {"detail", finish.result ? std::string() : finish.result.error().detail},
       {"status", status},
       {"took_ms", took},
       {"objective_ms", running.request.plan->policy.objective_ms},
       {"deadline_ms", *running.request.budget},
       {"parts", parts},
       {"answered", answered},
       {"missing", missing},
       {"hedges", attempts.hedge},
       {"retries", attempts.retry},
       {"replacements", attempts.replacement},
       {"origin", running.origin},
       {"sampled_one_in", routine ? kSuccessSample : 1}});
}

void ForwardHost::LogContact(ContactState state, Duration silence) {
  log_.Write(EventKind::kTargetContact,
             {{"state", ToString(state)},
              {"silent_ms", silence},
              {"running", running_.size()},
              {"relay_hosts", relay_.selector().hosts()}});
}

void ForwardHost::LogRelayed(const RunningRequest& running,
                             const RelayOutcome& outcome,
                             int status) {
  const bool routine = outcome.status == RelayStatus::kAnswered &&
                       status < 300 && running.attempts == 0;
  if (routine && ++successes_ % kSuccessSample != 0) {
    return;
  }
  const char* end = outcome.status == RelayStatus::kAnswered ? "answered"
                    : outcome.status == RelayStatus::kNotRun ? "not-run"
                                                             : "unknown";
  log_.Write(EventKind::kRelayed,
             {{"request", running.request.forwarded->request_id},
              {"route", running.request.group},
              {"relay", outcome.address},
              {"tries", outcome.tries},
              {"attempts_before", running.attempts},
              {"outcome", end},
              {"status", status},
              {"took_ms", MonotonicNow() - running.started},
              {"deadline_ms", *running.request.budget},
              {"sampled_one_in", routine ? kSuccessSample : 1}});
}

std::string ForwardHost::MetricsPage() {
  EntryGauges gauges;
  gauges.running = searches_.running();
  gauges.waiting = searches_.waiting();
  const auto known_targets = searches_.view().All();
  gauges.targets = known_targets.size();
  const Instant now = MonotonicNow();
  gauges.targets_usable = static_cast<std::size_t>(std::ranges::count_if(
      known_targets, [&](const Announcement* announcement) {
        return searches_.view().Usable(now, announcement->target) != nullptr;
      }));
  gauges.targets_limited = searches_.CountLimitedTargets();
  gauges.targets_cold = searches_.CountColdTargets(now);
  gauges.zones_evacuated = evacuated_zones_.size();
  gauges.quarantined = searches_.Quarantined(now).size();
  gauges.settings_version = feed_.routing_version();
  gauges.ready = ready();
  gauges.cut_off = reachability_.cut_off();
  gauges.targets_lost = contact_.state() == ContactState::kLost;
  gauges.quota_customers = quotas_.limiter().customers();
  gauges.quota_closed = quotas_.limiter().closed();
  gauges.quota_shares = quotas_.limiter().shares(now);
  gauges.quota_contact = quotas_.limiter().InContact(now);
  gauges.quota_exceeded = quotas_.exceeded();
  gauges.quota_no_contact = quotas_.without_contact();
  gauges.quota_credited = quotas_.credited();
  gauges.relayed = relayed_;
  gauges.relayed_here = relayed_here_;
  gauges.customers = customers_.customers().size();
  gauges.unauthenticated = unauthenticated_;
  gauges.unconfirmed_keys = unconfirmed_keys_;
  gauges.held = requests_held_;
  gauges.may_repeat = MayRepeat(now);
  gauges.log_lines = log_.lines();
  gauges.log_lines_dropped = log_.dropped();
  gauges.control_hosts = feed_.connected_count(now);
  gauges.connections = front_->connections();
  gauges.client_held_bytes = clients_.budget().held_bytes();
  gauges.clients_turned_away = clients_.turned_away();
  gauges.peer_traffic = peers_.traffic();
  gauges.target_traffic = gateway_.traffic();
  return metrics_.Serialize(gauges);
}

}  // namespace snipeworks
