#ifndef SNIPEWORKS_RANDOM_H_
#define SNIPEWORKS_RANDOM_H_

#include <cstddef>
#include <cstdint>
#include <random>

namespace snipeworks {

/// Random number generator that is passed to the decision logic, so that a run
/// can be reproduced from its seed.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  /// A uniform integer from 0 to `bound` - 1; `bound` must be at least 1.
  std::size_t Below(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(engine_);
  }

  /// A uniform real number in [0, 1).
  double Unit() { return std::uniform_real_distribution<>(0.0, 1.0)(engine_); }

  /// A uniform 64-bit integer.
  std::uint64_t Next() { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_RANDOM_H_
