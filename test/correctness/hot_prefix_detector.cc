#include "core/hot_prefix_detector.h"

#include <CppUTest/TestHarness.h>

#include "property.h"

namespace fuchsiaweir {
namespace {

/// Sends `rate` requests/s of one prefix for `seconds` and returns the last estimate.
double Send(HotPrefixDetector& hot, const std::string& prefix, int rate, int seconds,
            TimePoint start) {
  double estimate = 0;
  for (int i = 0; i < rate * seconds; ++i) {
    estimate = hot.Record(prefix, start + Micros(1'000'000LL * i / rate));
  }
  return estimate;
}

}  // namespace

TEST_GROUP(HotPrefixDetector){};

// Guards against a sketch that misses a hot prefix or keeps it hot for ever.
TEST(HotPrefixDetector, FollowsTheRate) {
  CheckProperty("estimate within 10% of a steady rate, cold again after 10 half-lives", [] {
    HotPrefixDetector hot({});
    const int rate = *rc::gen::inRange(5, 60);
    const TimePoint start{Seconds(*rc::gen::inRange(0, 1000))};
    const double estimate = Send(hot, "p", rate, 60, start);
    RC_ASSERT(estimate > 0.9 * rate);
    RC_ASSERT(estimate < 1.1 * rate);
    RC_ASSERT(hot.IsHot(estimate));
    RC_ASSERT(!hot.IsHot(hot.Record("p", start + Seconds(160))));
  });
}

// Guards against rare prefixes that look hot because they share counters with others.
TEST(HotPrefixDetector, RarePrefixesStayCold) {
  HotPrefixDetector hot({});
  int hot_count = 0;
  for (int i = 0; i < 100'000; ++i) {
    // 2,900 requests/s, the design peak of the fleet: half of it for 100 hot prefixes.
    const TimePoint now(Micros(345LL * i));
    if (i % 2 == 0) hot.Record("hot" + std::to_string(i / 2 % 100), now);
    if (i % 2 == 1) hot_count += hot.IsHot(hot.Record("p" + std::to_string(i), now)) ? 1 : 0;
  }
  CHECK(hot_count <= 50);
}

// Guards against a candidate set that narrows or grows without bound.
TEST(HotPrefixDetector, WidensTheCandidateSetWithinBounds) {
  CheckProperty("candidates grow with the rate up to the maximum", [] {
    const HotPrefixDetector hot({});
    const size_t base = *rc::gen::inRange<size_t>(2, 5);
    const double rate = *rc::gen::inRange(0, 100'000) / 100.0;
    const size_t candidates = hot.Candidates(rate, base);
    RC_ASSERT(candidates >= base);
    RC_ASSERT(candidates <= 16U);
    RC_ASSERT((candidates > base) == hot.IsHot(rate));
    RC_ASSERT(hot.Candidates(rate + 4, base) >= candidates);
  });
}

}  // namespace fuchsiaweir
