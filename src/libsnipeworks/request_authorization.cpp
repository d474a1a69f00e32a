#include "snipeworks/request_authorization.h"

#include <algorithm>
#include <string>
#include <string_view>

namespace snipeworks {

namespace {

// A host that regains contact has the newest routing within about this time.
constexpr Duration kBehindRetryAfter = std::chrono::milliseconds(300);
constexpr std::string_view kBlanks = " \t";

// The key in a request, or why there is none.
struct KeyInRequest {
  std::string_view key;
  const char* fault = nullptr;
};

KeyInRequest FindKey(const std::vector<HttpHeader>& headers,
                     const ForwardNames& names) {
  const HttpHeader* authorization = nullptr;
  for (const HttpHeader& header : headers) {
    if (!SameHeaderName(header.name, names.authorization)) {
      continue;
    }
    // Two keys may belong to two customers.
    if (authorization != nullptr) {
      return {{}, "the request has more than one authorization header"};
    }
    authorization = &header;
  }
  if (authorization == nullptr) {
    return {{}, "the request has no key"};
  }
  const std::string_view value = TrimBlanks(authorization->value);
  const std::string_view scheme = value.substr(0, value.find_first_of(kBlanks));
  // Schemes ignore case, as header names do.
  if (!SameHeaderName(scheme, names.key_scheme)) {
    return {{}, "the authorization header has another scheme"};
  }
  const std::string_view key = TrimBlanks(value.substr(scheme.size()));
  return {key, key.empty() ? "the key is empty" : nullptr};
}

}  // namespace

Result<const Customer*> Authorize(const std::vector<HttpHeader>& headers,
                                  const Route& route,
                                  const CustomerDirectory& directory,
                                  RoutingFreshness freshness,
                                  const ForwardNames& names) {
  if (directory.empty()) {
    // The first customers may have been introduced during the suspension. Then
    // the key must not be shown to targets.
    if (freshness == RoutingFreshness::kSuspended &&
        FindKey(headers, names).fault == nullptr) {
      return Fail(ErrorKind::kNotReady,
                  "this host was suspended and has yet to learn whether keys "
                  "are in use",
                  kBehindRetryAfter);
    }
    return nullptr;
  }
  const KeyInRequest found = FindKey(headers, names);
  const Customer* customer =
      found.fault == nullptr ? directory.Find(found.key) : nullptr;
  if (customer != nullptr) {
    if (freshness == RoutingFreshness::kSuspended) {
      return Fail(ErrorKind::kNotReady,
                  "this host was suspended and has yet to learn which keys are "
                  "still valid",
                  kBehindRetryAfter);
    }
    return customer;
  }
  if (route.is_public) {
    return nullptr;
  }
  const std::string reason =
      found.fault != nullptr ? found.fault : "the key is unknown";
  // A newer version may have the key, make the route public or have no
  // customers.
  if (freshness != RoutingFreshness::kCurrent) {
    return Fail(ErrorKind::kNotReady,
                reason + ", but this host may not have the newest routing",
                kBehindRetryAfter);
  }
  return Fail(ErrorKind::kUnauthenticated, reason);
}

std::uint32_t CustomerRank(const Customer* customer,
                           const Route& route,
                           const CustomerDirectory& directory) {
  if (directory.empty()) {
    return 0;
  }
  return std::min(customer != nullptr ? customer->rank : route.rank,
                  kLowestCustomerRank);
}

}  // namespace snipeworks
