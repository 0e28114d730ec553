#include "core/store_health.h"

#include <CppUTest/TestHarness.h>

#include <set>

#include "property.h"

namespace fuchsiaweir {
namespace {

constexpr TimePoint kStart{Seconds(100)};

}  // namespace

TEST_GROUP(StoreHealth){};

// Guards against a store that stays lost for ever, because a kind that failed directly comes by way
// of a relay now and is not asked for directly any more.
TEST(StoreHealth, AKindThatMovedToARelayIsSound) {
  StoreHealth health;
  CHECK(health.OnCall("runners", false) == StoreHealth::Change::kLost);
  CHECK(health.OnCall("peers", false) == StoreHealth::Change::kNone);
  CHECK(health.OnCall("runners", true) == StoreHealth::Change::kNone);
  CHECK(health.OnCall("peers", true) == StoreHealth::Change::kRegained);
  LONGS_EQUAL(0, health.failing_kinds());
}

// Guards against runners that are held as missing by an outage that only this process saw, after it
// reads them from a relay whose store is sound; and against an outage that the relay tells of.
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

// Guards against entries that are given up before they can be back, and against a tail without end.
TEST(StoreHealth, AnOutageHasATail) {
  StoreHealth health;
  health.OnRunnerListReadFailed();
  health.OnRunnerListRead(std::nullopt, kStart);
  health.OnRunnerListRead(std::nullopt, kStart + Seconds(2));
  CHECK(health.runner_outage());
  health.OnRunnerListRead(std::nullopt, kStart + Seconds(3));
  CHECK_FALSE(health.runner_outage());
}

// Guards against losses and returns that are told twice or not at all.
TEST(StoreHealth, LossAndReturnAlternate) {
  CheckProperty("the store is lost exactly while a kind fails", [] {
    StoreHealth health;
    std::set<int> failing;
    bool lost = false;
    const int steps = *rc::gen::inRange(0, 60);
    for (int i = 0; i < steps; ++i) {
      const int kind = *rc::gen::inRange(0, 4);
      const bool sound = *rc::gen::arbitrary<bool>();
      const StoreHealth::Change change = health.OnCall(std::to_string(kind), sound);
      sound ? static_cast<void>(failing.erase(kind)) : static_cast<void>(failing.insert(kind));
      RC_ASSERT((change == StoreHealth::Change::kLost) == (!lost && !failing.empty()));
      RC_ASSERT((change == StoreHealth::Change::kRegained) == (lost && failing.empty()));
      lost = !failing.empty();
    }
  });
}

}  // namespace fuchsiaweir
