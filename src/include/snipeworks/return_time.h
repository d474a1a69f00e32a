#ifndef SNIPEWORKS_RETURN_TIME_H_
#define SNIPEWORKS_RETURN_TIME_H_

#include <cstdint>

#include "snipeworks/clock.h"
#include "snipeworks/random.h"
#include "snipeworks/search.h"

namespace snipeworks {

/// A caller that is turned away.
struct TurnedAway {
  RequestClass request_class = RequestClass::kNormal;
  Duration wait{};       ///< Until the queue that it met is worked off.
  Duration time_left{};  ///< Until its deadline.
  Duration deadline{};   ///< All the time that such a request has.
  /// Of the time left, when the last ones are to come back.
  std::int64_t latest_percent = 70;
};

/// When a caller that is turned away is told to come back.
///
/// Load pattern: a burst is turned away within moments. Told one time, all of
/// it would be back within moments too, and meet itself. So the times are drawn
/// from a window that begins when the queue is worked off and leaves most of a
/// caller's time after its return. More urgent classes get the earlier part of
/// it, routine ones the later part, and within a class those that have waited
/// longer tend to come first.
Duration ReturnAfter(Random& random, const TurnedAway& caller);

}  // namespace snipeworks

#endif  // SNIPEWORKS_RETURN_TIME_H_
