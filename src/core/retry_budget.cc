#include "core/retry_budget.h"

#include <algorithm>

namespace fuchsiaweir {
namespace {

constexpr int64_t kAttemptCost = 100;  // In hundredths of an attempt.

}  // namespace

RetryBudget::RetryBudget(int64_t percent, int64_t burst)
    : percent_(std::max<int64_t>(0, percent)),
      capacity_(std::max<int64_t>(0, burst) * kAttemptCost),
      available_(capacity_) {
  // With a capacity below one attempt, a budget above zero could never grant any.
  if (percent_ > 0) capacity_ = std::max(capacity_, kAttemptCost);
}

void RetryBudget::OnFirstAttempt() { available_ = std::min(capacity_, available_ + percent_); }

bool RetryBudget::TryConsume() {
  if (available_ < kAttemptCost) return false;
  available_ -= kAttemptCost;
  return true;
}

}  // namespace fuchsiaweir
