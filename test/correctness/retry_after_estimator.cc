#include "core/retry_after_estimator.h"

#include <CppUTest/TestHarness.h>

#include "property.h"

namespace fuchsiaweir {

TEST_GROUP(RetryAfterEstimator){};

// Replays a service that is full for some seconds, with callers who return once, when they are told
// to. Guards against callers who are sent back into the same state: with the former fixed 0.3 s,
// who was refused in the first 90 in 100 of the spell was refused again.
TEST(RetryAfterEstimator, FewerReturnIntoTheSameSpell) {
  for (const int64_t spell_ms : {1'000, 2'000, 4'000}) {
    RetryAfterEstimator pace;
    int64_t again = 0;
    int64_t again_fixed = 0;
    for (int64_t ms = 0; ms < spell_ms; ms += 10) {
      const Duration retry_after = pace.OnRefused(TimePoint(Seconds(9) + Millis(ms)));
      again += ms + ToMillis(retry_after) < spell_ms ? 1 : 0;
      again_fixed += ms + 300 < spell_ms ? 1 : 0;
    }
    CHECK(again * 4 <= again_fixed * 3);
  }
}

// Guards against a long time for a refusal that stands alone, and against one that a caller cannot
// keep.
TEST(RetryAfterEstimator, TimesStayWithinBounds) {
  CheckProperty("every time is offered within the bounds", [] {
    RetryAfterEstimator pace;
    TimePoint now{Seconds(1)};
    const int steps = *rc::gen::inRange(1, 50);
    for (int i = 0; i < steps; ++i) {
      const int64_t pause = *rc::gen::inRange(0, 1500);
      now += Millis(pause);
      const Duration retry_after = pace.OnRefused(now);
      RC_ASSERT(retry_after >= Millis(300));
      RC_ASSERT(retry_after <= Seconds(3));
      if (pause > 700) RC_ASSERT(retry_after == Millis(300));
    }
  });
}

}  // namespace fuchsiaweir
