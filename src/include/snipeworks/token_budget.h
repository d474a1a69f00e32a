#ifndef SNIPEWORKS_TOKEN_BUDGET_H_
#define SNIPEWORKS_TOKEN_BUDGET_H_

#include <algorithm>

namespace snipeworks {

/// Limits extra attempts to a share of primary attempts, at any load.
class TokenBudget {
 public:
  /// Earns `percent` hundredths of a token.
  void OnPrimary(double percent) {
    tokens_ = std::min(kMaxTokens, tokens_ + percent / 100.0);
  }

  /// Takes one token if that leaves `reserve`.
  bool TryTake(double reserve = 0.0) {
    if (tokens_ - 1.0 < reserve) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

  /// From 0, nothing left, to 1, nothing spent for a while.
  double fullness() const { return tokens_ / kMaxTokens; }

 private:
  // Bounds the burst after a quiet time.
  static constexpr double kMaxTokens = 10.0;
  double tokens_ = 0.0;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_TOKEN_BUDGET_H_
