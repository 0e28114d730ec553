#ifndef FUCHSIAWEIR_CORE_RETRY_BUDGET_H_
#define FUCHSIAWEIR_CORE_RETRY_BUDGET_H_

#include <cstdint>

namespace fuchsiaweir {

/// Token bucket that limits retries and hedged requests to a percentage of the first attempts plus
/// a fixed burst.
class RetryBudget {
 public:
  /// The bucket holds up to `burst` extra attempts and is full at the start.
  RetryBudget(int64_t percent, int64_t burst);

  void OnFirstAttempt();

  /// Consumes one extra attempt. Returns false if the budget is exhausted.
  bool TryConsume();

 private:
  int64_t percent_;
  int64_t capacity_;  ///< In hundredths of an attempt, like `available_`.
  int64_t available_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_RETRY_BUDGET_H_
