#ifndef SNIPEWORKS_LIBSNIPEWORKS_CONTROL_HOST_TIMEOUTS_H_
#define SNIPEWORKS_LIBSNIPEWORKS_CONTROL_HOST_TIMEOUTS_H_

#include <chrono>

#include "snipeworks/clock.h"

namespace snipeworks {

// Targets wait for a second before they turn to another host, as do operators
// for an order about a zone.
inline constexpr Duration kAcknowledgeDeadline = std::chrono::milliseconds(800);
// A host that has known of no quorum for longer, while it ran, does not wait
// for one.
inline constexpr Duration kQuorumPatience = std::chrono::milliseconds(1000);
inline constexpr Duration kAcknowledgeRetryAfter =
    std::chrono::milliseconds(100);
inline constexpr Duration kProposeRetryDelay = std::chrono::milliseconds(50);

}  // namespace snipeworks

#endif  // SNIPEWORKS_LIBSNIPEWORKS_CONTROL_HOST_TIMEOUTS_H_
