#include <CppUTest/TestHarness.h>

#include <csignal>

#include "process/block_rig.h"

namespace fuchsiaweir::testing {
namespace {

// Recomputing the blocks takes 800 ms. Before the prompt starts, the plan allows at most 100 ms for
// the lookup and 26 ms x 1.25 + 20 ms = 53 ms for fetching all blocks over one link. The remaining
// 150 ms cover the scheduling of the test's processes.
constexpr Duration kMaxPrepareTime = Millis(100 + 53 + 150);

/// Serves the stored prompt at agent 1, which must fetch its blocks from the stores. Checks that
/// the output is correct and that the preparation was not delayed beyond the limit.
ServeResult ServeAndCheck(BlockRig& rig, const ServeResult& first) {
  const ServeResult served = rig.Serve(1, 1);
  STRCMP_EQUAL(first.output.c_str(), served.output.c_str());
  LONGS_EQUAL(served.fetched_tokens, served.cached_tokens);
  LONGS_EQUAL(0, rig.BadImports());
  CHECK(served.prepare < kMaxPrepareTime);
  return served;
}

}  // namespace

TEST_GROUP(KvStoreFaults) {
  BlockRig rig;
  const ServeResult first = rig.Store(1);
};

// Guards against requests that wait for unresponsive stores.
TEST(KvStoreFaults, SilentStoresDelayARequestByNoMoreThanThePlan) {
  rig.InjectStoreFault(R"({"silent":true})");
  LONGS_EQUAL(0, ServeAndCheck(rig, first).fetched_tokens);
  rig.InjectStoreFault(R"({"silent":false})");
}

// Guards against waiting for a fetch that has become slower than recomputing.
TEST(KvStoreFaults, SlowStoresDelayARequestByNoMoreThanThePlan) {
  rig.InjectStoreFault(R"({"bytes_per_second":400000})");
  CHECK(ServeAndCheck(rig, first).fetched_tokens < BlockRig::kChainTokens);
  CHECK(rig.HasMetric(1, "fw_kv_recomputed_blocks_total{reason=\"late\"}"));
  CHECK(rig.HasMetric(1, "fw_kv_wasted_bytes_total"));
}

// Guards against requests that fail or wait because the stores have died.
TEST(KvStoreFaults, DeadStoresAreAMiss) {
  for (const char* store : {"store0", "store1"}) {
    rig.deployment().Signal(store, SIGKILL);
    rig.deployment().Wait(store);
  }
  LONGS_EQUAL(0, ServeAndCheck(rig, first).fetched_tokens);
}

// Guards against relying on the former contents of a replaced store.
TEST(KvStoreFaults, ReplacedStoresAreAMiss) {
  rig.InjectStoreFault(R"({"empty":true})");
  LONGS_EQUAL(0, ServeAndCheck(rig, first).fetched_tokens);
  CHECK(rig.HasMetric(1, "fw_kv_recomputed_blocks_total{reason=\"no_copy\"} 8"));
}

// Guards against importing blocks that were corrupted in a store.
TEST(KvStoreFaults, CorruptBlocksAreAMissAndNotReadAgain) {
  rig.InjectStoreFault(R"({"corrupt":100})");
  LONGS_EQUAL(0, ServeAndCheck(rig, first).fetched_tokens);
  CHECK(rig.HasMetric(1, "fw_kv_failed_checks_total{reason=\"failed_check\",tier=\"store\"}"));
  rig.RunFor(Millis(100));
  CHECK(rig.StoreCounter("frees") > 0);
}

// Guards against using a block that was freed during the read.
TEST(KvStoreFaults, ABlockFreedDuringTheReadIsAMiss) {
  rig.InjectStoreFault(R"({"free_during_read":100})");
  LONGS_EQUAL(0, ServeAndCheck(rig, first).fetched_tokens);
}

// Guards against using a block whose slot was reused for another block during the read.
TEST(KvStoreFaults, ABlockReusedDuringTheReadIsAMiss) {
  rig.InjectStoreFault(R"({"reuse_during_read":100})");
  LONGS_EQUAL(0, ServeAndCheck(rig, first).fetched_tokens);
  CHECK(rig.HasMetric(1, "fw_kv_failed_checks_total{reason=\"gone\",tier=\"store\"}"));
}

// Guards against repeated write-backs to a full store, and against failing the request.
TEST(KvStoreFaults, FullStoresDropWriteBack) {
  rig.InjectStoreFault(R"({"full":true})");
  rig.Serve(0, 2);
  rig.RunFor(Millis(500));
  CHECK(rig.HasMetric(0, "fw_kv_write_back_drops_total{reason=\"full\"}"));
  CHECK(rig.StoreCounter("refused") < BlockRig::kBlocks);
  LONGS_EQUAL(0, rig.Serve(1, 2).fetched_tokens);
}

// Guards against a partially written block that becomes readable, and against a permanent stop of
// write-back when one store dies.
TEST(KvStoreFaults, AStoreThatDiesBetweenReserveAndSealHoldsNothingReadable) {
  const int64_t before = rig.deployment().Stats("store1").at("seals").as_int64();
  rig.deployment().InjectFault("store0", R"({"die_after_reserve":true})");
  rig.Serve(0, 2);
  CHECK(Eventually([&]() {
    rig.RunFor(Millis(100));
    const int64_t sealed = rig.deployment().Stats("store1").at("seals").as_int64();
    return sealed == before + BlockRig::kBlocks;
  }));
  rig.deployment().Restart("store0");
  const ServeResult served = rig.Serve(1, 2);
  LONGS_EQUAL(BlockRig::kChainTokens, served.fetched_tokens);
  LONGS_EQUAL(0, rig.BadImports());
}

}  // namespace fuchsiaweir::testing
