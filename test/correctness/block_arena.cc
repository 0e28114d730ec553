#include "core/block_arena.h"

#include <CppUTest/TestHarness.h>

#include <map>

#include "property.h"

namespace fuchsiaweir {
namespace {

constexpr int64_t kLength = 8;

// Changes one byte in the arena's memory, as a memory fault does. Blocks that are not readable
// stay.
void Corrupt(BlockArena& arena, const BlockId& id, int64_t offset) {
  BlockRead read;
  if (arena.Find(id) == nullptr || arena.BeginRead(id, read) != BlockFault::kNone) return;
  *const_cast<char*>(arena.Peek(read, offset, 1).data()) ^= 1;
}

struct PendingRead {
  BlockId id;
  BlockRead read;
  std::string copy;
};

}  // namespace

TEST_GROUP(BlockArena){};

// Guards against reading a freed, reused, unsealed or corrupted block (invariant 1). Reads copy in
// two halves with arbitrary other operations between the steps. The bytes carry a version, so a
// copy that mixes two lives of a place is noticed.
TEST(BlockArena, ReadsReturnOnlyWhatWasSealed) {
  CheckProperty("a read that succeeds returns the sealed bytes of its id", [] {
    BlockArena arena(2 * kLength);
    std::map<BlockId, std::string> sealed;
    std::map<BlockId, std::pair<BlockHandle, std::string>> writing;
    std::vector<PendingRead> reads;
    char version = 'A';
    const int steps = *rc::gen::inRange(40, 160);
    for (int step = 0; step < steps; ++step) {
      const BlockId id{1, *rc::gen::inRange<uint64_t>(0, 3)};
      switch (*rc::gen::inRange(0, 9)) {
        case 0: {
          const auto handle = arena.Reserve(id, kLength, 1, [](const BlockId&) { return 0.0; });
          for (const BlockId& evicted : arena.TakeRemoved()) sealed.erase(evicted);
          if (handle) writing[id] = {*handle, std::string(kLength, ++version)};
          if (handle) arena.Write(*handle, writing[id].second.substr(kLength / 2));
          break;
        }
        case 1:
          if (writing.count(id)) {
            arena.Write(writing[id].first, writing[id].second.substr(0, kLength / 2));
          }
          break;
        case 2:
          if (writing.count(id) && arena.Seal(writing[id].first)) {
            sealed[id] = writing[id].second;
            writing.erase(id);
          }
          break;
        case 3:
          arena.Free(id);
          sealed.erase(id);  // A writer may keep its handle, which is now stale.
          break;
        case 4:
          Corrupt(arena, id, *rc::gen::inRange<int64_t>(0, kLength));
          if (sealed.count(id)) sealed[id].clear();
          break;
        case 5: {
          PendingRead pending{id, {}, {}};
          const bool readable = arena.BeginRead(id, pending.read) == BlockFault::kNone;
          if (readable) {
            RC_ASSERT(sealed.count(id) == 1);
            pending.copy = std::string(arena.Peek(pending.read, 0, kLength / 2));
            reads.push_back(pending);
          }
          break;
        }
        default: {
          if (reads.empty()) break;
          PendingRead pending = reads.back();
          reads.pop_back();
          pending.copy += arena.Peek(pending.read, kLength / 2, kLength);
          if (arena.FinishRead(pending.read, pending.copy) == BlockFault::kNone) {
            RC_ASSERT(sealed.count(pending.id) == 1);
            // A block corrupted after the copy was taken may still give a good copy.
            if (!sealed[pending.id].empty()) RC_ASSERT(pending.copy == sealed[pending.id]);
            RC_ASSERT(BlockChecksum(pending.id, pending.copy) == pending.read.header.checksum);
          }
        }
      }
      RC_ASSERT(arena.used() <= arena.capacity());
    }
  });
}

// Guards against a copy that is accepted although its place was freed, reused or damaged while the
// copy was under way. Every interleaving of one or two disturbances with the copy is likely.
TEST(BlockArena, DisturbedReadsFail) {
  CheckProperty("a read fails after any disturbance", [] {
    const BlockId id{1, 1};
    BlockArena arena(kLength);
    const auto store = [&arena](const BlockId& stored) {
      const auto handle = arena.Reserve(stored, kLength, 1, [](const BlockId&) { return 0.0; });
      return handle && arena.Write(*handle, "12345678") && arena.Seal(*handle);
    };
    RC_ASSERT(store(id));
    BlockRead read;
    std::string copy;
    RC_ASSERT(arena.BeginRead(id, read) == BlockFault::kNone);
    bool disturbed = false;
    for (int step = 0; step < 3; ++step) {
      if (step == 1) copy += arena.Peek(read, 0, kLength / 2);
      if (step == 2) copy += arena.Peek(read, kLength / 2, kLength);
      const int disturbance = *rc::gen::inRange(0, 6);
      if (disturbance == 1) disturbed |= arena.Free(id);
      if (disturbance == 2) disturbed |= store({1, 2});
      if (disturbance == 3) disturbed |= arena.Free(id) && store(id);
      if (disturbance == 4 && step < 2 && arena.Find(id) != nullptr && !disturbed) {
        Corrupt(arena, id, kLength - 1);
        disturbed = true;
      }
    }
    RC_ASSERT((arena.FinishRead(read, copy) == BlockFault::kNone) == !disturbed);
  });
}

// Guards against a store that answers with another block, a partial or damaged one.
TEST(BlockArena, RemoteBlocksPassTheSameCheck) {
  CheckProperty("any damage to header or bytes is detected", [](uint8_t where) {
    const BlockId id{7, 8};
    std::string bytes = "retained";
    BlockHeader header{id, kLength, BlockChecksum(id, bytes), 1, BlockState::kSealed};
    BlockId wanted = id;
    RC_ASSERT(VerifyBlock(header, wanted, bytes) == BlockFault::kNone);
    BlockFault expected = BlockFault::kCorrupt;
    switch (where % 5) {
      case 0:
        bytes[where % kLength] ^= 1;
        break;
      case 1:
        bytes.pop_back();
        expected = BlockFault::kWrongLength;
        break;
      case 2:
        header.state = BlockState::kReserved;
        expected = BlockFault::kNotSealed;
        break;
      case 3:
        wanted.low ^= 1;
        expected = BlockFault::kOtherBlock;
        break;
      default:
        header.checksum ^= 1;
    }
    RC_ASSERT(VerifyBlock(header, wanted, bytes) == expected);
  });
}

// Guards against a low-value block that displaces a valuable one, and against a corrupt block that
// stays in use.
TEST(BlockArena, EvictsOnlyLowerValuesAndQuarantinesCorruptBlocks) {
  BlockArena arena(2 * kLength);
  const auto value_of = [](const BlockId& id) { return static_cast<double>(id.low); };
  for (const uint64_t low : {5, 3}) {
    const auto handle = arena.Reserve({0, low}, kLength, static_cast<double>(low), value_of);
    CHECK(handle && arena.Write(*handle, "12345678") && arena.Seal(*handle));
  }
  CHECK(!arena.Reserve({0, 2}, kLength, 2, value_of));
  CHECK(!arena.Reserve({0, 4}, 2 * kLength, 4, value_of));  // Would need both; evicts neither.
  CHECK(arena.Find({0, 3}) != nullptr);
  CHECK(arena.Reserve({0, 4}, kLength, 4, value_of).has_value());
  CHECK(arena.Find({0, 3}) == nullptr);

  std::string copy;
  Corrupt(arena, {0, 5}, 0);
  CHECK(arena.Read({0, 5}, copy) == BlockFault::kCorrupt);
  CHECK(arena.Read({0, 5}, copy) == BlockFault::kAbsent);
  LONGS_EQUAL(1, arena.stats().quarantined);
  // The retention policy learns of both losses; otherwise it would count their bytes forever.
  const std::vector<BlockId> lost = arena.TakeRemoved();
  LONGS_EQUAL(2, lost.size());
  CHECK((lost[0] == BlockId{0, 3} && lost[1] == BlockId{0, 5}));
}

}  // namespace fuchsiaweir
