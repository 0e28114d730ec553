#include <CppUTest/TestHarness.h>

#include "net/kv_store_client.h"
#include "process/block_rig.h"

namespace fuchsiaweir::testing {
namespace {

constexpr Duration kTimeout = Seconds(5);
const BlockId kId{1, 2};
const std::string kBytes(10'000, 'k');

}  // namespace

TEST_GROUP(KvStoreProtocol) {
  BlockRig rig;
  std::unique_ptr<KvStoreClient> store = MakeHttpKvStoreClient(
      rig.client(), {"127.0.0.1", static_cast<uint16_t>(rig.deployment().port("store0"))});
};

// Guards against a block that is readable before it is complete, or under another generation.
TEST(KvStoreProtocol, OnlyACompleteBlockBecomesReadable) {
  rig.Run([&]() -> Awaitable<void> {
    const StoreCall reserved = co_await store->Reserve(kId, 10'000, kTimeout);
    CHECK(reserved.done());
    const uint64_t generation = reserved.generation;
    const StoreCall again = co_await store->Reserve(kId, 10'000, kTimeout);
    CHECK(again.refusal == StoreRefusal::kPresent);
    std::string half = kBytes.substr(0, 5'000);
    CHECK((co_await store->Write(kId, generation, 0, half, kTimeout)).done());
    BlockHeader header{kId, 10'000, BlockChecksum(kId, kBytes), generation, BlockState::kSealed};
    CHECK_FALSE((co_await store->Seal(header, kTimeout)).done());
    std::vector<BlockId> ids(2);
    ids[0] = {9, 9};
    ids[1] = kId;
    const StoreLookup early = co_await store->Lookup(ids, kTimeout);
    CHECK_FALSE(early.headers.at(0).has_value());
    CHECK(early.headers.at(1)->state != BlockState::kSealed);

    CHECK((co_await store->Write(kId, generation, 5'000, half, kTimeout)).done());
    CHECK((co_await store->Seal(header, kTimeout)).done());
    const StoreLookup sealed = co_await store->Lookup(ids, kTimeout);
    CHECK(*sealed.headers.at(1) == header);
    const StoreRange range = co_await store->Read(kId, 9'000, 5'000, kTimeout);
    CHECK(range.header == header);
    LONGS_EQUAL(1'000, range.bytes.size());

    const StoreCall other = co_await store->Free(kId, generation + 1, kTimeout);
    CHECK(other.refusal == StoreRefusal::kAbsent);
    CHECK((co_await store->Free(kId, generation, kTimeout)).done());
    CHECK_FALSE((co_await store->Read(kId, 0, 10, kTimeout)).found);
  });
}

// Guards against reporting a definite outcome for a change that got no response.
TEST(KvStoreProtocol, ACallWithoutAnAnswerIsUnknown) {
  rig.deployment().InjectFault("store0", R"({"down":true})");
  const std::vector<BlockId> ids(1, kId);
  rig.Run([&]() -> Awaitable<void> {
    const StoreCall call = co_await store->Reserve(kId, 10, kTimeout);
    CHECK(call.outcome == CallOutcome::kUnknown);
    const StoreLookup lookup = co_await store->Lookup(ids, kTimeout);
    CHECK(lookup.outcome == CallOutcome::kNotDone);
  });
  rig.deployment().Restart("store0");
}

}  // namespace fuchsiaweir::testing
