#ifndef SNIPEWORKS_LATENCY_WINDOW_H_
#define SNIPEWORKS_LATENCY_WINDOW_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "snipeworks/clock.h"

namespace snipeworks {

/// A sliding window over the most recent latencies, for percentiles that follow
/// the load.
class LatencyWindow {
 public:
  void Add(Duration latency);

  /// The latency below which `percent` of the window lie; nullopt until there
  /// are enough samples.
  std::optional<Duration> Percentile(int percent) const;

 private:
  std::vector<Duration> samples_;  ///< A ring buffer.
  std::vector<Duration> sorted_;   ///< The same samples in ascending order.
  std::size_t oldest_ = 0;         ///< Index of the oldest sample in samples_.
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_LATENCY_WINDOW_H_
