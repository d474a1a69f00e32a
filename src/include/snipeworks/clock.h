#ifndef SNIPEWORKS_CLOCK_H_
#define SNIPEWORKS_CLOCK_H_

#include <time.h>

#include <chrono>
#include <cstdint>

namespace snipeworks {

/// Lengths of time inside the decision classes, in microseconds.
using Duration = std::chrono::microseconds;

/// A point on the host's monotonic clock. Decision classes never read the
/// clock: each input carries the Instant at which it happened.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Wall-clock time in seconds since 1970, for values that cross hosts.
using UnixSeconds = std::int64_t;

/// The host's monotonic clock now, which also counts the time that the host was
/// suspended: leases must not outlive a suspension. For program shells only.
inline Instant MonotonicNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

/// The host's wall clock now. For program shells only.
inline UnixSeconds WallSecondsNow() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// `duration` in milliseconds, with its fraction.
inline double ToMilliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

}  // namespace snipeworks

#endif  // SNIPEWORKS_CLOCK_H_
