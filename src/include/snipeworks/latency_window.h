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
  std::vector<Duration> samples_;
  std::size_t next_ = 0;
  std::size_t added_ = 0;
  mutable std::vector<Duration> sorted_;
  mutable std::size_t sorted_at_ = 0;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_LATENCY_WINDOW_H_
