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

/// A setting that overrides the fleet's default.
struct PolicyOverride {
  std::string field;
  std::int64_t value = 0;

  friend auto operator<=>(const PolicyOverride&,
                          const PolicyOverride&) = default;
};

/// The overrides of one group and the reason for them.
struct PolicyException {
  std::string group;
  std::vector<PolicyOverride> overrides;
  std::string reason;

  friend auto operator<=>(const PolicyException&,
                          const PolicyException&) = default;
};

/// The settings of the whole fleet: one set of defaults and a list of
/// exceptions for groups. Immutable once parsed.
class FleetSettings {
 public:
  /// The built-in defaults without exceptions.
  FleetSettings() = default;

  /// Parses JSON with comments. Fails with kBadRequest, naming line and reason;
  /// unknown names and exceptions without a reason are errors.
  static Result<FleetSettings> Parse(std::string_view text);

  const GroupPolicy& defaults() const { return defaults_; }
  const std::vector<PolicyException>& exceptions() const { return exceptions_; }

  /// The defaults with the overrides of `group` applied.
  GroupPolicy PolicyFor(std::string_view group) const;

  friend auto operator<=>(const FleetSettings&, const FleetSettings&) = default;

 private:
  GroupPolicy defaults_;
  std::vector<PolicyException> exceptions_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_FLEET_SETTINGS_H_
