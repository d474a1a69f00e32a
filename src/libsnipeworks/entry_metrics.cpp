#include "snipeworks/entry_metrics.h"

#include <array>
#include <mutex>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "snipeworks/string_map.h"

namespace snipeworks {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

const Histogram::BucketBoundaries kLatencyBuckets = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.035, 0.05,
    0.065, 0.1,   0.2,   0.5,  1.0,  2.0,   5.0};
const Histogram::BucketBoundaries kCoverageBuckets = {0.0,  0.5,  0.8,   0.9,
                                                      0.95, 0.99, 0.999, 1.0};

Gauge& AddGauge(prometheus::Registry& registry,
                const char* name,
                const char* help) {
  return BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

}  // namespace

class EntryMetrics::Impl {
 public:
  Impl() {
    for (std::size_t i = 0; i < kAttemptStatuses; ++i) {
      const auto status = static_cast<AttemptStatus>(i);
      outcome_of[i] = &outcomes.Add({{"status", ToString(status)}});
    }
  }

  // Looking up a counter by its labels costs more than the rest of an attempt's
  // bookkeeping, so counters are cached.
  Counter& AttemptsOf(const std::string& group, AttemptKind kind) {
    const std::lock_guard lock(mutex);
    auto& counters = attempts_of[group];
    Counter*& counter = counters[static_cast<std::size_t>(kind)];
    if (counter == nullptr) {
      counter = &attempts.Add({{"group", group}, {"kind", ToString(kind)}});
    }
    return *counter;
  }

  std::mutex mutex;
  StringMap<std::array<Counter*, kAttemptKinds>> attempts_of;
  std::array<Counter*, kAttemptStatuses> outcome_of{};
  prometheus::Registry registry;
  Family<Counter>& requests = BuildCounter()
                                  .Name("snipeworks_requests_total")
                                  .Help("Requests answered, by outcome")
                                  .Register(registry);
  Family<Histogram>& duration =
      BuildHistogram()
          .Name("snipeworks_request_duration_seconds")
          .Help("Time from a request's arrival to its answer")
          .Register(registry);
  Family<Histogram>& coverage =
      BuildHistogram()
          .Name("snipeworks_answer_coverage_ratio")
          .Help("Share of the snapshot's documents that answers cover")
          .Register(registry);
  Family<Counter>& attempts = BuildCounter()
                                  .Name("snipeworks_attempts_total")
                                  .Help("Attempts sent to targets, by kind")
                                  .Register(registry);
  Family<Counter>& outcomes = BuildCounter()
                                  .Name("snipeworks_attempt_outcomes_total")
                                  .Help("How attempts ended")
                                  .Register(registry);
  Family<Counter>& actions =
      BuildCounter()
          .Name("snipeworks_actions_total")
          .Help("Requests that are not repeatable, by outcome")
          .Register(registry);
  Gauge& running = AddGauge(registry,
                            "snipeworks_requests_running",
                            "Searches that have no answer yet");
  Gauge& waiting = AddGauge(registry,
                            "snipeworks_parts_waiting",
                            "Parts that wait in this host for a slot");
  Gauge& targets = AddGauge(registry,
                            "snipeworks_targets_known",
                            "Targets that are remembered");
  Gauge& usable = AddGauge(registry,
                           "snipeworks_targets_usable",
                           "Targets with a lease that are not draining");
  Gauge& quarantined = AddGauge(registry,
                                "snipeworks_quarantined_requests",
                                "Fingerprints that are refused");
  Gauge& settings = AddGauge(registry,
                             "snipeworks_settings_version",
                             "Version of the settings in force here");
  Gauge& ready =
      AddGauge(registry, "snipeworks_ready", "1 if this host takes requests");
  Gauge& cut_off = AddGauge(registry,
                            "snipeworks_cut_off",
                            "1 if this host reaches no other zone");
  Gauge& targets_lost = AddGauge(registry,
                                 "snipeworks_targets_lost",
                                 "1 if this host reaches no target");
  Gauge& relayed = AddGauge(registry,
                            "snipeworks_requests_relayed",
                            "Requests that other hosts were asked to run");
  Gauge& relayed_here = AddGauge(registry,
                                 "snipeworks_requests_relayed_here",
                                 "Requests run for other entry hosts");
  Family<Gauge>& quotas =
      BuildGauge()
          .Name("snipeworks_quotas")
          .Help("What this host knows and decides of quotas, by name")
          .Register(registry);
  void SetQuotas(const EntryGauges& gauges) {
    const auto set = [this](const char* name, double value) {
      quotas.Add({{"name", name}}).Set(value);
    };
    set("customers", static_cast<double>(gauges.quota_customers));
    set("closed", static_cast<double>(gauges.quota_closed));
    set("shares", static_cast<double>(gauges.quota_shares));
    set("contact", gauges.quota_contact ? 1.0 : 0.0);
    set("exceeded", static_cast<double>(gauges.quota_exceeded));
    set("no_contact", static_cast<double>(gauges.quota_no_contact));
    set("credited", static_cast<double>(gauges.quota_credited));
  }
  Gauge& customers = AddGauge(registry,
                              "snipeworks_customers",
                              "Customers in the routing in force here");
  Gauge& unauthenticated =
      AddGauge(registry,
               "snipeworks_requests_unauthenticated",
               "Requests refused as they had no known key");
  Gauge& unconfirmed_keys =
      AddGauge(registry,
               "snipeworks_requests_key_unconfirmed",
               "Requests refused as newer keys may not be known here");
  Gauge& held = AddGauge(registry,
                         "snipeworks_requests_held",
                         "Requests that waited after a suspension of the host");
  Gauge& may_repeat =
      AddGauge(registry,
               "snipeworks_repeats_allowed",
               "1 while the routing is recent enough to repeat requests");
  Gauge& log_lines =
      AddGauge(registry, "snipeworks_log_lines", "Event lines written");
  Gauge& log_lines_dropped = AddGauge(registry,
                                      "snipeworks_log_lines_dropped",
                                      "Event lines left out");
  Gauge& control_hosts = AddGauge(registry,
                                  "snipeworks_control_hosts",
                                  "Control hosts that answered lately");
  Gauge& connections = AddGauge(registry,
                                "snipeworks_caller_connections",
                                "Open connections of callers");
  Gauge& client_held_bytes =
      AddGauge(registry,
               "snipeworks_client_held_bytes",
               "Memory that clients hold at all listeners");
  Gauge& clients_turned_away =
      AddGauge(registry,
               "snipeworks_clients_turned_away",
               "Clients refused or disconnected for what clients hold");
  Gauge& target_connections =
      AddGauge(registry,
               "snipeworks_target_connections_opened",
               "Connections opened to targets since the start");
  Family<Gauge>& target_bytes =
      BuildGauge()
          .Name("snipeworks_target_bytes")
          .Help("Bytes sent to and received from targets, by their zone")
          .Register(registry);
  std::array<Gauge*, 4> bytes_of = {
      &target_bytes.Add({{"zone", "own"}, {"direction", "sent"}}),
      &target_bytes.Add({{"zone", "own"}, {"direction", "received"}}),
      &target_bytes.Add({{"zone", "other"}, {"direction", "sent"}}),
      &target_bytes.Add({{"zone", "other"}, {"direction", "received"}})};
  void SetTraffic(std::size_t zone, const HttpTrafficCounters& traffic) {
    bytes_of.at(2 * zone)->Set(static_cast<double>(traffic.sent_bytes));
    bytes_of.at(2 * zone + 1)->Set(static_cast<double>(traffic.received_bytes));
  }
  Gauge& targets_limited =
      AddGauge(registry,
               "snipeworks_targets_limited",
               "Targets that limit the requests they take");
  Gauge& targets_cold =
      AddGauge(registry,
               "snipeworks_targets_cold",
               "Cold targets whose group limits the requests they get");
  Gauge& zones_evacuated =
      AddGauge(registry,
               "snipeworks_zones_evacuated",
               "Zones whose targets get no new work by an operator's order");
  Gauge& answers_too_large =
      AddGauge(registry,
               "snipeworks_target_answers_too_large",
               "Answers of targets that were given up for their size");
  Gauge& answers_malformed =
      AddGauge(registry,
               "snipeworks_target_answers_malformed",
               "Answers of targets that were no HTTP responses");
  Gauge& sent = AddGauge(registry,
                         "snipeworks_peer_sent_bytes",
                         "Bytes sent to other hosts of the system");
  Gauge& received = AddGauge(registry,
                             "snipeworks_peer_received_bytes",
                             "Bytes received from other hosts of the system");
};

EntryMetrics::EntryMetrics() : impl_(std::make_unique<Impl>()) {}

EntryMetrics::~EntryMetrics() = default;

void EntryMetrics::OnAttempt(const std::string& group, AttemptKind kind) {
  impl_->AttemptsOf(group, kind).Increment();
}

void EntryMetrics::OnOutcome(AttemptStatus status) {
  impl_->outcome_of.at(static_cast<std::size_t>(status))->Increment();
}

void EntryMetrics::OnSearch(const SearchRequest& request,
                            const Result<SearchAnswer>& result,
                            Duration latency) {
  std::string outcome = "complete";
  if (!result) {
    outcome = std::string(RowOf(result.error().kind).name);
  } else if (!result->coverage.complete()) {
    outcome = "partial";
  }
  // Group names come from callers. Groups without targets share one label,
  // since a label for each name would let callers exhaust memory.
  const bool unknown =
      !result && result.error().kind == ErrorKind::kUnknownGroup;
  const std::string group = unknown ? "" : request.group;
  const char* request_class = ToString(request.request_class);
  impl_->requests
      .Add({{"group", group}, {"class", request_class}, {"outcome", outcome}})
      .Increment();
  impl_->duration
      .Add({{"group", group}, {"class", request_class}}, kLatencyBuckets)
      .Observe(std::chrono::duration<double>(latency).count());
  if (result && result->coverage.documents_total > 0) {
    const double share =
        static_cast<double>(result->coverage.documents_answered) /
        static_cast<double>(result->coverage.documents_total);
    impl_->coverage.Add({{"group", group}}, kCoverageBuckets).Observe(share);
  }
}

void EntryMetrics::OnAction(const std::string& group, const char* outcome) {
  impl_->actions.Add({{"group", group}, {"outcome", outcome}}).Increment();
}

std::string EntryMetrics::Serialize(const EntryGauges& gauges) {
  impl_->running.Set(static_cast<double>(gauges.running));
  impl_->waiting.Set(static_cast<double>(gauges.waiting));
  impl_->targets.Set(static_cast<double>(gauges.targets));
  impl_->usable.Set(static_cast<double>(gauges.targets_usable));
  impl_->quarantined.Set(static_cast<double>(gauges.quarantined));
  impl_->settings.Set(static_cast<double>(gauges.settings_version));
  impl_->ready.Set(gauges.ready ? 1.0 : 0.0);
  impl_->cut_off.Set(gauges.cut_off ? 1.0 : 0.0);
  impl_->targets_lost.Set(gauges.targets_lost ? 1.0 : 0.0);
  if (gauges.quota_customers > 0) {
    impl_->SetQuotas(gauges);
  }
  impl_->relayed.Set(static_cast<double>(gauges.relayed));
  impl_->relayed_here.Set(static_cast<double>(gauges.relayed_here));
  impl_->customers.Set(static_cast<double>(gauges.customers));
  impl_->unauthenticated.Set(static_cast<double>(gauges.unauthenticated));
  impl_->unconfirmed_keys.Set(static_cast<double>(gauges.unconfirmed_keys));
  impl_->held.Set(static_cast<double>(gauges.held));
  impl_->may_repeat.Set(gauges.may_repeat ? 1.0 : 0.0);
  impl_->log_lines.Set(static_cast<double>(gauges.log_lines));
  impl_->log_lines_dropped.Set(static_cast<double>(gauges.log_lines_dropped));
  impl_->control_hosts.Set(static_cast<double>(gauges.control_hosts));
  impl_->connections.Set(static_cast<double>(gauges.connections));
  impl_->client_held_bytes.Set(static_cast<double>(gauges.client_held_bytes));
  impl_->clients_turned_away.Set(
      static_cast<double>(gauges.clients_turned_away));
  impl_->target_connections.Set(
      static_cast<double>(gauges.target_traffic.connections_opened()));
  impl_->SetTraffic(0, gauges.target_traffic.own_zone);
  impl_->SetTraffic(1, gauges.target_traffic.other_zone);
  impl_->targets_limited.Set(static_cast<double>(gauges.targets_limited));
  impl_->targets_cold.Set(static_cast<double>(gauges.targets_cold));
  impl_->zones_evacuated.Set(static_cast<double>(gauges.zones_evacuated));
  impl_->answers_too_large.Set(
      static_cast<double>(gauges.target_traffic.answers_too_large));
  impl_->answers_malformed.Set(
      static_cast<double>(gauges.target_traffic.answers_malformed));
  impl_->sent.Set(static_cast<double>(gauges.peer_traffic.bytes_sent));
  impl_->received.Set(static_cast<double>(gauges.peer_traffic.bytes_received));
  return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

}  // namespace snipeworks
