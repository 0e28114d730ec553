#include "core/read_pace.h"

#include <CppUTest/TestHarness.h>

namespace fuchsiaweir::testing {
namespace {

constexpr Duration kInstant = Micros(300);

EndedRead StoreRead(Duration took, Duration delay = Duration{0}) {
  EndedRead read;
  read.current = true;
  read.took = took;
  read.delay = delay;
  return read;
}

EndedRead RelayRead(Duration took, bool relayed) {
  EndedRead read = StoreRead(took, Millis(400));
  read.from_relay = true;
  read.relayed = relayed;
  return read;
}

/// Returns the reads that begin in a second if each is like this one.
int64_t ReadsPerSecond(const EndedRead& read) {
  return Seconds(1).count() / (read.took + NextReadPause(read)).count();
}

}  // namespace

TEST_GROUP(ReadPace){};

// Guards against loops without a pause: of gateways that have lost the store and answer each other
// at once, and of a store that answers each watch with 410.
TEST(ReadPace, ReadsThatEndAtOnceArePaced) {
  CHECK(ReadsPerSecond(StoreRead(kInstant)) <= 10);
  CHECK(ReadsPerSecond(RelayRead(kInstant, /*relayed=*/true)) <= 10);
  CHECK(ReadsPerSecond(RelayRead(kInstant, /*relayed=*/false)) <= 10);
}

// Guards against a change that waits for the next read although the one before has lasted long.
TEST(ReadPace, AReadThatHasWaitedIsFollowedAtOnce) {
  LONGS_EQUAL(0, NextReadPause(StoreRead(Millis(900))).count());
  LONGS_EQUAL(0, NextReadPause(RelayRead(Millis(700), /*relayed=*/false)).count());
  LONGS_EQUAL(Millis(400).count(), NextReadPause(StoreRead(Millis(900), Millis(400))).count());
}

}  // namespace fuchsiaweir::testing
