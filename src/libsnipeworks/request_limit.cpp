#include "snipeworks/request_limit.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace snipeworks {

namespace {

// Requests of many hosts that each send rarely meet by chance. The mean stays
// this many standard deviations of a Poisson process below what is allowed.
constexpr double kDeviations = 6.0;
// Requests that were not sent in this share of the window are lost, so that a
// pause is not followed by a burst.
constexpr double kBurstWindows = 1.0 / 16.0;
// A single token is lost after this share of the window or this share of the
// time until the next one, whichever is longer. Else all hosts would keep one,
// and a burst of callers would use them at once.
constexpr double kTokenWindows = 1.0 / 8.0;
constexpr double kTokenShare = 0.05;
constexpr double kMaxTokenShare = 0.5;
// Limits of cold targets. In a short window hosts get few tokens, and requests
// over several groups need one for each: with a share as small as kTokenShare,
// no such request was admitted while all targets were cold.
constexpr double kColdWindowSeconds = 1.0;
constexpr double kColdIdleShare = 0.15;

double SecondsBetween(Instant from, Instant to) {
  return std::chrono::duration<double>(to - from).count();
}

}  // namespace

RequestLimitBounds ColdRequestBounds() {
  RequestLimitBounds bounds;
  bounds.window_seconds = kColdWindowSeconds;
  bounds.min_per_second = 0.0;  // The limit ends with the cold period.
  bounds.idle_share = kColdIdleShare;
  return bounds;
}

std::optional<double> ParseRequestLimit(std::string_view text) {
  double value = 0.0;
  const char* const end = text.data() + text.size();
  const auto [next, error] =
      std::from_chars(text.data(), end, value, std::chars_format::fixed);
  const bool valid = error == std::errc() && next == end &&
                     std::isfinite(value) && value >= 0.0;
  return valid ? std::optional(value) : std::nullopt;
}

// If each host may send one more than its share within the window, this is the
// limit; else it is the mean m with m + kDeviations * sqrt(m) = allowed.
double RequestLimit::SafeRequestsPerSecond(double limit) const {
  const double window = bounds_.window_seconds;
  const double allowed = bounds_.tolerance * limit * window + bounds_.slack;
  const double share = limit * window / hosts_;
  if (hosts_ * (std::floor(share) + 1.0) <= allowed) {
    return limit;
  }
  const double root =
      (std::sqrt(kDeviations * kDeviations + 4.0 * allowed) - kDeviations) /
      2.0;
  return std::min(limit, root * root / window);
}

double RequestLimit::LimitToShare() const {
  return std::max(per_second_.value_or(0.0), bounds_.min_per_second);
}

double RequestLimit::share() const {
  return SafeRequestsPerSecond(LimitToShare()) / hosts_;
}

double RequestLimit::KeptShare() const {
  const double window = bounds_.window_seconds;
  const double by_time = share() * kTokenWindows * window;
  if (bounds_.idle_share == 0.0) {
    return std::max(by_time, kTokenShare);
  }
  const double allowed =
      bounds_.tolerance * LimitToShare() * window + bounds_.slack;
  return std::max(
      by_time, std::min(kMaxTokenShare, bounds_.idle_share * allowed / hosts_));
}

double RequestLimit::Tokens(Instant now) const {
  const double window = bounds_.window_seconds;
  const double tokens = tokens_ + SecondsBetween(tokens_at_, now) * share();
  if (tokens < 1.0 || share() * kTokenWindows * window >= 1.0) {
    return std::min(tokens, std::max(1.0, share() * kBurstWindows * window));
  }
  const double progress = tokens - std::floor(tokens);
  return progress <= KeptShare() ? 1.0 + progress : progress;
}

void RequestLimit::Settle(Instant now) {
  tokens_ = Tokens(now);
  tokens_at_ = now;
}

void RequestLimit::OnStated(Instant now,
                            const StatedLimit& stated,
                            double phase) {
  if (!stated.per_second) {
    per_second_.reset();
    return;
  }
  if (!per_second_) {
    per_second_ = stated.per_second;
    tokens_ = phase;
    tokens_at_ = now;
    return;
  }
  Settle(now);
  per_second_ = stated.per_second;
}

void RequestLimit::SetFleetHosts(Instant now, std::uint32_t hosts) {
  Settle(now);
  hosts_ = std::max(1U, hosts);
}

void RequestLimit::OnStart(Instant now) {
  if (per_second_) {
    Settle(now);
    tokens_ -= 1.0;
  }
}

bool RequestLimit::Allows(Instant now) const {
  return !per_second_ || Tokens(now) >= 1.0;
}

Instant RequestLimit::NextAllowed(Instant now) const {
  if (Allows(now)) {
    return now;
  }
  const double seconds = (1.0 - Tokens(now)) / share();
  return now +
         std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(seconds)) +
         Duration(1);
}

}  // namespace snipeworks
