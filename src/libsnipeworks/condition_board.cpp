#include "snipeworks/condition_board.h"

#include <algorithm>
#include <cmath>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr Duration kHalfLife = milliseconds(1000);
// So many usual attempts are assumed beside those seen: one bad answer alone
// condemns no target.
constexpr double kAssumedAttempts = 2.0;
// Steps in which conditions are told, so that small moves cost no messages.
constexpr double kStepsPerDoubling = 2.0;
constexpr std::uint32_t kFailingStep = 20;
// Hosts forget what they were told; a condition that lasts is told again.
constexpr Duration kTellAgain = milliseconds(1500);
// Less than this has faded to nothing.
constexpr double kNothing = 0.05;
// More targets than any deployment has; bounds what callers can make it hold.
constexpr std::size_t kMaxTargets = 50000;

std::uint32_t SlownessStep(double slowness) {
  const double doublings = std::log2(std::max(1.0, slowness));
  const double step =
      std::floor(doublings * kStepsPerDoubling) / kStepsPerDoubling;
  return static_cast<std::uint32_t>(std::lround(100.0 * std::exp2(step)));
}

std::uint32_t FailingStep(double share) {
  const auto percent = static_cast<std::uint32_t>(std::lround(100.0 * share));
  return percent / kFailingStep * kFailingStep;
}

bool IsUsual(const TargetCondition& condition) {
  return condition.slowness_percent <= 100 && condition.failing_percent == 0;
}

}  // namespace

void ConditionAggregator::Fade(Instant now, Seen& seen) {
  const double left = std::exp2(-static_cast<double>((now - seen.at).count()) /
                                static_cast<double>(kHalfLife.count()));
  seen.timed *= left;
  seen.failures *= left;
  seen.slowness *= left;
  seen.at = now;
}

void ConditionAggregator::Add(Instant now,
                              const std::vector<ConditionSample>& samples) {
  for (const ConditionSample& sample : samples) {
    if (targets_.size() >= kMaxTargets && !targets_.contains(sample.target)) {
      continue;
    }
    Seen& seen = targets_[sample.target];
    Fade(now, seen);
    seen.published.target = sample.target;
    seen.timed += sample.timed;
    seen.failures += sample.failures;
    seen.slowness += sample.slowness_percent / 100.0;
  }
}

bool ConditionAggregator::ShouldForward(const ConditionSample& sample) const {
  const auto usual = static_cast<std::uint64_t>(
      std::exp2(1.0 / kStepsPerDoubling) * 100.0 * sample.timed);
  if (sample.failures > 0 || sample.slowness_percent >= usual) {
    return sample.timed + sample.failures > 0;
  }
  auto found = targets_.find(sample.target);
  return found != targets_.end() && !IsUsual(found->second.published);
}

void ConditionAggregator::Publish(Instant now) {
  for (auto& [target, seen] : targets_) {
    Fade(now, seen);
    TargetCondition condition;
    condition.target = target;
    condition.slowness_percent = SlownessStep(
        (seen.slowness + kAssumedAttempts) / (seen.timed + kAssumedAttempts));
    condition.failing_percent = FailingStep(
        seen.failures / (seen.timed + seen.failures + kAssumedAttempts));
    const bool again =
        !IsUsual(condition) && now - seen.published_at >= kTellAgain;
    if (condition != seen.published || again) {
      seen.published = condition;
      seen.published_at = now;
      seen.serial = ++serial_;
    }
  }
  std::erase_if(targets_, [&](const auto& entry) {
    const Seen& seen = entry.second;
    return seen.timed + seen.failures < kNothing && IsUsual(seen.published) &&
           now - seen.published_at >= kTellAgain;
  });
}

std::vector<TargetCondition> ConditionAggregator::ChangesSince(
    std::uint64_t serial) const {
  std::vector<TargetCondition> result;
  for (const auto& [target, seen] : targets_) {
    if (seen.serial > serial && (serial > 0 || !IsUsual(seen.published))) {
      result.push_back(seen.published);
    }
  }
  return result;
}

}  // namespace snipeworks
