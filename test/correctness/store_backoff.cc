#include "core/store_backoff.h"

#include <CppUTest/TestHarness.h>

namespace fuchsiaweir {
namespace {

constexpr TimePoint kStart{Seconds(100)};
constexpr Duration kStep = Millis(50);

}  // namespace

TEST_GROUP(StoreBackoff){};

// Guards against a rejected process that calls the store several times a second for as long as it
// is rejected.
TEST(StoreBackoff, ARejectedProcessCallsAboutOnceASecond) {
  StoreBackoff backoff;
  int calls = 0;
  for (TimePoint now = kStart; now < kStart + Seconds(9); now += kStep) {
    if (backoff.Active(now)) continue;
    ++calls;
    backoff.OnRejected(now);
  }
  CHECK(calls >= 8);
  CHECK(calls <= 12);
}

// Guards against kinds of objects that fail together and so lengthen the period many times at once.
TEST(StoreBackoff, FailuresWithinAPeriodCountOnce) {
  StoreBackoff backoff;
  for (int kind = 0; kind < 5; ++kind) backoff.OnRejected(kStart);
  CHECK(backoff.Active(kStart + Millis(100)));
  CHECK_FALSE(backoff.Active(kStart + Millis(200)));
}

// Guards against a process that avoids the store after it has been accepted again.
TEST(StoreBackoff, AnExecutedCallEndsTheBackoff) {
  StoreBackoff backoff;
  backoff.OnRejected(kStart);
  backoff.OnExecuted();
  CHECK_FALSE(backoff.Active(kStart));
}

}  // namespace fuchsiaweir
