#include "snipeworks/quota_limiter.h"

#include <algorithm>
#include <utility>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// The least time between two reports.
constexpr Duration kMinReportInterval = milliseconds(50);
// Between reports while there are charges to report: collects the charges of
// several customers.
constexpr Duration kUseReportInterval = milliseconds(100);
// While only demand that was refused is to be reported.
constexpr Duration kDemandReportInterval = milliseconds(250);
// With nothing to report: a request has to meet a recent answer of the leader,
// also when one report is lost.
constexpr Duration kIdleReportInterval = milliseconds(400);
constexpr Duration kLostReportDelay = milliseconds(100);
// Charges that the leader has not counted, shortly after it answered. With
// older contact there may be one: all hosts may lose the leader in the same
// moment.
constexpr double kFreshAllowance = 8.0;
constexpr double kStaleAllowance = 1.0;
// Beside a charge that is just being reported there may be one more.
constexpr Duration kReportTime = milliseconds(60);
constexpr Duration kFreshContact = milliseconds(200);
// Older contact means that a report was not answered: then it is not the quota
// for which a request is refused.
constexpr Duration kUsualContact = milliseconds(500);
constexpr Duration kMinRetryAfter = milliseconds(50);
constexpr Duration kNoContactRetryAfter = milliseconds(300);

double SecondsBetween(Instant from, Instant to) {
  return std::chrono::duration<double>(to - from).count();
}

Duration RetryAfter(double seconds, const QuotaBounds& bounds) {
  const auto wait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, bounds.window_s)));
  return std::max(wait, kMinRetryAfter);
}

bool HasUse(const QuotaUse& use) {
  return use.demand > 0 || use.used != use.counted;
}

}  // namespace

QuotaLimiter::QuotaLimiter(std::string host,
                           std::uint64_t epoch,
                           QuotaBounds bounds)
    : host_(std::move(host)), epoch_(epoch), bounds_(bounds) {}

void QuotaLimiter::SetQuotas(Instant now, const Routing& routing) {
  if (routing.version <= routing_version_) {
    return;
  }
  const std::uint64_t previous =
      std::exchange(routing_version_, routing.version);
  const bool had_quotas = std::exchange(limited_, 0) > 0;
  for (const Customer& customer : routing.customers) {
    if (customer.requests_per_second > 0.0) {
      SetQuota(now, customer, previous);
      ++limited_;
    }
  }
  if (!had_quotas && limited_ > 0) {
    next_report_at_ = now;
  }
}

// A quota that comes back begins with an empty bucket, as a new one does, but
// with the counts and the share that the leader knows.
void QuotaLimiter::SetQuota(Instant now,
                            const Customer& customer,
                            std::uint64_t previous_version) {
  const Quota quota{customer.requests_per_second, customer.burst};
  State& state = customers_[customer.name];
  const bool begins =
      state.limited_version == 0 || state.limited_version != previous_version;
  Settle(now, state);
  if (begins) {
    state.tokens = std::min(state.tokens, 0.0);
  }
  if (begins || quota.requests_per_second < state.quota.requests_per_second ||
      quota.burst < state.quota.burst) {
    state.lowered_version = routing_version_;
  }
  state.quota = quota;
  state.limited_version = routing_version_;
  state.tokens = std::min(state.tokens, Capacity(state));
}

void QuotaLimiter::Activate(const std::string& customer, State& state) {
  if (!std::exchange(state.active, true)) {
    active_.push_back({&customer, &state});
  }
}

// The floor of one token is granted by the leader, which limits the number of
// hosts that have it. After a quota was lowered, that number may be too large
// until the leader has given shares by the new quota.
double QuotaLimiter::Capacity(const State& state) const {
  return granted_version_ >= state.lowered_version
             ? QuotaCapacity(state.quota, state.share)
             : state.share * state.quota.burst;
}

void QuotaLimiter::Settle(Instant now, State& state) const {
  const Instant until = std::min(now, lease_until_);
  if (until > state.tokens_at) {
    state.tokens = std::min(
        Capacity(state), state.tokens + SecondsBetween(state.tokens_at, until) *
                                            state.share *
                                            state.quota.requests_per_second);
  }
  if (now >= lease_until_) {
    state.tokens = std::min(state.tokens, 0.0);
  }
  state.tokens_at = std::max(state.tokens_at, now);
}

// A host with a share may see a burst that is as large as its share of it.
double QuotaLimiter::UncountedAllowance(Instant now, const State& state) const {
  if (now <= contact_until_ - kQuotaContact + kFreshContact) {
    return std::max(std::min(kFreshAllowance, std::max(1.0, state.quota.burst)),
                    state.share * state.quota.burst);
  }
  return kStaleAllowance +
         (now - state.uncounted_since < kReportTime ? 1.0 : 0.0);
}

QuotaDecision QuotaLimiter::Take(Instant now, const std::string& customer) {
  auto found = customers_.find(customer);
  if (found == customers_.end() || !IsLimited(found->second)) {
    return {};
  }
  State& state = found->second;
  Activate(found->first, state);
  ++state.demand;
  if (!InContact(now) || state.closed) {
    return TakeToken(now, state);
  }
  if (static_cast<double>(state.used - state.counted) >=
      UncountedAllowance(now, state)) {
    ReportSoon(now, Duration{});
    const bool overdue = now > contact_until_ - kQuotaContact + kUsualContact;
    return {overdue ? QuotaDecision::Outcome::kNoContact
                    : QuotaDecision::Outcome::kExceeded,
            false, false, overdue ? kNoContactRetryAfter : kMinRetryAfter};
  }
  if (state.used == state.counted) {
    state.uncounted_since = now;
  }
  ++state.used;
  state.tokens -= 1.0;
  ReportSoon(now, kUseReportInterval);
  return {QuotaDecision::Outcome::kAdmitted, true, true, {}};
}

QuotaDecision QuotaLimiter::TakeToken(Instant now, State& state) {
  const bool in_contact = InContact(now);
  const bool holds = now < lease_until_ && state.share > 0.0;
  ReportSoon(now, kDemandReportInterval);
  if (!holds) {
    return {in_contact ? QuotaDecision::Outcome::kExceeded
                       : QuotaDecision::Outcome::kNoContact,
            false, false,
            in_contact
                ? RetryAfter(1.0 / state.quota.requests_per_second, bounds_)
                : kNoContactRetryAfter};
  }
  Settle(now, state);
  if (state.tokens < 1.0) {
    const double rate = state.share * state.quota.requests_per_second;
    return {QuotaDecision::Outcome::kExceeded, false, false,
            RetryAfter((1.0 - state.tokens) / rate, bounds_)};
  }
  state.tokens -= 1.0;
  // Without contact the leader does not give this share of the quota to others,
  // so that nothing needs to be counted.
  state.used += in_contact ? 1 : 0;
  return {QuotaDecision::Outcome::kAdmitted, true, in_contact, {}};
}

void QuotaLimiter::Credit(Instant now,
                          const std::string& customer,
                          const QuotaDecision& charge) {
  auto found = customers_.find(customer);
  if (!charge.charged || found == customers_.end()) {
    return;
  }
  State& state = found->second;
  Activate(found->first, state);
  if (charge.reported) {
    --state.used;
    ReportSoon(now, kUseReportInterval);
  }
  Settle(now, state);
  state.tokens = std::min(Capacity(state), state.tokens + 1.0);
}

void QuotaLimiter::ReportSoon(Instant now, Duration delay) {
  const Instant earliest = std::max(now, sent_at_ + kMinReportInterval);
  next_report_at_ =
      std::min(next_report_at_, std::max(earliest, sent_at_ + delay));
}

std::optional<Instant> QuotaLimiter::NextReport() const {
  return limited_ == 0 || in_flight_ ? std::nullopt
                                     : std::optional(next_report_at_);
}

QuotaReport QuotaLimiter::TakeReport(Instant now) {
  QuotaReport report;
  report.host = host_;
  report.epoch = epoch_;
  report.serial = ++report_serial_;
  report.term = term_;
  report.grant_serial = grant_serial_;
  const bool holds = now < lease_until_;
  if (!holds) {
    lists_shares_ = true;
  }
  report.lists_shares = lists_shares_;
  report.lease_ms =
      holds
          ? std::chrono::duration_cast<milliseconds>(lease_until_ - now).count()
          : 0;
  for (const Active& active : active_) {
    State& state = *active.state;
    const QuotaUse use{*active.customer, std::exchange(state.demand, 0),
                       state.used, state.counted};
    if (HasUse(use)) {
      report.uses.push_back(use);
    }
    if (!holds) {
      state.share = 0.0;
    }
    if (lists_shares_ && state.share > 0.0) {
      report.holds.push_back({*active.customer, state.share});
    }
  }
  sent_at_ = now;
  next_report_at_ = now + kIdleReportInterval;
  in_flight_ = report;
  return report;
}

void QuotaLimiter::ApplyShares(Instant now, const QuotaGrant& grant) {
  for (const Active& active : active_) {
    Settle(now, *active.state);
    if (grant.full) {
      active.state->share = 0.0;
    }
  }
  // Also of a customer without a quota in the version here: the leader may have
  // a newer one, and does not repeat the share.
  for (const QuotaShare& share : grant.shares) {
    auto found = customers_.find(share.customer);
    if (found != customers_.end()) {
      Activate(found->first, found->second);
      found->second.share = share.share;
    }
  }
}

void QuotaLimiter::ApplyClosed(Instant now,
                               const QuotaGrant& grant,
                               bool was_in_contact) {
  for (const std::string& customer : grant.closed) {
    auto found = customers_.find(customer);
    if (found != customers_.end()) {
      Activate(found->first, found->second);
    }
  }
  for (const Active& active : active_) {
    State& state = *active.state;
    const bool was_open = was_in_contact && !state.closed;
    state.closed = std::ranges::binary_search(grant.closed, *active.customer);
    if (!state.closed) {
      // Tokens are collected from the end of contact on. Charges that the
      // leader may not have counted by then come from them.
      state.tokens = -static_cast<double>(
          std::max<std::int64_t>(0, state.used - state.counted));
      state.tokens_at = contact_until_;
    } else if (was_open) {
      state.tokens = 0.0;
      state.tokens_at = now;
    } else {
      state.tokens_at = std::min(state.tokens_at, now);
      state.tokens = std::min(state.tokens, Capacity(state));
    }
  }
  std::erase_if(active_, [](const Active& active) {
    State& state = *active.state;
    state.active = state.share > 0.0 || state.closed || state.demand > 0 ||
                   state.used != state.counted;
    return !state.active;
  });
}

void QuotaLimiter::OnGrant(Instant now, const QuotaGrant& grant) {
  if (!in_flight_ || grant.report_serial != in_flight_->serial) {
    return;
  }
  // A host that was frozen finds answers that are as old as the freeze.
  if (!grant.leads || grant.term < term_ ||
      now - sent_at_ > kQuotaMaxRoundTrip) {
    OnReportLost(now, grant.report_serial);
    return;
  }
  const bool was_in_contact = InContact(now);
  const QuotaReport sent = *std::exchange(in_flight_, std::nullopt);
  term_ = grant.term;
  grant_serial_ = grant.serial;
  granted_version_ = grant.routing_version;
  ApplyShares(now, grant);
  lists_shares_ = grant.wants_shares;
  // A leader that does not know the shares does not keep them reserved.
  if (!grant.wants_shares) {
    lease_until_ = sent_at_ + milliseconds(grant.lease_ms);
  }
  contact_until_ = sent_at_ + kQuotaContact;
  for (const QuotaUse& use : sent.uses) {
    auto found = customers_.find(use.customer);
    if (found != customers_.end()) {
      found->second.counted = use.used;
    }
  }
  ApplyClosed(now, grant, was_in_contact);
  const bool uses = std::ranges::any_of(active_, [](const Active& active) {
    return active.state->used != active.state->counted;
  });
  if (grant.wants_shares) {
    ReportSoon(now, Duration{});
  } else if (uses) {
    ReportSoon(now, kUseReportInterval);
  }
}

void QuotaLimiter::OnReportLost(Instant now, std::uint64_t report_serial) {
  if (!in_flight_ || in_flight_->serial != report_serial) {
    return;
  }
  for (const QuotaUse& use : in_flight_->uses) {
    auto found = customers_.find(use.customer);
    if (found != customers_.end()) {
      found->second.demand += use.demand;
    }
  }
  in_flight_.reset();
  lists_shares_ = true;
  next_report_at_ = std::max(now, sent_at_ + kLostReportDelay);
}

std::size_t QuotaLimiter::closed() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(customers_, [this](const auto& entry) {
        return entry.second.closed && IsLimited(entry.second);
      }));
}

std::size_t QuotaLimiter::shares(Instant now) const {
  return now >= lease_until_
             ? 0
             : static_cast<std::size_t>(
                   std::ranges::count_if(customers_, [this](const auto& entry) {
                     return entry.second.share > 0.0 && IsLimited(entry.second);
                   }));
}

double QuotaLimiter::ShareOf(Instant now, const std::string& customer) const {
  auto found = customers_.find(customer);
  return found == customers_.end() || now >= lease_until_ ? 0.0
                                                          : found->second.share;
}

}  // namespace snipeworks
