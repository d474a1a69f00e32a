#ifndef SNIPE_TARGET_FLEET_CONFIG_H_
#define SNIPE_TARGET_FLEET_CONFIG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "snipeworks/announcement.h"
#include "snipeworks/error.h"

namespace snipeworks {

/// The distribution of a simulated target's service time: log-normal, with
/// stragglers.
struct ServiceTime {
  double median_ms = 8.0;
  double sigma = 0.25;  ///< Standard deviation of the logarithm.
  double straggler_percent = 0.0;
  double straggler_factor = 10.0;
  double connect_ms = 0.0;  ///< Added once per new connection.
  /// Warm-up time: a target starts three times as slow and speeds up linearly
  /// until this time after its start.
  double cold_ms = 0.0;
};

/// One target that this program simulates.
struct TargetConfig {
  Announcement announcement;
  ServiceTime service;
  /// False accepts connections over the limit, so that a test can count them.
  bool enforce_connections = true;
};

/// The targets of a fleet, read from a fleet file.
///
/// A group of P parts and R replicas has P x R targets; replica r of part p is
/// in availability zone (p + r) modulo the number of zones.
class FleetConfig {
 public:
  /// Parses JSON with comments. Fails with kBadRequest and the reason.
  static Result<FleetConfig> Parse(std::string_view text);

  const std::vector<TargetConfig>& targets() const { return targets_; }

 private:
  std::vector<TargetConfig> targets_;
};

}  // namespace snipeworks

#endif  // SNIPE_TARGET_FLEET_CONFIG_H_
