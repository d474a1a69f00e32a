#include "snipeworks/condition_aggregator.h"

#include <algorithm>
#include <cmath>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr Duration kHalfLife = milliseconds(1000);
// Typical attempts that are added to those observed, so that a single failure
// does not mark a target as failing.
constexpr double kAssumedAttempts = 2.0;
// Conditions are quantized, so that small changes cost no messages.
constexpr double kStepsPerDoubling = 2.0;
constexpr std::uint32_t kFailingStepPercent = 20;
// Conditions decay at the entry hosts, so lasting ones are republished.
constexpr Duration kRepublishInterval = milliseconds(1500);
// Decayed attempts below which a record is dropped.
constexpr double kNegligibleAttempts = 0.05;
// More targets than any deployment has; bounds the memory that callers can use.
constexpr std::size_t kMaxTargets = 50000;

std::uint32_t SlownessStep(double slowness) {
  const double doublings = std::log2(std::max(1.0, slowness));
  const double step =
      std::floor(doublings * kStepsPerDoubling) / kStepsPerDoubling;
  return static_cast<std::uint32_t>(std::lround(100.0 * std::exp2(step)));
}

std::uint32_t FailingStep(double share) {
  const auto percent = static_cast<std::uint32_t>(std::lround(100.0 * share));
  return percent / kFailingStepPercent * kFailingStepPercent;
}

bool IsTypical(const TargetCondition& condition) {
  return condition.slowness_percent <= 100 && condition.failing_percent == 0 &&
         condition.limit == StatedLimit{};
}

}  // namespace

void ConditionAggregator::Decay(Instant now, TargetRecord& record) {
  const double factor =
      std::exp2(-static_cast<double>((now - record.at).count()) /
                static_cast<double>(kHalfLife.count()));
  record.timed *= factor;
  record.failures *= factor;
  record.slowness *= factor;
  record.at = now;
}

void ConditionAggregator::Add(Instant now,
                              const std::vector<ConditionSample>& samples) {
  for (const ConditionSample& sample : samples) {
    if (targets_.size() >= kMaxTargets && !targets_.contains(sample.target)) {
      continue;
    }
    TargetRecord& record = targets_[sample.target];
    Decay(now, record);
    record.published.target = sample.target;
    record.timed += sample.timed;
    record.failures += sample.failures;
    record.slowness += sample.slowness_percent / 100.0;
    record.limit = sample.stated_limit.value_or(record.limit);
  }
}

bool ConditionAggregator::ShouldForward(const ConditionSample& sample) const {
  const auto slow_threshold = static_cast<std::uint64_t>(
      std::exp2(1.0 / kStepsPerDoubling) * 100.0 * sample.timed);
  if (sample.stated_limit) {
    return true;
  }
  if (sample.failures > 0 || sample.slowness_percent >= slow_threshold) {
    return sample.timed + sample.failures > 0;
  }
  auto found = targets_.find(sample.target);
  return found != targets_.end() && !IsTypical(found->second.published);
}

void ConditionAggregator::Publish(Instant now) {
  for (auto& [target, record] : targets_) {
    Decay(now, record);
    TargetCondition condition;
    condition.target = target;
    condition.slowness_percent =
        SlownessStep((record.slowness + kAssumedAttempts) /
                     (record.timed + kAssumedAttempts));
    condition.failing_percent = FailingStep(
        record.failures / (record.timed + record.failures + kAssumedAttempts));
    condition.limit = record.limit;
    const bool republish = !IsTypical(condition) &&
                           now - record.published_at >= kRepublishInterval;
    if (condition != record.published || republish) {
      record.published = condition;
      record.published_at = now;
      record.serial = ++serial_;
    }
  }
  std::erase_if(targets_, [&](const auto& entry) {
    const TargetRecord& record = entry.second;
    return record.timed + record.failures < kNegligibleAttempts &&
           IsTypical(record.published) &&
           now - record.published_at >= kRepublishInterval;
  });
}

std::vector<TargetCondition> ConditionAggregator::ChangesSince(
    std::uint64_t serial) const {
  std::vector<TargetCondition> result;
  for (const auto& [target, record] : targets_) {
    if (record.serial > serial &&
        (serial > 0 || !IsTypical(record.published))) {
      result.push_back(record.published);
    }
  }
  return result;
}

}  // namespace snipeworks
