#ifndef SNIPEWORKS_RANDOM_H_
#define SNIPEWORKS_RANDOM_H_

#include <cstddef>
#include <cstdint>
#include <random>

namespace snipeworks {

/// The random source that decision classes are given, so that a run can be
/// repeated from its seed.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  /// A whole number from 0 to `bound` - 1; `bound` must be at least 1.
  std::size_t Below(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(engine_);
  }

  /// A number from 0 up to but not including 1.
  double Unit() { return std::uniform_real_distribution<>(0.0, 1.0)(engine_); }

  /// Any 64-bit number.
  std::uint64_t Next() { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_RANDOM_H_
