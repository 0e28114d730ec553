#include <CppUTest/TestHarness.h>

#include "process/block_rig.h"

namespace fuchsiaweir::testing {

TEST_GROUP(KvReuse){};

// Guards against recomputing a returning prompt whose blocks were evicted from accelerator
// memory.
TEST(KvReuse, AReturningPromptIsServedWithFetchedTokens) {
  BlockRig rig;
  const ServeResult first = rig.Store(1);
  LONGS_EQUAL(0, first.fetched_tokens);
  LONGS_EQUAL(BlockRig::kBlocks, rig.StoreCounter("seals"));

  rig.ClearRunnerMemory(0);
  const ServeResult from_memory = rig.Serve(0, 1);
  LONGS_EQUAL(BlockRig::kChainTokens, from_memory.fetched_tokens);
  LONGS_EQUAL(BlockRig::kChainTokens, from_memory.cached_tokens);
  LONGS_EQUAL(0, rig.StoreCounter("first_ranges"));

  const ServeResult from_stores = rig.Serve(1, 1);
  LONGS_EQUAL(BlockRig::kChainTokens, from_stores.fetched_tokens);
  LONGS_EQUAL(BlockRig::kChainTokens, from_stores.cached_tokens);
  STRCMP_EQUAL(first.output.c_str(), from_stores.output.c_str());
  LONGS_EQUAL(0, rig.BadImports());
}

// Guards against reading a block more than once for identical prompts that arrive together.
TEST(KvReuse, IdenticalFetchesInFlightAreJoined) {
  BlockRig rig;
  rig.Store(1);
  const BlockDemand demand = rig.Demand(1, 1, "alpha", "v1");
  int64_t fetched = 0;
  int ended = 0;
  for (int i = 0; i < 3; ++i) {
    rig.Start([&]() -> Awaitable<void> {
      const PreparedBlocks prepared = co_await rig.mover(1).Prepare(demand);
      fetched += prepared.fetched_tokens;
      ++ended;
    });
  }
  while (ended < 3) rig.RunFor(Millis(10));
  LONGS_EQUAL(3 * BlockRig::kChainTokens, fetched);
  LONGS_EQUAL(BlockRig::kBlocks, rig.StoreCounter("first_ranges"));
}

}  // namespace fuchsiaweir::testing
