#ifndef SNIPEWORKS_CLOCK_H_
#define SNIPEWORKS_CLOCK_H_

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

/// The host's monotonic clock now. For program shells only.
inline Instant MonotonicNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
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
