#ifndef SNIPEWORKS_FLEET_SETTINGS_H_
#define SNIPEWORKS_FLEET_SETTINGS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "snipeworks/error.h"
#include "snipeworks/policy.h"

namespace snipeworks {

/// One value that a group sets differently.
struct PolicyOverride {
  std::string field;
  std::int64_t value = 0;

  friend auto operator<=>(const PolicyOverride&,
                          const PolicyOverride&) = default;
};

/// What one group sets differently, and why.
struct PolicyException {
  std::string group;
  std::vector<PolicyOverride> overrides;
  std::string reason;

  friend auto operator<=>(const PolicyException&,
                          const PolicyException&) = default;
};

/// The settings of the whole fleet: one set of defaults and a short list of
/// exceptions. Immutable once parsed.
class FleetSettings {
 public:
  /// Settings with every default as built in.
  FleetSettings() = default;

  /// Reads JSON with comments. Fails with kBadRequest, naming line and reason;
  /// unknown names and exceptions without a reason are faults.
  static Result<FleetSettings> Parse(std::string_view text);

  const GroupPolicy& defaults() const { return defaults_; }
  const std::vector<PolicyException>& exceptions() const { return exceptions_; }

  /// Defaults with the exception of `group` applied.
  GroupPolicy PolicyFor(std::string_view group) const;

  friend auto operator<=>(const FleetSettings&, const FleetSettings&) = default;

 private:
  GroupPolicy defaults_;
  std::vector<PolicyException> exceptions_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_FLEET_SETTINGS_H_
