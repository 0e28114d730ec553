#include "core/recent_maximum.h"

#include <CppUTest/TestHarness.h>

namespace fuchsiaweir::testing {

TEST_GROUP(RecentMaximums) {
  RecentMaximum maximum{Seconds(10)};
  TimePoint start = TimePoint{} + Seconds(1'000);
};

// Guards against a stopping gateway that forgets how long requests take, or never forgets one slow
// request.
TEST(RecentMaximums, CoversOneToTwoWindows) {
  CHECK(maximum.Longest(start) == Duration{0});
  maximum.Add(Millis(300), start);
  maximum.Add(Millis(100), start + Seconds(5));
  CHECK(maximum.Longest(start + Seconds(9)) == Millis(300));
  maximum.Add(Millis(200), start + Seconds(12));
  CHECK(maximum.Longest(start + Seconds(12)) == Millis(300));
  maximum.Add(Millis(50), start + Seconds(23));
  CHECK(maximum.Longest(start + Seconds(24)) == Millis(200));
  CHECK(maximum.Longest(start + Seconds(34)) == Millis(50));
  CHECK(maximum.Longest(start + Seconds(60)) == Duration{0});
}

}  // namespace fuchsiaweir::testing
