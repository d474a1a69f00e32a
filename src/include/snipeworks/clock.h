#ifndef SNIPEWORKS_CLOCK_H_
#define SNIPEWORKS_CLOCK_H_

#include <time.h>

#include <chrono>
#include <cstdint>

namespace snipeworks {

/// Durations in the decision logic, in microseconds.
using Duration = std::chrono::microseconds;

/// A point on the host's monotonic clock. Classes of the decision logic never
/// read the clock: each of their inputs carries the Instant at which it
/// happened.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Wall-clock time in seconds since 1970, for values exchanged between hosts.
using UnixSeconds = std::int64_t;

/// The current time of the host's monotonic clock, which includes time in
/// suspension: leases must not outlive a suspension. Not for decision logic.
inline Instant MonotonicNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

/// The current wall-clock time of the host in milliseconds since 1970. Not for
/// decision logic.
inline std::int64_t WallMillisecondsNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// The current wall-clock time of the host. Not for decision logic.
inline UnixSeconds WallSecondsNow() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// `duration` in milliseconds, including the fraction.
inline double ToMilliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

}  // namespace snipeworks

#endif  // SNIPEWORKS_CLOCK_H_
