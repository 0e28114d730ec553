#include "core/block_assembly.h"

#include <CppUTest/TestHarness.h>

#include "property.h"

namespace fuchsiaweir {

TEST_GROUP(BlockAssembly){};

// Guards against using bytes that were freed, reused, truncated or changed at any time during a
// read.
TEST(BlockAssembly, YieldsTheBlockOnlyWhenNothingChangedDuringTheRead) {
  CheckProperty("no changed byte or header passes", [] {
    const BlockId id{1, 2};
    std::string bytes(*rc::gen::inRange<size_t>(1, 300), 'a');
    for (char& c : bytes) c = *rc::gen::arbitrary<char>();
    const auto length = static_cast<int64_t>(bytes.size());
    const BlockHeader header{id, length, BlockChecksum(id, bytes), 7, BlockState::kSealed};
    const int ranges = static_cast<int>((length + 63) / 64);
    const int fault = *rc::gen::inRange(0, 7);  // 0 changes nothing.
    const int moment = *rc::gen::inRange(0, ranges + 1);
    BlockAssembly assembly(id, header, 1000);
    for (int i = 0; i <= ranges; ++i) {
      BlockHeader seen = header;
      std::string part = i < ranges ? bytes.substr(static_cast<size_t>(i) * 64, 64) : "";
      if (i == moment) {
        if (fault == 1) ++seen.generation;
        if (fault == 2) seen.state = BlockState::kFree;
        if (fault == 3) seen.id.low = 3;
        if (fault == 4) ++seen.checksum;
        if (fault == 5 && !part.empty()) part.front() ^= 1;
        if (fault == 6 && !part.empty()) part.pop_back();
      }
      if (i < ranges) {
        assembly.Append(seen, part);
        continue;
      }
      std::string out;
      const bool good = assembly.Finish(seen, out) == BlockFault::kNone;
      const bool unchanged = fault == 0 || (fault >= 5 && moment == ranges);
      RC_ASSERT(good == unchanged);
      RC_ASSERT(out == (good ? bytes : std::string()));
    }
  });
}

// Guards against unbounded memory use when a store announces or sends too many bytes.
TEST(BlockAssembly, RefusesMoreBytesThanTheBound) {
  const BlockId id{1, 2};
  const BlockHeader large{id, 1001, 0, 7, BlockState::kSealed};
  CHECK(BlockAssembly(id, large, 1000).fault() == BlockFault::kWrongLength);
  const BlockHeader small{id, 10, 0, 7, BlockState::kSealed};
  BlockAssembly assembly(id, small, 1000);
  CHECK(assembly.Append(small, std::string(11, 'x')) == BlockFault::kWrongLength);
  LONGS_EQUAL(0, assembly.received());
}

}  // namespace fuchsiaweir
