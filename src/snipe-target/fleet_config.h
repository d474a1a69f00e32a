#ifndef SNIPE_TARGET_FLEET_CONFIG_H_
#define SNIPE_TARGET_FLEET_CONFIG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "snipeworks/announcement.h"
#include "snipeworks/error.h"

namespace snipeworks {

/// How long a stand-in takes over a request.
struct ServiceTime {
  double median_ms = 8.0;
  double sigma = 0.25;  ///< Of the logarithm of the time.
  double straggler_percent = 0.0;
  double straggler_factor = 10.0;
  double connect_ms = 0.0;  ///< Once for each new connection.
  /// A cold target is three times as slow at first, and warm after this.
  double cold_ms = 0.0;
};

/// One target that this program stands in for.
struct TargetConfig {
  Announcement announcement;
  ServiceTime service;
  /// False lets connections over the limit in, to be counted by a test.
  bool enforce_connections = true;
};

/// The targets of a whole fleet, from a fleet file.
///
/// A group of P parts and R replicas gives P x R targets; replica r of part p
/// stands in availability zone (p + r) modulo the number of zones.
class FleetConfig {
 public:
  /// Reads JSON with comments. Fails with kBadRequest and the reason.
  static Result<FleetConfig> Parse(std::string_view text);

  const std::vector<TargetConfig>& targets() const { return targets_; }

 private:
  std::vector<TargetConfig> targets_;
};

}  // namespace snipeworks

#endif  // SNIPE_TARGET_FLEET_CONFIG_H_
