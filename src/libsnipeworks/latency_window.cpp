#include "snipeworks/latency_window.h"

#include <algorithm>

namespace snipeworks {

namespace {

constexpr std::size_t kWindow = 1024;
constexpr std::size_t kMinSamples = 20;
// Sorting is the cost of a percentile; this many samples share one sort.
constexpr std::size_t kSamplesPerSort = 64;

}  // namespace

void LatencyWindow::Add(Duration latency) {
  if (samples_.size() < kWindow) {
    samples_.push_back(latency);
  } else {
    samples_[next_] = latency;
    next_ = (next_ + 1) % kWindow;
  }
  ++added_;
}

std::optional<Duration> LatencyWindow::Percentile(int percent) const {
  if (samples_.size() < kMinSamples) {
    return std::nullopt;
  }
  if (sorted_.empty() || added_ - sorted_at_ >= kSamplesPerSort) {
    sorted_ = samples_;
    std::ranges::sort(sorted_);
    sorted_at_ = added_;
  }
  const std::size_t rank =
      sorted_.size() * static_cast<std::size_t>(percent) / 100;
  return sorted_[std::min(rank, sorted_.size() - 1)];
}

}  // namespace snipeworks
