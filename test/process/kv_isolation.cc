#include <CppUTest/TestHarness.h>

#include "process/block_rig.h"

namespace fuchsiaweir::testing {

TEST_GROUP(KvIsolation){};

// Guards against using one team's retained blocks for an identical prompt of another team.
TEST(KvIsolation, AnotherTeamsEqualPromptGetsNoFetchedTokens) {
  BlockRig rig;
  rig.Store(1);
  rig.ClearRunnerMemory(0);
  for (int agent = 0; agent < 2; ++agent) {
    const ServeResult other = rig.Serve(agent, 1, "beta");
    LONGS_EQUAL(0, other.fetched_tokens);
    LONGS_EQUAL(0, other.cached_tokens);
  }
  LONGS_EQUAL(BlockRig::kChainTokens, rig.Serve(0, 1).fetched_tokens);
}

// Guards against using blocks that were computed with other weights.
TEST(KvIsolation, NoOldBlockIsUsedAfterAChangeOfTheWeightVersion) {
  BlockRig rig;
  rig.Store(1);
  const auto imports = [&]() { return rig.deployment().Stats("engine0").at("imports").as_int64(); };
  const int64_t before = imports();
  LoadOrder order;
  order.model = "model";
  order.version = "v2";
  order.fence = 1;
  rig.Run([&]() -> Awaitable<void> { co_await rig.engine(0).LoadWeights(order, Seconds(5)); });
  rig.mover(0).OnEngineReset("runner0");
  const std::vector<BlockId> old = rig.Demand(0, 1, "alpha", "v1").chain;
  LONGS_EQUAL(0, rig.mover(0).Residency("runner0", old).resident_blocks);
  const ServeResult changed = rig.Serve(0, 1, "alpha", "v2");
  LONGS_EQUAL(0, changed.fetched_tokens);
  LONGS_EQUAL(0, changed.cached_tokens);
  LONGS_EQUAL(before, imports());
}

}  // namespace fuchsiaweir::testing
