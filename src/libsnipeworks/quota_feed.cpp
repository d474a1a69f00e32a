#include "snipeworks/quota_feed.h"

#include <algorithm>
#include <random>
#include <utility>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// A call that times out closes the connection, which other calls share: this
// is longer than the time after which an answer is not used.
constexpr Duration kCallTimeout = milliseconds(1500);

std::uint64_t RandomEpoch() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

}  // namespace

QuotaFeed::QuotaFeed(EventLoop& loop,
                     PeerClient& peers,
                     EventLog& log,
                     const std::string& host,
                     QuotaBounds bounds,
                     std::function<std::vector<std::string>()> control_hosts)
    : loop_(loop),
      peers_(peers),
      log_(log),
      limiter_(host, RandomEpoch(), bounds),
      control_hosts_(std::move(control_hosts)),
      timer_(loop, [this] { Send(); }) {}

void QuotaFeed::SetQuotas(const Routing& routing) {
  limiter_.SetQuotas(MonotonicNow(), routing);
  SetTimer();
}

QuotaDecision QuotaFeed::Take(Instant now, const std::string& customer) {
  const QuotaDecision decision = limiter_.Take(now, customer);
  exceeded_ += decision.outcome == QuotaDecision::Outcome::kExceeded ? 1 : 0;
  without_contact_ +=
      decision.outcome == QuotaDecision::Outcome::kNoContact ? 1 : 0;
  if (decision.charged ||
      decision.outcome != QuotaDecision::Outcome::kAdmitted) {
    SetTimer();
  }
  return decision;
}

void QuotaFeed::Credit(const std::string& customer,
                       const QuotaDecision& charge) {
  if (charge.charged) {
    ++credited_;
    limiter_.Credit(MonotonicNow(), customer, charge);
    SetTimer();
  }
}

void QuotaFeed::SetTimer() {
  if (const auto due = limiter_.NextReport()) {
    timer_.Set(std::max(Duration{}, *due - MonotonicNow()));
  }
}

const std::string& QuotaFeed::NextAddress() {
  address_ = std::exchange(leader_, "");
  if (address_.empty()) {
    const std::vector<std::string> hosts = control_hosts_();
    address_ = hosts.empty() ? "" : hosts[next_host_++ % hosts.size()];
  }
  return address_;
}

void QuotaFeed::Send() {
  const Instant now = MonotonicNow();
  const auto due = limiter_.NextReport();
  if (!due) {
    return;
  }
  if (now < *due) {
    SetTimer();
    return;
  }
  LogContact();
  const QuotaReport report = limiter_.TakeReport(now);
  const std::uint64_t serial = report.serial;
  waiting_for_ = serial;
  const std::string address = NextAddress();
  loop_.After(kQuotaMaxRoundTrip, [this, serial] { OnLost(serial); });
  if (!address.empty()) {
    peers_.Call(address, kControlQuotaPath, Encode(report), kCallTimeout,
                [this, address, serial](const PeerResult& result) {
                  OnReply(address, serial, result);
                });
  }
}

// A host that does not lead names the leader; the report is sent again at once,
// as the next one.
void QuotaFeed::OnReply(const std::string& address,
                        std::uint64_t serial,
                        const PeerResult& result) {
  const auto grant =
      result ? Decode<QuotaGrant>(*result) : std::optional<QuotaGrant>();
  if (serial != waiting_for_) {
    return;
  }
  if (!grant) {
    OnLost(serial);
    return;
  }
  waiting_for_ = 0;
  leader_ = grant->leads ? address : grant->leader;
  limiter_.OnGrant(MonotonicNow(), *grant);
  LogContact();
  SetTimer();
}

void QuotaFeed::OnLost(std::uint64_t serial) {
  if (serial == waiting_for_) {
    waiting_for_ = 0;
    limiter_.OnReportLost(MonotonicNow(), serial);
    SetTimer();
  }
}

void QuotaFeed::LogContact() {
  const bool contact = limiter_.InContact(MonotonicNow());
  if (contact != std::exchange(logged_contact_, contact)) {
    log_.Write(EventKind::kQuotaContact,
               {{"contact", contact},
                {"leader", leader_},
                {"shares", limiter_.shares(MonotonicNow())},
                {"closed", limiter_.closed()}});
  }
}

}  // namespace snipeworks
