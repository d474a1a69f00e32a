#include "snipeworks/part_admission.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace snipeworks {

namespace {

// An expected wait is a mean, but a search waits for the last of the parts that
// queue. The factor for that part grows by this much per tenfold number of
// them.
constexpr double kWaitSpread = 1.0;
// If even the parts that come in time need more than this share of it, all
// targets are loaded: to leave out the slowest parts would only admit more.
constexpr int kGeneralLoadPercent = 60;

}  // namespace

PartAdmission AdmitParts(const PartAdmissionQuery& query) {
  const auto queued = std::ranges::count_if(
      query.waits, [](Duration wait) { return wait > Duration{}; });
  if (queued == 0) {
    return {};
  }
  const double factor =
      1.0 + kWaitSpread * std::log10(static_cast<double>(queued));
  PartAdmission result;
  std::vector<Duration> late_waits;
  Duration longest_kept{};
  for (std::size_t i = 0; i < query.waits.size(); ++i) {
    const Duration wait = query.waits[i];
    const auto needed = Duration(static_cast<std::int64_t>(
                            static_cast<double>(wait.count()) * factor)) +
                        query.typical_latency;
    if (wait > Duration{} && needed > query.allowed) {
      result.left_out.push_back(i);
      late_waits.push_back(wait);
    } else {
      longest_kept = std::max(longest_kept, needed);
    }
  }
  if (late_waits.empty()) {
    return result;
  }
  const std::size_t present = query.waits.size() - query.absent;
  const std::size_t spared = present - std::min(present, query.needed);
  const bool general = longest_kept * 100 > query.allowed * kGeneralLoadPercent;
  result.admitted = late_waits.size() <= spared && !general;
  std::ranges::sort(late_waits, std::ranges::greater());
  result.wait = late_waits[result.admitted || general ? 0 : spared];
  return result;
}

}  // namespace snipeworks
