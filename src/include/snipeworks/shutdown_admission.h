#ifndef SNIPEWORKS_SHUTDOWN_ADMISSION_H_
#define SNIPEWORKS_SHUTDOWN_ADMISSION_H_

#include "snipeworks/clock.h"

namespace snipeworks {

/// True if a host that stops should take a request: `time_left` until the host
/// answers all that still run with an error lasts for an attempt that takes
/// `slow_latency`. Negative times are too late for any.
bool HasTimeToRun(Duration time_left, Duration slow_latency);

}  // namespace snipeworks

#endif  // SNIPEWORKS_SHUTDOWN_ADMISSION_H_
