#include "core/retry_budget.h"

#include <algorithm>

namespace fuchsiaweir {
namespace {

constexpr int64_t kAttempt = 100;  // Percent of a first attempt.

}  // namespace

RetryBudget::RetryBudget(int64_t percent, int64_t burst)
    : percent_(std::max<int64_t>(0, percent)),
      capacity_(std::max<int64_t>(0, burst) * kAttempt),
      available_(capacity_) {
  // Without room for one attempt, a budget above zero could never grant any.
  if (percent_ > 0) capacity_ = std::max(capacity_, kAttempt);
}

void RetryBudget::OnFirstAttempt() { available_ = std::min(capacity_, available_ + percent_); }

bool RetryBudget::TryConsume() {
  if (available_ < kAttempt) return false;
  available_ -= kAttempt;
  return true;
}

}  // namespace fuchsiaweir
