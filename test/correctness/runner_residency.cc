#include "core/runner_residency.h"

#include <CppUTest/TestHarness.h>

namespace fuchsiaweir {
namespace {

const TimePoint kStart{Seconds(100)};
const std::vector<BlockId> kChain = {{1, 1}, {1, 2}, {1, 3}};

}  // namespace

TEST_GROUP(RunnerResidency){};

// Guards against blocks that count as resident although their eviction was lost in an event gap.
TEST(RunnerResidency, EventGapClearsEarlierBlocks) {
  RunnerResidency residency(10);
  residency.Apply(false, kChain, {}, kStart);
  LONGS_EQUAL(3, residency.LeadingBlocks(kChain));
  residency.Apply(true, {kChain[0]}, {}, kStart);
  LONGS_EQUAL(1, residency.LeadingBlocks(kChain));
  residency.Apply(false, {kChain[1]}, {kChain[0]}, kStart);
  LONGS_EQUAL(0, residency.LeadingBlocks(kChain));
}

// Guards against late events that add blocks from before a restart of the engine.
TEST(RunnerResidency, AResetIgnoresLateAdditions) {
  RunnerResidency residency(10);
  residency.Apply(false, kChain, {}, kStart);
  residency.Reset(kStart);
  residency.Apply(false, kChain, {}, kStart + Millis(300));
  LONGS_EQUAL(0, residency.LeadingBlocks(kChain));
  residency.Add(kChain[0]);
  residency.Apply(false, kChain, {}, kStart + Seconds(2));
  LONGS_EQUAL(3, residency.LeadingBlocks(kChain));
}

// Guards against unbounded memory use as the number of distinct blocks grows.
TEST(RunnerResidency, TracksABoundedNumberOfBlocks) {
  RunnerResidency residency(10);
  for (uint64_t i = 0; i < 1000; ++i) residency.Add({2, i});
  LONGS_EQUAL(10, residency.size());
  LONGS_EQUAL(1, residency.LeadingBlocks({{2, 999}}));
}

}  // namespace fuchsiaweir
