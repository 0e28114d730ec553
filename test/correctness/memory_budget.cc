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
    return std::make_unique<Share>(budget, MemoryUse::kAnswer, [this]() { ++evicted; });
  }
};

// Guards against sound answers that are given up because a faulty runner fills the memory. Replays
// a runner that sends without end on twenty connections, beside a hundred sound answers.
TEST(MemoryBudgets, EndlessMessagesAreEvictedAndSoundOnesAreNot) {
  std::vector<std::unique_ptr<Share>> sound;
  std::vector<std::unique_ptr<Share>> endless;
  sound.reserve(100);
  endless.reserve(20);
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

// Guards against clients that fill the memory and then neither send nor read. Replays ten that stop
// just short of the end of a body and ten that do not read an answer, beside a slow sender and a
// slow reader within the minimum rate: only the twenty give way, the oldest first.
TEST(MemoryBudgets, MessagesWithoutProgressGiveWayFirst) {
  budget.SetMinProgress(1'000, Seconds(4));
  TimePoint now{Seconds(100)};
  std::vector<std::unique_ptr<Share>> stalled;
  stalled.reserve(20);
  for (int i = 0; i < 20; ++i) {
    stalled.push_back(MakeShare());
    CHECK(stalled.back()->Resize(40'000));
    if (i % 2 == 0) stalled.back()->SetPhase(MemoryBudget::Phase::kDelivering);
    budget.Advance(now += Millis(10));
  }
  const std::unique_ptr<Share> sender = MakeShare();
  const std::unique_ptr<Share> reader = MakeShare();
  CHECK(reader->Resize(100'000));
  reader->SetPhase(MemoryBudget::Phase::kDelivering);
  CHECK_FALSE(budget.EvictStalled());
  for (int64_t second = 1; second <= 10; ++second) {
    CHECK(sender->Resize(second * 1'000));
    reader->AddProgress(1'000);
    budget.Advance(now += Seconds(1));
  }
  const std::unique_ptr<Share> large = MakeShare();
  CHECK(large->Resize(90'000 + 40'000));
  LONGS_EQUAL(1, evicted);
  CHECK(stalled.front()->evicted());
  while (budget.EvictStalled()) {
  }
  LONGS_EQUAL(20, evicted);
  LONGS_EQUAL(20, budget.stalled_evictions());
  CHECK_FALSE(sender->evicted());
  CHECK_FALSE(reader->evicted());
}

// Guards against a request's body that gives up its room before its answer has claimed it.
TEST(MemoryBudgets, AnExpectedAnswerClaimsItsRoom) {
  const std::unique_ptr<Share> answer = MakeShare();
  answer->Expect(400'000);
  LONGS_EQUAL(400'000, budget.claimed_bytes());
  CHECK(answer->Resize(100'000));
  LONGS_EQUAL(400'000, budget.claimed_bytes());
  answer->Complete();
  LONGS_EQUAL(100'000, budget.claimed_bytes());
}

// Guards against uses beside messages that the limit does not cover: connections make messages
// give way, and a process that occupies much at rest leaves less for them.
TEST(MemoryBudgets, AllUsesShareOneLimit) {
  const std::unique_ptr<Share> body = MakeShare();
  CHECK(body->Resize(600'000));
  budget.AddFixed(MemoryUse::kConnection, 500'000);
  CHECK(body->evicted());
  LONGS_EQUAL(500'000, budget.claimed_bytes());
  LONGS_EQUAL(57'200'000, MessageMemoryBytes(96'000'000, 10'000'000));
  LONGS_EQUAL(24'000'000, MessageMemoryBytes(96'000'000, 90'000'000));
}

}  // namespace fuchsiaweir::testing
