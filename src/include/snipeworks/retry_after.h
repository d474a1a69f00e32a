#ifndef SNIPEWORKS_RETRY_AFTER_H_
#define SNIPEWORKS_RETRY_AFTER_H_

#include <cstdint>

#include "snipeworks/clock.h"
#include "snipeworks/random.h"
#include "snipeworks/search.h"

namespace snipeworks {

/// A request that is refused because of overload.
struct RefusedRequest {
  RequestClass request_class = RequestClass::kNormal;
  Duration queue_wait{};  ///< Until the current queue is drained.
  Duration remaining{};   ///< Until the request's deadline.
  Duration deadline{};    ///< The full time of such requests.
  /// The latest time of a retry, in percent of `remaining`.
  std::int64_t latest_percent = 70;
};

/// Draws the Retry-After time of a refused request.
///
/// Load pattern: a burst is refused within moments. With one fixed time, all of
/// it would also return within moments and overload the hosts again. The times
/// are therefore drawn from a window that begins when the queue is drained and
/// leaves callers enough time for the retry. Urgent requests get the earlier
/// part of the window and routine ones the later part; within a class, requests
/// that have waited longer tend to be earlier.
Duration DrawRetryAfter(Random& random, const RefusedRequest& request);

}  // namespace snipeworks

#endif  // SNIPEWORKS_RETRY_AFTER_H_
