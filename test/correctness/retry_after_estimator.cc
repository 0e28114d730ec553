#include "core/retry_after_estimator.h"

#include <CppUTest/TestHarness.h>

#include "property.h"

namespace fuchsiaweir {

TEST_GROUP(RetryAfterEstimator){};

// Simulates an overload of several seconds with callers that retry once, after retry_after. Guards
// against retries during the same overload: with a fixed delay of 0.3 s, callers refused in the
// first 90% of the overload were refused again.
TEST(RetryAfterEstimator, FewerCallersRetryDuringTheSameOverload) {
  for (const int64_t overload_ms : {1'000, 2'000, 4'000}) {
    RetryAfterEstimator estimator;
    int64_t retries_refused = 0;
    int64_t retries_refused_fixed = 0;
    for (int64_t ms = 0; ms < overload_ms; ms += 10) {
      const Duration retry_after = estimator.OnRefused(TimePoint(Seconds(9) + Millis(ms)));
      retries_refused += ms + ToMillis(retry_after) < overload_ms ? 1 : 0;
      retries_refused_fixed += ms + 300 < overload_ms ? 1 : 0;
    }
    CHECK(retries_refused * 4 <= retries_refused_fixed * 3);
  }
}

// Guards against a long delay after a single refusal, and against one that no caller waits for.
TEST(RetryAfterEstimator, DelaysStayWithinBounds) {
  CheckProperty("every time is offered within the bounds", [] {
    RetryAfterEstimator estimator;
    TimePoint now{Seconds(1)};
    const int steps = *rc::gen::inRange(1, 50);
    for (int i = 0; i < steps; ++i) {
      const int64_t pause = *rc::gen::inRange(0, 1500);
      now += Millis(pause);
      const Duration retry_after = estimator.OnRefused(now);
      RC_ASSERT(retry_after >= Millis(300));
      RC_ASSERT(retry_after <= Seconds(3));
      if (pause > 700) RC_ASSERT(retry_after == Millis(300));
    }
  });
}

}  // namespace fuchsiaweir
