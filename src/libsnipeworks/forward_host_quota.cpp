// Customers' quotas at a forwarding host.

#include "snipeworks/forward_host.h"

namespace snipeworks {

bool ForwardHost::Charge(Instant now,
                         const HttpRequest& request,
                         RunningRequest& running) {
  const std::string& customer = running.request.customer;
  if (customer.empty()) {
    return true;
  }
  running.quota = quotas_.Take(now, customer);
  switch (running.quota.outcome) {
    case QuotaDecision::Outcome::kAdmitted:
      return true;
    case QuotaDecision::Outcome::kExceeded:
      Reject(running.exchange, request,
             {ErrorKind::kQuotaExceeded,
              "the quota of " + customer + " is used up",
              running.quota.retry_after},
             false, customer);
      return false;
    case QuotaDecision::Outcome::kNoContact:
      // Another host may be in contact: the caller's next connection may go
      // there.
      Reject(running.exchange, request,
             {ErrorKind::kNotReady,
              "the use of quotas cannot be reported and this host has no share "
              "of the quota of " +
                  customer,
              running.quota.retry_after},
             !quotas_.limiter().InContact(now), customer);
      return false;
  }
  return true;
}

// Requests of other hosts' callers were charged there.
void ForwardHost::Credit(const RunningRequest& running) {
  if (running.quota.charged) {
    quotas_.Credit(running.request.customer, running.quota);
  }
}

}  // namespace snipeworks
