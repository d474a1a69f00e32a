#ifndef SNIPEWORKS_REQUEST_LIMIT_H_
#define SNIPEWORKS_REQUEST_LIMIT_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <tuple>

#include "snipeworks/clock.h"
#include "snipeworks/wire.h"

namespace snipeworks {

/// What a target states in an answer of the requests that it takes from all
/// entry hosts together.
struct StatedLimit {
  /// Requests per second, at least 0; nothing if the target states no limit.
  std::optional<double> per_second;

  friend auto operator<=>(const StatedLimit&, const StatedLimit&) = default;
};

template <SameStruct<StatedLimit> S>
auto WireFields(S& v) {
  return std::tie(v.per_second);
}

/// Returns the requests per second in `text`, a decimal number; nothing if it
/// is negative or no finite number.
std::optional<double> ParseRequestLimit(std::string_view text);

/// What all entry hosts together must keep to. In any window a target may get
/// `tolerance` times its limit and `slack` requests more.
struct RequestLimitBounds {
  double window_seconds = 4.0;
  double tolerance = 1.5;
  double slack = 5.0;
  /// All hosts together send this many requests per second to a target with a
  /// lower limit, since only its answers show that the limit has ended.
  double min_per_second = 0.25;
  /// The share of what a target may get in a window that all hosts together
  /// keep as tokens for requests to come, on average; 0 for a fixed share of
  /// the time between two tokens.
  double idle_share = 0.0;

  friend auto operator<=>(const RequestLimitBounds&,
                          const RequestLimitBounds&) = default;
};

/// The defaults for a limit that holds while a target is cold.
RequestLimitBounds ColdRequestBounds();

/// This host's share of the requests that one target takes.
///
/// Load pattern: many hosts learn of the limit at about the same time, send at
/// uneven rates, and do not know what the others send.
class RequestLimit {
 public:
  RequestLimit() = default;
  explicit RequestLimit(const RequestLimitBounds& bounds) : bounds_(bounds) {}

  /// The target has stated a limit, or none. `phase`, from 0 to 1, differs
  /// between hosts, so that they do not all send at the same time.
  void OnStated(Instant now, const StatedLimit& stated, double phase);
  /// The limit is shared among `hosts` entry hosts.
  void SetFleetHosts(Instant now, std::uint32_t hosts);
  /// A request is sent to the target.
  void OnStart(Instant now);

  /// True if a request may be sent now.
  bool Allows(Instant now) const;
  /// The earliest time at which a request may be sent.
  Instant NextAllowed(Instant now) const;

  /// The limit of the target, in requests per second; nothing if it has none.
  const std::optional<double>& per_second() const { return per_second_; }
  /// The requests per second that this host may send.
  double share() const;
  /// The requests that may be sent at once; below 1 if none.
  double Tokens(Instant now) const;

 private:
  void Settle(Instant now);
  /// The requests per second that all hosts may send together.
  double SafeRequestsPerSecond(double limit) const;
  /// The share of the time between two tokens for which one is kept.
  double KeptShare() const;
  /// The limit that the shares are parts of.
  double LimitToShare() const;

  RequestLimitBounds bounds_;
  std::optional<double> per_second_;
  std::uint32_t hosts_ = 1;
  /// The tokens at `tokens_at_`; they grow by share() per second.
  double tokens_ = 0.0;
  Instant tokens_at_{};
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_REQUEST_LIMIT_H_
