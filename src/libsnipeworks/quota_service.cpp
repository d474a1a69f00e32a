#include "snipeworks/quota_service.h"

#include <utility>

namespace snipeworks {

QuotaService::QuotaService(
    EventLog& log,
    QuotaBounds bounds,
    std::function<QuotaLeadership()> leadership,
    std::function<std::vector<std::string>()> entry_hosts)
    : log_(log),
      allocator_(bounds),
      leadership_(std::move(leadership)),
      entry_hosts_(std::move(entry_hosts)) {}

// A leader that was without a quorum for a moment and has it again in the same
// term was not replaced meanwhile: what it knows is still right. In a new term
// another host may have granted.
bool QuotaService::Update(Instant now, const QuotaLeadership& leadership) {
  leads_ = leadership.leads;
  if (!leads_) {
    return false;
  }
  if (term_ != leadership.term) {
    term_ = leadership.term;
    routing_version_ = 0;
    allocator_.BeginLeading(now, term_, entry_hosts_());
    logged_closed_.clear();
  }
  if (leadership.routing->version != routing_version_) {
    routing_version_ = leadership.routing->version;
    allocator_.SetQuotas(now, *leadership.routing);
  }
  return true;
}

void QuotaService::OnReport(const std::string& payload,
                            const PeerServer::Reply& reply) {
  const auto report = Decode<QuotaReport>(payload);
  if (!report) {
    reply(tl::unexpected(PeerFailure::kRejected));
    return;
  }
  const Instant now = MonotonicNow();
  const QuotaLeadership leadership = leadership_();
  QuotaGrant grant;
  if (Update(now, leadership)) {
    grant = allocator_.OnReport(now, *report);
  } else {
    grant.report_serial = report->serial;
    grant.leader = leadership.leader;
  }
  reply(Encode(grant));
  LogClosed(now);
}

void QuotaService::Tick() {
  const Instant now = MonotonicNow();
  if (Update(now, leadership_())) {
    allocator_.Tick(now);
    LogClosed(now);
  }
}

void QuotaService::LogClosed(Instant now) {
  if (!leads_ || allocator_.closed_customers() == logged_closed_) {
    return;
  }
  const auto write = [&](const std::string& customer, bool closed) {
    const QuotaUsage usage = allocator_.UsageOf(now, customer);
    log_.Write(EventKind::kQuota,
               {{"customer", customer},
                {"closed", closed},
                {"demand_per_s", usage.requests_per_second},
                {"quota_per_s", usage.quota.requests_per_second},
                {"burst", usage.quota.burst},
                {"tokens", usage.tokens}});
  };
  for (const std::string& customer : allocator_.closed_customers()) {
    if (!logged_closed_.contains(customer)) {
      write(customer, true);
    }
  }
  for (const std::string& customer : logged_closed_) {
    if (!allocator_.closed_customers().contains(customer)) {
      write(customer, false);
    }
  }
  logged_closed_ = allocator_.closed_customers();
}

const QuotaAllocator* QuotaService::allocator() const {
  return leads_ && allocator_.customers() > 0 ? &allocator_ : nullptr;
}

}  // namespace snipeworks
