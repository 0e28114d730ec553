#include "core/store_health.h"

#include <CppUTest/TestHarness.h>

#include <set>

#include "property.h"

namespace fuchsiaweir {
namespace {

constexpr TimePoint kStart{Seconds(100)};

}  // namespace

TEST_GROUP(StoreHealth){};

// Guards against a store that is reported lost for ever because a kind whose direct call failed is
// now read through a relay and never requested directly again.
TEST(StoreHealth, AKindReadThroughARelayCountsAsReachable) {
  StoreHealth health;
  CHECK(health.OnCall("runners", false) == StoreHealth::Change::kUnavailable);
  CHECK(health.OnCall("peers", false) == StoreHealth::Change::kNone);
  CHECK(health.OnCall("runners", true) == StoreHealth::Change::kNone);
  CHECK(health.OnCall("peers", true) == StoreHealth::Change::kAvailable);
  LONGS_EQUAL(0, health.failing_kinds());
}

// Guards against a process that, after it switched to a relay with a working store, still assumes
// the outage that only it saw, and against one that ignores an outage reported by the relay.
TEST(StoreHealth, TheOutageIsThatOfTheLastReader) {
  StoreHealth health;
  health.OnRunnerListRead(std::nullopt, kStart);
  CHECK_FALSE(health.runner_outage());
  health.OnRunnerListReadFailed();
  health.OnRunnerListRead(std::nullopt, kStart + Seconds(1));
  CHECK(health.runner_outage());
  health.OnRunnerListRead(false, kStart + Seconds(2));
  CHECK_FALSE(health.runner_outage());
  health.OnRunnerListRead(true, kStart + Seconds(3));
  CHECK(health.runner_outage());
}

// Guards against runners that are removed after an outage before they can register again, and
// against a grace period that never ends.
TEST(StoreHealth, AnOutageIsFollowedByAGracePeriod) {
  StoreHealth health;
  health.OnRunnerListReadFailed();
  health.OnRunnerListRead(std::nullopt, kStart);
  health.OnRunnerListRead(std::nullopt, kStart + Seconds(2));
  CHECK(health.runner_outage());
  health.OnRunnerListRead(std::nullopt, kStart + Seconds(3));
  CHECK_FALSE(health.runner_outage());
}

// Guards against losses and recoveries that are reported twice or not at all.
TEST(StoreHealth, LossAndReturnAlternate) {
  CheckProperty("the store is lost exactly while a kind fails", [] {
    StoreHealth health;
    std::set<int> failing;
    bool lost = false;
    const int steps = *rc::gen::inRange(0, 60);
    for (int i = 0; i < steps; ++i) {
      const int kind = *rc::gen::inRange(0, 4);
      const bool succeeded = *rc::gen::arbitrary<bool>();
      const StoreHealth::Change change = health.OnCall(std::to_string(kind), succeeded);
      succeeded ? static_cast<void>(failing.erase(kind)) : static_cast<void>(failing.insert(kind));
      RC_ASSERT((change == StoreHealth::Change::kUnavailable) == (!lost && !failing.empty()));
      RC_ASSERT((change == StoreHealth::Change::kAvailable) == (lost && failing.empty()));
      lost = !failing.empty();
    }
  });
}

}  // namespace fuchsiaweir
