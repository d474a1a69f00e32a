#include "snipeworks/shutdown_admission.h"

namespace snipeworks {

namespace {

// Room for a request that takes longer than most slow ones.
constexpr int kLatencyFactor = 2;

}  // namespace

bool HasTimeToRun(Duration time_left, Duration slow_latency) {
  return time_left > Duration{} && time_left >= kLatencyFactor * slow_latency;
}

}  // namespace snipeworks
