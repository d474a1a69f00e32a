#include "snipeworks/target_stats.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr double kSlownessWeight = 0.2;
// A loser of a hedge says more: two of them in a row show a slow target, where
// one may only have met a pause.
constexpr double kLoserWeight = 0.35;
constexpr double kFailureWeight = 0.2;
// An observation loses half its say in this time.
constexpr Duration kObservationHalfLife = milliseconds(2000);
constexpr Duration kReportHalfLife = milliseconds(500);
// What other hosts see is told again every 1.5 s while it lasts.
constexpr Duration kToldHalfLife = milliseconds(3000);
// What an answer tells of the target's load is fresh, and soon out of date.
constexpr Duration kAnswerHalfLife = milliseconds(100);
// Pauses of targets are of about this length.
constexpr Duration kStallMemory = milliseconds(250);
constexpr double kStallPenalty = 4.0;
// An attempt that fails costs another one, which all hosts together have few
// of.
constexpr double kFailurePenalty = 12.0;
constexpr double kColdPenalty = 1.5;
// A connection has to be opened first, which takes time here and a slot there.
constexpr double kConnectPenalty = 1.4;
// Targets close idle connections a few seconds after their last answer.
constexpr Duration kConnectionKept = milliseconds(4000);
// A target slows down a little before all of its slots are taken.
constexpr double kLoadSlope = 0.3;
constexpr double kMaxSlowness = 50.0;
// Reports may lag or mislead, so they move the score by at most this share.
constexpr double kReportWeight = 0.1;
constexpr int kFailuresToEject = 3;
constexpr int kMaxEjectionDoublings = 5;
constexpr double kLimitStep = 0.2;
constexpr double kLimitCutOnQueue = 0.9;
constexpr double kLimitCutOnShed = 0.6;
constexpr double kMaxSlowStartPenalty = 8.0;

double Fade(Duration age, Duration half_life) {
  return std::exp2(-static_cast<double>(age.count()) /
                   static_cast<double>(half_life.count()));
}

}  // namespace

TargetStats::TargetStats(Instant now,
                         const Announcement& announcement,
                         std::uint32_t share) {
  incarnation_ = announcement.incarnation;
  Reset(now);
  OnAnnouncement(now, announcement, share);
  limit_ = MaxLimit();
}

void TargetStats::Reset(Instant now) {
  first_seen_ = now;
  slowness_ = 1.0;
  slowness_at_ = now;
  failure_share_ = 0.0;
  told_ = {};
  busy_ = 0.0;
  stalled_until_ = Instant{};
  failures_in_row_ = 0;
  ejections_ = 0;
  ejected_until_ = Instant{};
  shed_until_ = Instant{};
}

void TargetStats::OnAnnouncement(Instant now,
                                 const Announcement& announcement,
                                 std::uint32_t share) {
  slots_ = announcement.slots;
  share_ = share;
  reported_queue_ = announcement.queued;
  reported_at_ = now;
  cold_until_ = now + milliseconds(announcement.cold_ms);
  if (announcement.incarnation != incarnation_) {
    incarnation_ = announcement.incarnation;
    Reset(now);
    limit_ = MaxLimit();
  }
}

double TargetStats::MaxLimit() const {
  return std::max(1.0, static_cast<double>(std::min(slots_, share_)));
}

void TargetStats::OnStart() {
  ++in_flight_;
}

void TargetStats::OnFinish(Instant now,
                           const AttemptOutcome& outcome,
                           Duration latency,
                           Duration usual,
                           const GroupPolicy& policy) {
  in_flight_ = std::max(0, in_flight_ - 1);
  if (outcome.load) {
    busy_ = static_cast<double>(outcome.load->running + outcome.load->waiting);
    busy_at_ = now;
  }
  if (outcome.retry_after > Duration{}) {
    shed_until_ = std::max(shed_until_, now + outcome.retry_after);
  }
  const double slowness =
      static_cast<double>(latency.count()) /
      static_cast<double>(std::max<std::int64_t>(1, usual.count()));
  // What ends without an answer ends with its connection.
  const bool kept = outcome.status == AttemptStatus::kAnswered ||
                    outcome.status == AttemptStatus::kShed;
  connected_until_ = kept ? now + kConnectionKept : Instant{};
  switch (outcome.status) {
    case AttemptStatus::kAnswered:
      Observe(now, slowness, kSlownessWeight);
      ObserveFailure(now, false);
      OnHealthy(outcome, latency);
      return;
    case AttemptStatus::kShed:
      ObserveFailure(now, true);
      limit_ = std::max(1.0, limit_ * kLimitCutOnShed);
      return;
    case AttemptStatus::kNotSent:
    case AttemptStatus::kWrongTarget:
      ++sample_.failures;
      Eject(now, policy);
      return;
    case AttemptStatus::kLost:
    case AttemptStatus::kFailed:
      ObserveFailure(now, true);
      if (++failures_in_row_ >= kFailuresToEject) {
        Eject(now, policy);
      }
      return;
    case AttemptStatus::kCancelled:
      // The loser of a hedge was at least this slow.
      if (slowness > slowness_) {
        Observe(now, slowness, kLoserWeight);
      }
      return;
    case AttemptStatus::kDraining:
    case AttemptStatus::kWrongSnapshot:
    case AttemptStatus::kSilent:
      return;
  }
}

double TargetStats::ToldSlowness(Instant now) const {
  return 1.0 + Fade(now - told_at_, kToldHalfLife) *
                   (told_.slowness_percent / 100.0 - 1.0);
}

double TargetStats::ToldFailing(Instant now) const {
  return Fade(now - told_at_, kToldHalfLife) * told_.failing_percent / 100.0;
}

double TargetStats::Slowness(Instant now) const {
  const double told = ToldSlowness(now);
  const double trust = Fade(now - slowness_at_, kObservationHalfLife);
  return told + trust * (slowness_ - told);
}

double TargetStats::Failing(Instant now) const {
  const double told = ToldFailing(now);
  const double trust = Fade(now - failure_at_, kObservationHalfLife);
  return told + trust * (failure_share_ - told);
}

void TargetStats::Observe(Instant now, double slowness, double weight) {
  const double seen = std::min(slowness, kMaxSlowness);
  const double mean = Slowness(now);
  slowness_ = mean + weight * (seen - mean);
  slowness_at_ = now;
  ++sample_.timed;
  sample_.slowness_percent +=
      static_cast<std::uint32_t>(std::lround(100.0 * seen));
}

void TargetStats::ObserveFailure(Instant now, bool failed) {
  const double mean = Failing(now);
  failure_share_ = mean + kFailureWeight * ((failed ? 1.0 : 0.0) - mean);
  failure_at_ = now;
  sample_.failures += failed ? 1 : 0;
}

void TargetStats::OnCondition(Instant now, const TargetCondition& condition) {
  told_ = condition;
  told_at_ = now;
}

ConditionSample TargetStats::TakeSample() {
  return std::exchange(sample_, {});
}

void TargetStats::OnSlow(Instant now) {
  stalled_until_ = now + kStallMemory;
}

void TargetStats::OnHealthy(const AttemptOutcome& outcome, Duration latency) {
  stalled_until_ = Instant{};
  failures_in_row_ = 0;
  ejections_ = 0;
  // Each host sees its own attempts alone: what waits at the target tells what
  // all of them together have sent too much.
  const bool told = outcome.load && outcome.load->waiting >= slots_;
  const bool queued = told || outcome.queue_time * 2 > latency;
  if (queued) {
    limit_ = std::max(1.0, limit_ * kLimitCutOnQueue);
  } else {
    limit_ = std::min(MaxLimit(), limit_ + kLimitStep);
  }
}

void TargetStats::Eject(Instant now, const GroupPolicy& policy) {
  const int doublings = std::min(ejections_, kMaxEjectionDoublings);
  ejected_until_ = now + milliseconds(policy.eject_ms) * (1 << doublings);
  ++ejections_;
  failures_in_row_ = 0;
}

bool TargetStats::HasRoom(Instant now) const {
  return !IsShedding(now) &&
         in_flight_ <
             std::max(1, static_cast<int>(std::min(limit_, MaxLimit())));
}

// Own attempts are known exactly; what others have there is told by answers.
double TargetStats::Busy(Instant now) const {
  const double told = busy_ * Fade(now - busy_at_, kAnswerHalfLife);
  return std::max(static_cast<double>(in_flight_), told);
}

double TargetStats::Score(Instant now,
                          Duration reference,
                          const GroupPolicy& policy) const {
  const auto usual =
      static_cast<double>(std::max<std::int64_t>(1, reference.count()));
  const double latency = usual * Slowness(now);
  const auto slots = static_cast<double>(slots_);
  const double busy = Busy(now);
  const double load = 1.0 + kLoadSlope * busy / slots +
                      std::max(0.0, busy + 1.0 - slots) / slots;
  const double reported =
      std::min(1.0, static_cast<double>(reported_queue_) / slots) *
      Fade(now - reported_at_, kReportHalfLife);
  double penalty =
      (1.0 + kReportWeight * reported) * (1.0 + kFailurePenalty * Failing(now));
  if (now < stalled_until_) {
    penalty *= kStallPenalty;
  }
  if (now < cold_until_) {
    penalty *= kColdPenalty;
  }
  if (in_flight_ > 0 || now >= connected_until_) {
    penalty *= kConnectPenalty;
  }
  const auto age = std::chrono::duration<double>(now - first_seen_).count();
  const auto warm_up =
      std::chrono::duration<double>(milliseconds(policy.slow_start_ms)).count();
  if (age < warm_up) {
    penalty *= std::min(kMaxSlowStartPenalty, warm_up / std::max(age, 0.001));
  }
  return latency * load * penalty;
}

}  // namespace snipeworks
