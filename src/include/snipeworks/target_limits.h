#ifndef SNIPEWORKS_TARGET_LIMITS_H_
#define SNIPEWORKS_TARGET_LIMITS_H_

#include <compare>
#include <cstdint>

#include "snipeworks/clock.h"
#include "snipeworks/request_limit.h"

namespace snipeworks {

/// The requests that the operator allows a cold target of a group.
struct ColdLimit {
  double per_second = 0.0;  ///< From all entry hosts together; 0 for no limit.
  Duration after_start{};   ///< How long a target is cold after its start.

  friend auto operator<=>(const ColdLimit&, const ColdLimit&) = default;
};

/// What the limits of targets must keep to.
struct TargetLimitBounds {
  RequestLimitBounds stated;
  RequestLimitBounds cold = ColdRequestBounds();

  friend auto operator<=>(const TargetLimitBounds&,
                          const TargetLimitBounds&) = default;
};

/// This host's share of the requests that one target takes: by the limit that
/// the target states, and by the limit of its group while it is cold. Where
/// both hold, both bind.
class TargetLimits {
 public:
  explicit TargetLimits(const TargetLimitBounds& bounds)
      : stated_(bounds.stated), cold_(bounds.cold) {}

  /// See RequestLimit::OnStated.
  void OnStated(Instant now, const StatedLimit& stated, double phase) {
    stated_.OnStated(now, stated, phase);
  }
  /// The target is cold until `until` and then takes `per_second` requests from
  /// all entry hosts; 0 for no limit. `phase`, from 0 to 1, differs between
  /// hosts. A host with one phase for all targets gets the tokens of those with
  /// equal limits at the same times, so that a request over several groups
  /// finds one for each.
  void SetCold(Instant now, double per_second, Instant until, double phase);
  /// `hosts` entry hosts share a stated limit; `cold_hosts` share the limit of
  /// a cold target.
  void SetFleetHosts(Instant now,
                     std::uint32_t hosts,
                     std::uint32_t cold_hosts);
  /// A request is sent to the target.
  void OnStart(Instant now);

  /// True if the target is cold and has a limit.
  bool IsCold(Instant now) const {
    return now < cold_until_ && cold_.per_second().has_value();
  }
  bool IsLimited(Instant now) const {
    return stated_.per_second().has_value() || IsCold(now);
  }
  /// The earliest time at which a request may be sent.
  Instant NextAllowed(Instant now) const;
  /// The requests that may be sent at once, and per second from then on. Only
  /// for a target that is limited.
  double Tokens(Instant now) const;
  double share(Instant now) const;

  const RequestLimit& stated() const { return stated_; }

 private:
  RequestLimit stated_;
  RequestLimit cold_;
  Instant cold_until_{};
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_TARGET_LIMITS_H_
