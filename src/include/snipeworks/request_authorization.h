#ifndef SNIPEWORKS_REQUEST_AUTHORIZATION_H_
#define SNIPEWORKS_REQUEST_AUTHORIZATION_H_

#include <cstdint>
#include <vector>

#include "snipeworks/customer_directory.h"
#include "snipeworks/error.h"
#include "snipeworks/http_message.h"
#include "snipeworks/protocol_names.h"
#include "snipeworks/routing.h"
#include "snipeworks/routing_contact.h"

namespace snipeworks {

/// The customer whose key `headers` contain, or null for a request without a
/// customer: the routing has none, or the route is public and the request has
/// no known key. The customer is valid as long as `directory`.
///
/// Fails with kUnauthenticated if the request needs a key and has none that is
/// known, and with kNotReady if a newer version of the routing, which this host
/// may not have, could say otherwise. The reason contains no part of a key.
Result<const Customer*> Authorize(const std::vector<HttpHeader>& headers,
                                  const Route& route,
                                  const CustomerDirectory& directory,
                                  RoutingFreshness freshness,
                                  const ForwardNames& names);

/// The lowest rank that the queue tells apart; lower ones count as it.
inline constexpr std::uint32_t kLowestCustomerRank = 2;

/// The value of SearchRequest::customer_rank: that of `customer`, or of `route`
/// for a request without one while there are customers, which is then as urgent
/// as its route; 0 without customers.
std::uint32_t CustomerRank(const Customer* customer,
                           const Route& route,
                           const CustomerDirectory& directory);

}  // namespace snipeworks

#endif  // SNIPEWORKS_REQUEST_AUTHORIZATION_H_
