#include "core/retry_budget.h"

#include <CppUTest/TestHarness.h>

#include <vector>

#include "property.h"

namespace fuchsiaweir {

TEST_GROUP(RetryBudget){};

// Guards against retries that multiply the load while the targets fail.
TEST(RetryBudget, IsNeverExceeded) {
  CheckProperty("in every window extra attempts <= burst + percent of first attempts", [] {
    const int64_t percent = *rc::gen::inRange(0, 101);
    const int64_t burst = *rc::gen::inRange(0, 5);
    RetryBudget budget(percent, burst);
    const bool any = percent > 0 || burst > 0;
    const int64_t saved = any ? std::max<int64_t>(1, burst) : 0;
    // Largest value of (100 x taken - percent x first) over the windows that end here.
    int64_t excess = 0;
    for (const bool first :
         *rc::gen::container<std::vector<bool>>(500, rc::gen::arbitrary<bool>())) {
      if (first) {
        budget.OnFirstAttempt();
        excess = std::max<int64_t>(0, excess - percent);
      } else if (budget.TryConsume()) {
        excess += 100;
      }
      RC_ASSERT(excess <= 100 * saved);
    }
  });
}

// Guards against a budget that grants nothing.
TEST(RetryBudget, GrantsItsPercentage) {
  RetryBudget budget(10, 0);
  int taken = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstAttempt();
    taken += budget.TryConsume() ? 1 : 0;
  }
  LONGS_EQUAL(100, taken);
}

}  // namespace fuchsiaweir
