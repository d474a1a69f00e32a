#include "snipeworks/stall_filter.h"

#include <algorithm>

namespace snipeworks {

namespace {

// An attempt that takes this many times the typical latency is late.
constexpr double kLateSlowness = 3.0;
constexpr double kFirstEventWeight = 0.5;
constexpr int kEventsOfASlowTarget = 2;

}  // namespace

SlownessSample StallFilter::Filter(Instant started,
                                   Instant ended,
                                   SlownessSample sample) {
  if (sample.slowness < kLateSlowness) {
    late_events_ = 0;
    return sample;
  }
  if (started > last_event_at_) {
    ++late_events_;
    last_event_at_ = ended;
  }
  if (late_events_ < kEventsOfASlowTarget) {
    sample.slowness = kLateSlowness;
    sample.weight *= kFirstEventWeight;
  }
  return sample;
}

}  // namespace snipeworks
