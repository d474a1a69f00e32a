#include "snipeworks/target_stats.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr double kSlownessWeight = 0.2;
// The losing attempt of a hedge gets more weight: two in a row show a slow
// target, whereas one may only have met a pause.
constexpr double kHedgeLoserWeight = 0.35;
constexpr double kFailureWeight = 0.2;
constexpr Duration kObservationHalfLife = milliseconds(2000);
constexpr Duration kAnnouncementHalfLife = milliseconds(500);
// Control hosts republish a condition every 1.5 s while it lasts.
constexpr Duration kConditionHalfLife = milliseconds(3000);
// The load in an answer is current on arrival and outdated soon after.
constexpr Duration kAnswerLoadHalfLife = milliseconds(100);
// How long a target is taken to pause after an attempt has turned out slow. The
// period doubles with each slow attempt until the target answers again.
constexpr Duration kFirstStallPeriod = milliseconds(100);
constexpr int kMaxStallDoublings = 3;
constexpr double kStallPenalty = 4.0;
// A failed attempt costs a retry, and the fleet's budget for retries is small.
constexpr double kFailurePenalty = 12.0;
constexpr double kColdPenalty = 1.5;
// Opening a connection takes time and a slot at the target.
constexpr double kConnectPenalty = 1.4;
// Targets close connections that stay idle for a few seconds.
constexpr Duration kConnectionIdleTime = milliseconds(4000);
// A target slows down slightly before all of its slots are taken.
constexpr double kLoadSlope = 0.3;
constexpr double kMaxSlowness = 50.0;
// Announced queues may be late or wrong: they raise the score by at most this
// share.
constexpr double kAnnouncedQueueWeight = 0.1;
constexpr int kFailuresToEject = 3;
constexpr int kMaxEjectionDoublings = 5;
constexpr double kLimitStep = 0.2;
constexpr double kLimitCutOnQueue = 0.9;
constexpr double kLimitCutOnShed = 0.6;
constexpr double kMaxSlowStartPenalty = 8.0;
// What another host was told of a limit may be this much older than what this
// host was told.
constexpr Duration kLimitTrust = milliseconds(1500);
// If the fleet finds a target this slow, a late attempt has met no mere pause.
constexpr double kSlowForFleet = 2.0;
constexpr double kMaxFitSlowness = 2.5;
constexpr double kMaxFitFailureRate = 0.1;

double DecayFactor(Duration age, Duration half_life) {
  return std::exp2(-static_cast<double>(age.count()) /
                   static_cast<double>(half_life.count()));
}

}  // namespace

TargetStats::TargetStats(Instant now,
                         const Announcement& announcement,
                         std::uint32_t share,
                         const TargetLimitBounds& bounds)
    : limits_(bounds) {
  incarnation_ = announcement.incarnation;
  Reset(now);
  OnAnnouncement(now, announcement, share);
  concurrency_limit_ = MaxConcurrency();
}

void TargetStats::Reset(Instant now) {
  first_seen_ = now;
  started_at_ = now;
  slowness_ = 1.0;
  slowness_at_ = now;
  stall_filter_ = {};
  failure_rate_ = 0.0;
  fleet_condition_ = {};
  answer_load_ = 0.0;
  stalled_until_ = Instant{};
  stall_doublings_ = 0;
  consecutive_failures_ = 0;
  consecutive_ejections_ = 0;
  ejected_until_ = Instant{};
  shed_until_ = Instant{};
  limits_.OnStated(now, {}, 0.0);
  sample_.stated_limit.reset();
}

void TargetStats::OnAnnouncement(Instant now,
                                 const Announcement& announcement,
                                 std::uint32_t share) {
  slots_ = announcement.slots;
  connection_share_ = share;
  announced_queue_ = announcement.queued;
  announced_at_ = now;
  cold_until_ = now + milliseconds(announcement.cold_ms);
  if (announcement.incarnation != incarnation_) {
    incarnation_ = announcement.incarnation;
    Reset(now);
    concurrency_limit_ = MaxConcurrency();
  }
}

double TargetStats::MaxConcurrency() const {
  return std::max(1.0,
                  static_cast<double>(std::min(slots_, connection_share_)));
}

void TargetStats::SetColdLimit(Instant now,
                               const ColdLimit& limit,
                               double phase) {
  limits_.SetCold(now, limit.per_second,
                  std::max(cold_until_, started_at_ + limit.after_start),
                  phase);
}

void TargetStats::OnStart(Instant now) {
  ++in_flight_;
  limits_.OnStart(now);
}

void TargetStats::OnLimit(Instant now,
                          const StatedLimit& stated,
                          double phase) {
  limit_stated_at_ = now;
  if (stated.per_second || limit().per_second()) {
    sample_.stated_limit = stated;
  }
  limits_.OnStated(now, stated, phase);
}

void TargetStats::OnRelayedLimit(Instant now,
                                 const StatedLimit& stated,
                                 double phase) {
  if (now - limit_stated_at_ >= kLimitTrust) {
    limits_.OnStated(now, stated, phase);
  }
}

void TargetStats::OnFinish(Instant now,
                           const AttemptOutcome& outcome,
                           Duration latency,
                           Duration typical_latency,
                           const GroupPolicy& policy) {
  in_flight_ = std::max(0, in_flight_ - 1);
  if (outcome.load) {
    answer_load_ =
        static_cast<double>(outcome.load->running + outcome.load->waiting);
    answer_load_at_ = now;
  }
  if (outcome.retry_after > Duration{}) {
    shed_until_ = std::max(shed_until_, now + outcome.retry_after);
  }
  const double slowness =
      static_cast<double>(latency.count()) /
      static_cast<double>(std::max<std::int64_t>(1, typical_latency.count()));
  // An attempt that ends without an answer closes its connection.
  const bool connection_kept = outcome.status == AttemptStatus::kAnswered ||
                               outcome.status == AttemptStatus::kShed;
  connected_until_ = connection_kept ? now + kConnectionIdleTime : Instant{};
  switch (outcome.status) {
    case AttemptStatus::kAnswered:
      ObserveLatency(now, latency, {slowness, kSlownessWeight});
      ObserveFailure(now, false);
      OnAnswered(outcome, latency);
      return;
    case AttemptStatus::kShed:
      ObserveFailure(now, true);
      concurrency_limit_ = std::max(1.0, concurrency_limit_ * kLimitCutOnShed);
      return;
    case AttemptStatus::kNotSent:
    case AttemptStatus::kWrongTarget:
      ++sample_.failures;
      Eject(now, policy);
      return;
    case AttemptStatus::kLost:
    case AttemptStatus::kFailed:
      ObserveFailure(now, true);
      if (++consecutive_failures_ >= kFailuresToEject) {
        Eject(now, policy);
      }
      return;
    case AttemptStatus::kCancelled:
      // The losing attempt of a hedge was at least this slow.
      if (slowness > slowness_) {
        ObserveLatency(now, latency, {slowness, kHedgeLoserWeight});
      }
      return;
    case AttemptStatus::kDraining:
    case AttemptStatus::kWrongSnapshot:
    case AttemptStatus::kSilent:
      return;
  }
}

double TargetStats::FleetSlowness(Instant now) const {
  return 1.0 + DecayFactor(now - fleet_condition_at_, kConditionHalfLife) *
                   (fleet_condition_.slowness_percent / 100.0 - 1.0);
}

double TargetStats::FleetFailureRate(Instant now) const {
  return DecayFactor(now - fleet_condition_at_, kConditionHalfLife) *
         fleet_condition_.failing_percent / 100.0;
}

double TargetStats::Slowness(Instant now) const {
  const double fleet = FleetSlowness(now);
  const double trust = DecayFactor(now - slowness_at_, kObservationHalfLife);
  return fleet + trust * (slowness_ - fleet);
}

double TargetStats::FailureRate(Instant now) const {
  const double fleet = FleetFailureRate(now);
  const double trust = DecayFactor(now - failure_at_, kObservationHalfLife);
  return fleet + trust * (failure_rate_ - fleet);
}

void TargetStats::ObserveLatency(Instant now,
                                 Duration latency,
                                 SlownessSample sample) {
  sample.slowness = std::min(sample.slowness, kMaxSlowness);
  ++sample_.timed;
  sample_.slowness_percent +=
      static_cast<std::uint32_t>(std::lround(100.0 * sample.slowness));
  const SlownessSample taken =
      FleetSlowness(now) >= kSlowForFleet
          ? sample
          : stall_filter_.Filter(now - latency, now, sample);
  const double mean = Slowness(now);
  slowness_ = mean + taken.weight * (taken.slowness - mean);
  slowness_at_ = now;
}

void TargetStats::ObserveFailure(Instant now, bool failed) {
  const double mean = FailureRate(now);
  failure_rate_ = mean + kFailureWeight * ((failed ? 1.0 : 0.0) - mean);
  failure_at_ = now;
  sample_.failures += failed ? 1 : 0;
}

void TargetStats::OnCondition(Instant now, const TargetCondition& condition) {
  fleet_condition_ = condition;
  fleet_condition_at_ = now;
}

ConditionSample TargetStats::TakeSample() {
  return std::exchange(sample_, {});
}

void TargetStats::OnSlow(Instant now) {
  // Attempts that ran at the same time have met the same pause.
  if (now < stalled_until_) {
    return;
  }
  stalled_until_ = now + kFirstStallPeriod * (1 << stall_doublings_);
  stall_doublings_ = std::min(stall_doublings_ + 1, kMaxStallDoublings);
}

void TargetStats::OnAnswered(const AttemptOutcome& outcome, Duration latency) {
  stalled_until_ = Instant{};
  stall_doublings_ = 0;
  consecutive_failures_ = 0;
  consecutive_ejections_ = 0;
  // A host knows only its own attempts: the queue at the target shows the
  // excess load of all hosts together.
  const bool queue_full = outcome.load && outcome.load->waiting >= slots_;
  const bool queued = queue_full || outcome.queue_time * 2 > latency;
  if (queued) {
    concurrency_limit_ = std::max(1.0, concurrency_limit_ * kLimitCutOnQueue);
  } else {
    concurrency_limit_ =
        std::min(MaxConcurrency(), concurrency_limit_ + kLimitStep);
  }
}

void TargetStats::Eject(Instant now, const GroupPolicy& policy) {
  const int doublings = std::min(consecutive_ejections_, kMaxEjectionDoublings);
  ejected_until_ = now + milliseconds(policy.eject_ms) * (1 << doublings);
  ++consecutive_ejections_;
  consecutive_failures_ = 0;
}

bool TargetStats::HasCapacity(Instant now) const {
  return AcceptsAt(now) <= now &&
         in_flight_ < std::max(1, static_cast<int>(std::min(concurrency_limit_,
                                                            MaxConcurrency())));
}

// The attempts of this host are known exactly; those of other hosts are known
// from the load in answers.
double TargetStats::EstimatedLoad(Instant now) const {
  const double from_answer =
      answer_load_ * DecayFactor(now - answer_load_at_, kAnswerLoadHalfLife);
  return std::max(static_cast<double>(in_flight_), from_answer);
}

bool TargetStats::IsFit(Instant now) const {
  return now >= stalled_until_ && now >= cold_until_ && !WouldQueue(now) &&
         std::max(Slowness(now), FleetSlowness(now)) <= kMaxFitSlowness &&
         FailureRate(now) <= kMaxFitFailureRate;
}

double TargetStats::Score(Instant now,
                          Duration typical_latency,
                          const GroupPolicy& policy) const {
  const auto typical =
      static_cast<double>(std::max<std::int64_t>(1, typical_latency.count()));
  const double latency = typical * Slowness(now);
  const auto slots = static_cast<double>(slots_);
  const double busy = EstimatedLoad(now);
  const double load = 1.0 + kLoadSlope * busy / slots +
                      std::max(0.0, busy + 1.0 - slots) / slots;
  const double announced =
      std::min(1.0, static_cast<double>(announced_queue_) / slots) *
      DecayFactor(now - announced_at_, kAnnouncementHalfLife);
  double penalty = (1.0 + kAnnouncedQueueWeight * announced) *
                   (1.0 + kFailurePenalty * FailureRate(now));
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
