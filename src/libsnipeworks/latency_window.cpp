#include "snipeworks/latency_window.h"

#include <algorithm>

namespace snipeworks {

namespace {

constexpr std::size_t kMaxSamples = 1024;
constexpr std::size_t kMinSamples = 20;

}  // namespace

// An insertion moves part of a few kilobytes; sorting again costs far more.
void LatencyWindow::Add(Duration latency) {
  if (samples_.size() < kMaxSamples) {
    samples_.push_back(latency);
  } else {
    sorted_.erase(std::ranges::lower_bound(sorted_, samples_[oldest_]));
    samples_[oldest_] = latency;
    oldest_ = (oldest_ + 1) % kMaxSamples;
  }
  sorted_.insert(std::ranges::upper_bound(sorted_, latency), latency);
}

std::optional<Duration> LatencyWindow::Percentile(int percent) const {
  if (sorted_.size() < kMinSamples) {
    return std::nullopt;
  }
  const std::size_t rank =
      sorted_.size() * static_cast<std::size_t>(percent) / 100;
  return sorted_[std::min(rank, sorted_.size() - 1)];
}

}  // namespace snipeworks
