#include "snipeworks/target_stats.h"

#include <algorithm>
#include <cmath>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr double kLatencyWeight = 0.2;
// An observation loses half its say in this time.
constexpr Duration kObservationHalfLife = milliseconds(2000);
constexpr Duration kReportHalfLife = milliseconds(500);
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
  latency_us_ = 0.0;
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
  if (announcement.incarnation != incarnation_) {
    incarnation_ = announcement.incarnation;
    Reset(now);
    limit_ = MaxLimit();
  }
}

// One connection of the share is kept for probes and cancellations.
double TargetStats::MaxLimit() const {
  const std::uint32_t usable = share_ > 1 ? share_ - 1 : 1;
  return std::max(1.0, static_cast<double>(std::min(slots_, usable)));
}

void TargetStats::OnStart() {
  ++in_flight_;
}

void TargetStats::OnFinish(Instant now,
                           const AttemptOutcome& outcome,
                           Duration latency,
                           const GroupPolicy& policy) {
  in_flight_ = std::max(0, in_flight_ - 1);
  switch (outcome.status) {
    case AttemptStatus::kAnswered:
      latency_at_ = now;
      OnHealthy(outcome, latency);
      return;
    case AttemptStatus::kShed:
      limit_ = std::max(1.0, limit_ * kLimitCutOnShed);
      shed_until_ = now + outcome.retry_after;
      return;
    case AttemptStatus::kNotSent:
      Eject(now, policy);
      return;
    case AttemptStatus::kLost:
    case AttemptStatus::kFailed:
      if (++failures_in_row_ >= kFailuresToEject) {
        Eject(now, policy);
      }
      return;
    case AttemptStatus::kCancelled:
      // The loser of a hedge was at least this slow.
      if (static_cast<double>(latency.count()) > latency_us_) {
        latency_at_ = now;
        latency_us_ += kLatencyWeight *
                       (static_cast<double>(latency.count()) - latency_us_);
      }
      return;
    case AttemptStatus::kDraining:
    case AttemptStatus::kWrongSnapshot:
    case AttemptStatus::kSilent:
      return;
  }
}

void TargetStats::OnHealthy(const AttemptOutcome& outcome, Duration latency) {
  const auto sample = static_cast<double>(latency.count());
  latency_us_ = latency_us_ == 0.0
                    ? sample
                    : latency_us_ + kLatencyWeight * (sample - latency_us_);
  failures_in_row_ = 0;
  ejections_ = 0;
  const bool queued = outcome.queue_time * 2 > latency;
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

double TargetStats::Score(Instant now,
                          Duration reference,
                          const GroupPolicy& policy) const {
  const auto usual =
      static_cast<double>(std::max<std::int64_t>(1, reference.count()));
  const double trust =
      latency_us_ == 0.0 ? 0.0 : Fade(now - latency_at_, kObservationHalfLife);
  const double latency = trust * latency_us_ + (1.0 - trust) * usual;
  const double load = (in_flight_ + 1.0) / static_cast<double>(slots_);
  const double reported =
      std::min(1.0, static_cast<double>(reported_queue_) / slots_) *
      Fade(now - reported_at_, kReportHalfLife);
  double slow_start = 1.0;
  const auto age = std::chrono::duration<double>(now - first_seen_).count();
  const auto warm_up =
      std::chrono::duration<double>(milliseconds(policy.slow_start_ms)).count();
  if (age < warm_up) {
    slow_start = std::min(kMaxSlowStartPenalty, warm_up / std::max(age, 0.001));
  }
  return latency * load * (1.0 + kReportWeight * reported) * slow_start;
}

}  // namespace snipeworks
