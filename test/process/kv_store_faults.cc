#include <CppUTest/TestHarness.h>

#include <csignal>

#include "process/block_rig.h"

namespace fuchsiaweir::testing {
namespace {

// Recomputing the blocks takes 800 ms. Until the prompt starts, the plan allows at most 100 ms for
// the lookup, and 26 ms x 1.25 + 20 ms for fetching all blocks over one link. The rest covers the
// scheduling of the test's processes.
constexpr Duration kPrepareBound = Millis(100 + 53 + 150);

/// Serves the stored prompt at the agent that has to fetch it from the stores.
Served CheckedServe(BlockRig& rig, const Served& first) {
  const Served served = rig.Serve(1, 1);
  STRCMP_EQUAL(first.output.c_str(), served.output.c_str());
  LONGS_EQUAL(served.fetched_tokens, served.cached_tokens);
  LONGS_EQUAL(0, rig.BadImports());
  CHECK(served.prepare < kPrepareBound);
  return served;
}

}  // namespace

TEST_GROUP(KvStoreFaults) {
  BlockRig rig;
  const Served first = rig.Store(1);
};

// Guards against a request that waits for stores that do not answer.
TEST(KvStoreFaults, SilentStoresDelayARequestByNoMoreThanThePlan) {
  rig.FaultStores(R"({"silent":true})");
  LONGS_EQUAL(0, CheckedServe(rig, first).fetched_tokens);
  rig.FaultStores(R"({"silent":false})");
}

// Guards against waiting for a fetch that has become slower than recomputing.
TEST(KvStoreFaults, SlowStoresDelayARequestByNoMoreThanThePlan) {
  rig.FaultStores(R"({"bytes_per_second":400000})");
  CHECK(CheckedServe(rig, first).fetched_tokens < BlockRig::kBlocks * 50);
  CHECK(rig.HasMetric(1, "fw_kv_recomputed_blocks_total{reason=\"late\"}"));
  CHECK(rig.HasMetric(1, "fw_kv_wasted_bytes_total"));
}

// Guards against an answer that needs a store which has died.
TEST(KvStoreFaults, DeadStoresAreAMiss) {
  for (const char* store : {"store0", "store1"}) {
    rig.deployment().Signal(store, SIGKILL);
    rig.deployment().Wait(store);
  }
  LONGS_EQUAL(0, CheckedServe(rig, first).fetched_tokens);
}

// Guards against belief in the contents of a store that was replaced.
TEST(KvStoreFaults, ReplacedStoresAreAMiss) {
  rig.FaultStores(R"({"empty":true})");
  LONGS_EQUAL(0, CheckedServe(rig, first).fetched_tokens);
  CHECK(rig.HasMetric(1, "fw_kv_recomputed_blocks_total{reason=\"no_copy\"} 8"));
}

// Guards against imports of bytes that changed in a store.
TEST(KvStoreFaults, CorruptBlocksAreAMissAndNotReadAgain) {
  rig.FaultStores(R"({"corrupt":100})");
  LONGS_EQUAL(0, CheckedServe(rig, first).fetched_tokens);
  CHECK(rig.HasMetric(1, "fw_kv_failed_checks_total{reason=\"failed_check\",tier=\"store\"}"));
  rig.RunFor(Millis(100));
  CHECK(rig.StoreStat("frees") > 0);
}

// Guards against use of a block that was freed while it was read.
TEST(KvStoreFaults, ABlockFreedDuringTheReadIsAMiss) {
  rig.FaultStores(R"({"free_during_read":100})");
  LONGS_EQUAL(0, CheckedServe(rig, first).fetched_tokens);
}

// Guards against use of a block whose place was given to another one while it was read.
TEST(KvStoreFaults, ABlockReusedDuringTheReadIsAMiss) {
  rig.FaultStores(R"({"reuse_during_read":100})");
  LONGS_EQUAL(0, CheckedServe(rig, first).fetched_tokens);
  CHECK(rig.HasMetric(1, "fw_kv_failed_checks_total{reason=\"gone\",tier=\"store\"}"));
}

// Guards against write-back that repeats itself against a full store, or fails the request.
TEST(KvStoreFaults, FullStoresDropWriteBack) {
  rig.FaultStores(R"({"full":true})");
  rig.Serve(0, 2);
  rig.RunFor(Millis(500));
  CHECK(rig.HasMetric(0, "fw_kv_write_back_drops_total{reason=\"full\"}"));
  CHECK(rig.StoreStat("refused") < BlockRig::kBlocks);
  LONGS_EQUAL(0, rig.Serve(1, 2).fetched_tokens);
}

// Guards against a partly written block that becomes readable, and against losing write-back for
// good when one store dies.
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
  const Served served = rig.Serve(1, 2);
  LONGS_EQUAL(BlockRig::kBlocks * 50, served.fetched_tokens);
  LONGS_EQUAL(0, rig.BadImports());
}

}  // namespace fuchsiaweir::testing
