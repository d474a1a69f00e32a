#include "snipeworks/target_limits.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace snipeworks {

void TargetLimits::SetCold(Instant now,
                           double per_second,
                           Instant until,
                           double phase) {
  // Each cold period starts with tokens of its own: those of an earlier one
  // say nothing of what was sent in between.
  if (!IsCold(now)) {
    cold_.OnStated(now, {}, 0.0);
  }
  cold_until_ = until;
  const bool cold = now < until && per_second > 0.0;
  const StatedLimit limit = cold ? StatedLimit{per_second} : StatedLimit{};
  if (cold && !cold_.per_second()) {
    // The share is known once the limit is.
    cold_.OnStated(now, limit, 0.0);
    phase += cold_.share() *
             std::chrono::duration<double>(now.time_since_epoch()).count();
    cold_.OnStated(now, {}, 0.0);
  }
  cold_.OnStated(now, limit, phase - std::floor(phase));
}

void TargetLimits::SetFleetHosts(Instant now,
                                 std::uint32_t hosts,
                                 std::uint32_t cold_hosts) {
  stated_.SetFleetHosts(now, hosts);
  cold_.SetFleetHosts(now, cold_hosts);
}

void TargetLimits::OnStart(Instant now) {
  stated_.OnStart(now);
  if (IsCold(now)) {
    cold_.OnStart(now);
  }
}

Instant TargetLimits::NextAllowed(Instant now) const {
  const Instant stated = stated_.NextAllowed(now);
  return IsCold(now)
             ? std::max(stated, std::min(cold_until_, cold_.NextAllowed(now)))
             : stated;
}

double TargetLimits::Tokens(Instant now) const {
  double tokens = std::numeric_limits<double>::infinity();
  if (stated_.per_second()) {
    tokens = stated_.Tokens(now);
  }
  return IsCold(now) ? std::min(tokens, cold_.Tokens(now)) : tokens;
}

double TargetLimits::share(Instant now) const {
  double share = std::numeric_limits<double>::infinity();
  if (stated_.per_second()) {
    share = stated_.share();
  }
  return IsCold(now) ? std::min(share, cold_.share()) : share;
}

}  // namespace snipeworks
