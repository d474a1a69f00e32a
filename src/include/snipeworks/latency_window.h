#ifndef SNIPEWORKS_LATENCY_WINDOW_H_
#define SNIPEWORKS_LATENCY_WINDOW_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "snipeworks/clock.h"

namespace snipeworks {

/// The most recent latencies of one kind, for percentiles that follow load.
class LatencyWindow {
 public:
  void Add(Duration latency);

  /// The latency that `percent` of the window stays under; nothing until
  /// enough samples are in.
  std::optional<Duration> Percentile(int percent) const;

 private:
  std::vector<Duration> samples_;  ///< In the order in which they came.
  std::vector<Duration> sorted_;   ///< The same, by length.
  std::size_t next_ = 0;           ///< Of samples_, the oldest.
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_LATENCY_WINDOW_H_
