// The HTTP listeners of a ControlHost.

#include <utility>

#include "snipeworks/control_calls.h"
#include "snipeworks/control_host.h"

namespace snipeworks {

namespace {

// Routing documents may be as large as the body of a request.
constexpr std::size_t kMaxDocumentBytes = std::size_t{8} * 1024 * 1024;

}  // namespace

Result<void> ControlHost::StartListeners() {
  ListenerLimits limits;
  limits.max_body_bytes = kMaxDocumentBytes;
  limits.stall_timeout = settings_.client_stall();
  auto http = HttpListener::Start(
      loop_, settings_.http(), limits,
      {[this](ExchangeId exchange, const HttpRequest& request) {
         OnHttp(exchange, request);
       },
       [this](ExchangeId exchange) { zone_order_exchanges_.erase(exchange); },
       [this](const HttpRequest& head) {
         return NeededBodyBytes(head, names_, settings_.allow_faults());
       }},
      &clients_);
  if (!http) {
    return tl::unexpected(http.error());
  }
  http_ = std::move(*http);
  if (settings_.metrics().port != 0) {
    limits.max_body_bytes = ListenerLimits().max_body_bytes;
    auto listener = HttpListener::Start(
        loop_, settings_.metrics(), limits,
        {[this](ExchangeId exchange, const HttpRequest&) {
           ControlGauges gauges;
           const ControlStatus status = Status();
           gauges.leads = status.role == "leader";
           gauges.current = status.current;
           gauges.term = status.term;
           gauges.commit_index = status.commit;
           gauges.members = status.members.size();
           gauges.redundancy =
               node_ ? node_->redundancy(MonotonicNow()) : std::nullopt;
           gauges.routing_version = state_.routing().version;
           gauges.targets = membership_.directory().view().All().size();
           gauges.departures = state_.departures();
           gauges.evacuated_zones = state_.evacuated_zones().size();
           gauges.entry_hosts = membership_.entry_hosts();
           if (const QuotaAllocator* quotas = quotas_.allocator()) {
             gauges.quota_customers = quotas->customers();
             gauges.quota_closed = quotas->closed();
             gauges.quota_hosts = quotas->hosts();
             gauges.quota_complete = quotas->complete();
           }
           gauges.log_lines = log_.lines();
           gauges.log_lines_dropped = log_.dropped();
           gauges.client_held_bytes = clients_.budget().held_bytes();
           gauges.clients_turned_away = clients_.turned_away();
           gauges.peer_traffic = peers_.traffic();
           metrics_listener_->SendResponse(
               exchange,
               {200, "text/plain; version=0.0.4", metrics_.Serialize(gauges)});
         },
         [](ExchangeId) {}, [](const HttpRequest&) { return std::size_t{0}; }},
        &clients_);
    if (!listener) {
      return tl::unexpected(listener.error());
    }
    metrics_listener_ = std::move(*listener);
  }
  return {};
}

}  // namespace snipeworks
