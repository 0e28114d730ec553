#include "core/memory_budget.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <vector>

namespace fuchsiaweir::testing {
namespace {

using Share = MemoryBudget::Share;

constexpr int64_t kLimitBytes = 1'000'000;
constexpr int64_t kSoundBytes = 1'000;
constexpr int64_t kPieceBytes = 50'000;

}  // namespace

TEST_GROUP(MemoryBudgets) {
  MemoryBudget budget{kLimitBytes};
  int evicted = 0;

  std::unique_ptr<Share> MakeShare() {
    return std::make_unique<Share>(budget, [this]() { ++evicted; });
  }
};

// Guards against sound answers that are given up because a faulty runner fills the memory. Replays
// a runner that sends without end on twenty connections, beside a hundred sound answers.
TEST(MemoryBudgets, EndlessMessagesAreEvictedAndSoundOnesAreNot) {
  std::vector<std::unique_ptr<Share>> sound;
  std::vector<std::unique_ptr<Share>> endless;
  for (int i = 0; i < 100; ++i) {
    sound.push_back(MakeShare());
    CHECK(sound.back()->Resize(kSoundBytes));
  }
  for (int i = 0; i < 20; ++i) endless.push_back(MakeShare());
  for (int64_t pieces = 1; pieces <= 30; ++pieces) {
    for (const auto& share : endless) share->Resize(pieces * kPieceBytes);
    CHECK(budget.used_bytes() <= kLimitBytes);
  }
  for (const auto& share : sound) CHECK(share->Resize(2 * kSoundBytes));
  LONGS_EQUAL(20, evicted);
}

// Guards against ready answers that are not delivered: they are kept, and what still arrives is
// evicted, even if it is smaller.
TEST(MemoryBudgets, CompleteMessagesAreKept) {
  const std::unique_ptr<Share> ready = MakeShare();
  CHECK(ready->Resize(kLimitBytes - kPieceBytes));
  ready->Complete();
  const std::unique_ptr<Share> arriving = MakeShare();
  CHECK(arriving->Resize(kPieceBytes));
  CHECK_FALSE(arriving->Resize(kPieceBytes + 1));
  CHECK_FALSE(arriving->Resize(0));
  LONGS_EQUAL(1, evicted);
  CHECK(ready->Resize(kLimitBytes - kPieceBytes));
}

// Guards against a budget that is used up by messages that have ended.
TEST(MemoryBudgets, AnEndedMessageReturnsItsBytes) {
  for (int i = 0; i < 10; ++i) {
    const std::unique_ptr<Share> share = MakeShare();
    CHECK(share->Resize(kLimitBytes));
  }
  LONGS_EQUAL(0, budget.used_bytes());
  LONGS_EQUAL(0, evicted);
}

}  // namespace fuchsiaweir::testing
