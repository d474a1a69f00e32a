#include "snipeworks/control_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace snipeworks {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

const Histogram::BucketBoundaries kLatencyBucketsSeconds = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};

}  // namespace

class ControlMetrics::Impl {
 public:
  prometheus::Registry registry;
  Family<Counter>& calls =
      BuildCounter()
          .Name("snipeworks_control_calls_total")
          .Help("Calls of targets and operators, by outcome")
          .Register(registry);
  Histogram& sync = BuildHistogram()
                        .Name("snipeworks_control_sync_seconds")
                        .Help("Time of one synced write to the disk")
                        .Register(registry)
                        .Add({}, kLatencyBucketsSeconds);
  Histogram& decided = BuildHistogram()
                           .Name("snipeworks_control_decided_seconds")
                           .Help("Time from a change to its decision")
                           .Register(registry)
                           .Add({}, kLatencyBucketsSeconds);
  Family<Gauge>& gauges = BuildGauge()
                              .Name("snipeworks_control_state")
                              .Help("What the control host believes, by name")
                              .Register(registry);
};

ControlMetrics::ControlMetrics() : impl_(std::make_unique<Impl>()) {}

ControlMetrics::~ControlMetrics() = default;

void ControlMetrics::OnCall(const char* call, const char* outcome) {
  impl_->calls.Add({{"call", call}, {"outcome", outcome}}).Increment();
}

void ControlMetrics::OnDiskSync(Duration latency) {
  impl_->sync.Observe(std::chrono::duration<double>(latency).count());
}

void ControlMetrics::OnDecided(Duration latency) {
  impl_->decided.Observe(std::chrono::duration<double>(latency).count());
}

std::string ControlMetrics::Serialize(const ControlGauges& gauges) {
  const auto set = [this](const char* name, double value) {
    impl_->gauges.Add({{"name", name}}).Set(value);
  };
  set("leads", gauges.leads ? 1.0 : 0.0);
  set("current", gauges.current ? 1.0 : 0.0);
  set("term", static_cast<double>(gauges.term));
  set("commit_index", static_cast<double>(gauges.commit_index));
  set("members", static_cast<double>(gauges.members));
  const Redundancy redundancy = gauges.redundancy.value_or(Redundancy{});
  set("voters", static_cast<double>(redundancy.voters));
  set("voters_answering", static_cast<double>(redundancy.answering));
  set("losses_left", static_cast<double>(redundancy.losses_left()));
  set("routing_version", static_cast<double>(gauges.routing_version));
  set("targets", static_cast<double>(gauges.targets));
  set("departures", static_cast<double>(gauges.departures));
  set("evacuated_zones", static_cast<double>(gauges.evacuated_zones));
  set("entry_hosts", static_cast<double>(gauges.entry_hosts));
  set("quota_customers", static_cast<double>(gauges.quota_customers));
  set("quota_closed", static_cast<double>(gauges.quota_closed));
  set("quota_hosts", static_cast<double>(gauges.quota_hosts));
  set("quota_complete", gauges.quota_complete ? 1.0 : 0.0);
  set("log_lines", static_cast<double>(gauges.log_lines));
  set("log_lines_dropped", static_cast<double>(gauges.log_lines_dropped));
  set("client_held_bytes", static_cast<double>(gauges.client_held_bytes));
  set("clients_turned_away", static_cast<double>(gauges.clients_turned_away));
  set("peer_sent_bytes", static_cast<double>(gauges.peer_traffic.bytes_sent));
  set("peer_received_bytes",
      static_cast<double>(gauges.peer_traffic.bytes_received));
  return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

}  // namespace snipeworks
