#ifndef SNIPEWORKS_DECAYED_RATE_H_
#define SNIPEWORKS_DECAYED_RATE_H_

#include <cmath>

#include "snipeworks/clock.h"

namespace snipeworks {

/// The recent rate of an event, with exponential decay.
class DecayedRate {
 public:
  void Add(Instant now) {
    Decay(now);
    weight_ += 1.0;
  }

  /// Events per second.
  double PerSecond(Instant now) const {
    return weight_ * DecayFactor(now) / Seconds(kTimeConstant);
  }

 private:
  static constexpr Duration kTimeConstant = std::chrono::milliseconds(500);

  static double Seconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
  }
  double DecayFactor(Instant now) const {
    return std::exp(-Seconds(now - updated_) / Seconds(kTimeConstant));
  }
  void Decay(Instant now) {
    weight_ *= DecayFactor(now);
    updated_ = now;
  }

  double weight_ = 0.0;
  Instant updated_{};
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_DECAYED_RATE_H_
