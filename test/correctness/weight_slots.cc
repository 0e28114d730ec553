#include "core/weight_slots.h"

#include <CppUTest/TestHarness.h>

#include <array>

#include "choices.h"
#include "property.h"

namespace fuchsiaweir {

TEST_GROUP(WeightSlots){};

// Guards against a third concurrent load through stale copies, paused holders or clock error.
TEST(WeightSlots, NeverMoreThanTwoLoads) {
  int loads = 0;
  CheckProperty("at most two loads", [&](uint32_t seed) {
    Choices choices(seed);
    const WeightSlotRules rules;
    WeightSlots object;
    std::array<WeightSlots, 5> copies;  // What each agent wrote last.
    std::array<int64_t, 5> clock_error;
    for (int64_t& error : clock_error) error = choices.Below(2'000);
    int64_t now = 1'000'000;
    for (int step = 0; step < 100; ++step) {
      now += choices.Below(10'000);
      const int taker = choices.Below(5);
      const std::string name = std::to_string(taker);
      WeightSlots changed = object;
      if (choices.OneIn(8)) {
        ReleaseWeightSlot(changed, name);
        object = copies[taker] = changed;
      } else if (AcquireWeightSlot(changed, name, rules, now + clock_error[taker])) {
        object = copies[taker] = changed;
      }
      int loading = 0;
      for (int i = 0; i < 5; ++i) {
        if (HoldsWeightSlot(copies[i], std::to_string(i), now + clock_error[i])) ++loading;
      }
      RC_ASSERT(loading <= 2);
      loads += loading;
    }
  });
  CHECK(loads > 200);
}

}  // namespace fuchsiaweir
