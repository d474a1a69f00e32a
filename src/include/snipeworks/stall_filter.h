#ifndef SNIPEWORKS_STALL_FILTER_H_
#define SNIPEWORKS_STALL_FILTER_H_

#include "snipeworks/clock.h"

namespace snipeworks {

/// A latency of a target, as a multiple of the typical one, and its weight in a
/// moving average.
struct SlownessSample {
  double slowness = 1.0;
  double weight = 0.0;

  friend bool operator==(const SlownessSample&,
                         const SlownessSample&) = default;
};

/// Distinguishes a target that stalled for a moment from one that is slow.
///
/// Load pattern: each target pauses for a moment every few seconds. All
/// attempts at it are then late at once, although it is as fast as before as
/// soon as the pause has ended. If they counted in full, hosts would avoid each
/// target for seconds after each pause. So late attempts that ran at the same
/// time count as one event, and only a second event without a usual answer in
/// between shows that the target is slow.
class StallFilter {
 public:
  /// The sample to take for an attempt that ran from `started` to `ended`.
  SlownessSample Filter(Instant started, Instant ended, SlownessSample sample);

 private:
  int late_events_ = 0;  ///< Since the last usual answer.
  Instant last_event_at_{};
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_STALL_FILTER_H_
