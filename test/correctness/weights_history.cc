#include "core/weights_history.h"

#include <CppUTest/TestHarness.h>

#include "property.h"

namespace fuchsiaweir {

TEST_GROUP(WeightsHistory){};

// Guards against requests that start on weights past their deadline. This happens if only the time
// of the newest version is kept: naming version 3 before version 2 is loaded restarts the deadline
// for replacing version 1 (kca-weir, incident inc-d768).
TEST(WeightsHistory, ANewerVersionDoesNotExtendTheDeadlineOfAnOlderOne) {
  WeightsHistory history;
  const TimePoint start{Seconds(100)};
  history.Name(1, start - Seconds(60));
  history.Name(2, start);
  history.Name(3, start + Seconds(9));
  LONGS_EQUAL(1, history.RequiredVersion(Seconds(10), start + Seconds(9)));
  LONGS_EQUAL(2, history.RequiredVersion(Seconds(10), start + Seconds(10)));
  LONGS_EQUAL(3, history.RequiredVersion(Seconds(10), start + Seconds(19)));
  CHECK(history.VersionLag(1, start + Seconds(12)) == Seconds(12));
  CHECK(history.VersionLag(2, start + Seconds(12)) == Seconds(3));
  CHECK(history.VersionLag(3, start + Seconds(12)) == Duration{0});
}

// Guards against weights that a restarted process uses past their deadline: the store shows only
// the newest version, and earlier versions may have been named long ago. A time received from a
// peer replaces the assumed one.
TEST(WeightsHistory, AKnownTimeReplacesAnAssumedOne) {
  WeightsHistory history;
  const TimePoint now{Seconds(100)};
  history.NameWithAssumedTime(3, now - Seconds(7));
  LONGS_EQUAL(3, history.RequiredVersion(Seconds(5), now));
  history.Name(3, now - Seconds(2));
  LONGS_EQUAL(0, history.RequiredVersion(Seconds(5), now));
  history.Name(3, now - Seconds(1));
  CHECK(history.VersionLag(2, now) == Seconds(2));
}

// Guards against a required version that decreases or that ignores an expired deadline.
TEST(WeightsHistory, TheRequiredVersionNeverDecreases) {
  CheckProperty("every version is required from its deadline on", [] {
    WeightsHistory history;
    std::map<int64_t, TimePoint> model;
    TimePoint now{Seconds(1)};
    int64_t version = 0;
    int64_t required = 0;
    const int steps = *rc::gen::inRange(1, 40);
    for (int i = 0; i < steps; ++i) {
      now += Millis(*rc::gen::inRange(0, 6000));
      if (*rc::gen::arbitrary<bool>()) {
        version += *rc::gen::inRange(1, 4);
        RC_ASSERT(history.Name(version, now));
        model[version] = now;
      }
      const int64_t before = required;
      required = history.RequiredVersion(Seconds(10), now);
      RC_ASSERT(required >= before);
      for (const auto& [named, at] : model) {
        if (now - at >= Seconds(10)) RC_ASSERT(required >= named);
      }
    }
  });
}

}  // namespace fuchsiaweir
