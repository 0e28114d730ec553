#ifndef FUCHSIAWEIR_CORE_RETRY_BUDGET_H_
#define FUCHSIAWEIR_CORE_RETRY_BUDGET_H_

#include <cstdint>

namespace fuchsiaweir {

/// Token bucket that first attempts fill and that retries and hedged requests empty, so that both
/// together stay below a percentage of the first attempts plus a fixed burst.
class RetryBudget {
 public:
  /// `burst` extra attempts are available at the start and saved at most.
  RetryBudget(int64_t percent, int64_t burst);

  void OnFirstAttempt();

  /// Takes one extra attempt. Returns false when the budget is spent.
  bool TryConsume();

 private:
  int64_t percent_;
  int64_t capacity_;  ///< In hundredths of an attempt, like `available_`.
  int64_t available_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_RETRY_BUDGET_H_
