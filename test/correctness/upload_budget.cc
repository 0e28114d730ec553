#include "core/upload_budget.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <list>
#include <memory>
#include <vector>

namespace fuchsiaweir::testing {
namespace {

using Upload = UploadBudget::Upload;

constexpr int64_t kLimitBytes = 60'000'000;
constexpr int64_t kLargeBytes = 4'000'000;
constexpr int64_t kSmallBytes = 12'000;
constexpr int64_t kPieces = 20;
constexpr Duration kPieceTime = Millis(250);

}  // namespace

TEST_GROUP(UploadBudgets) {
  MemoryBudget memory{kLimitBytes};
  UploadBudget budget{memory};
  std::list<Upload> uploads;
  TimePoint now{Seconds(100)};

  Upload& Begin(int64_t bytes) {
    Upload& upload = uploads.emplace_back(budget, []() {});
    upload.Expect(bytes, now);
    return upload;
  }
};

// Guards against memory that fills with parts of uploads, none of which can be completed. Replays
// 24 uploads at once: those that are admitted complete, and the others follow.
TEST(UploadBudgets, UploadsCompleteInTurns) {
  for (int i = 0; i < 24; ++i) Begin(kLargeBytes);
  int completed = 0;
  while (!uploads.empty()) {
    const size_t before = uploads.size();
    for (auto upload = uploads.begin(); upload != uploads.end();) {
      CHECK_FALSE(upload->evicted());
      if (upload->waiting()) {
        ++upload;
        continue;
      }
      CHECK(upload->Resize(kLargeBytes));
      CHECK(budget.used_bytes() <= kLimitBytes);
      upload->Complete();
      ++completed;
      upload = uploads.erase(upload);
    }
    CHECK(uploads.size() < before);
  }
  LONGS_EQUAL(24, completed);
  LONGS_EQUAL(0, budget.used_bytes());
}

// Guards against slow uploads that hold up all others until they time out. Replays two hundred that
// take five seconds each: those that wait get room as soon as the first are known to be slow, the
// memory stays within its limit, and some are served.
TEST(UploadBudgets, SlowUploadsGiveWay) {
  for (int i = 0; i < 200; ++i) Begin(kLargeBytes);
  const int64_t waiting = budget.waiting();
  CHECK(waiting > 0);
  CHECK(budget.refusals() > 0);
  std::vector<int64_t> pieces(uploads.size(), 0);
  int completed = 0;
  for (int64_t piece = 0; piece < kPieces; ++piece) {
    now += kPieceTime;
    budget.AdmitWaiting(now);
    size_t i = 0;
    for (Upload& upload : uploads) {
      int64_t& received = pieces[i++];
      if (upload.waiting() || upload.evicted() || received == kPieces) continue;
      ++received;
      if (!upload.Resize(received * kLargeBytes / kPieces) || received < kPieces) continue;
      upload.Complete();
      upload.Resize(0);
      ++completed;
    }
    CHECK(budget.used_bytes() <= kLimitBytes);
  }
  CHECK(budget.waiting() < waiting);
  CHECK(completed > 0);
}

// Guards against small requests that wait behind large ones, or are refused because of them.
TEST(UploadBudgets, SmallBodiesDoNotWait) {
  for (int i = 0; i < 24; ++i) Begin(kLargeBytes);
  for (Upload& upload : uploads) {
    if (!upload.waiting()) upload.Resize(kLargeBytes);
  }
  for (int i = 0; i < 300; ++i) {
    Upload& small = Begin(kSmallBytes);
    CHECK_FALSE(small.waiting());
    CHECK(small.Resize(kSmallBytes));
    small.Complete();
  }
  LONGS_EQUAL(0, budget.refusals());
}

// Guards against bodies of unknown length that fill the memory: the largest gives way, and what is
// complete is kept.
TEST(UploadBudgets, TheLargestIncompleteUploadGivesWay) {
  Upload& complete = Begin(0);
  CHECK(complete.Resize(42'000'000));
  complete.Complete();
  Upload& large = Begin(0);
  Upload& other = Begin(0);
  CHECK(large.Resize(10'000'000));
  CHECK(other.Resize(9'000'000));
  CHECK(large.evicted());
  CHECK_FALSE(other.evicted());
  CHECK_FALSE(complete.evicted());
  LONGS_EQUAL(51'000'000, budget.used_bytes());
  LONGS_EQUAL(1, budget.refusals());
}

// Guards against connections whose own memory is not counted: thousands of them leave less room for
// bodies.
TEST(UploadBudgets, ConnectionsTakeRoomFromBodies) {
  Upload& upload = Begin(0);
  CHECK(upload.Resize(30'000'000));
  budget.AddConnectionBytes(31'000'000);
  CHECK(upload.evicted());
  Upload& large = Begin(20'000'000);
  CHECK(large.waiting());
  budget.AddConnectionBytes(-31'000'000);
  CHECK_FALSE(large.waiting());
}

// Guards against a smaller upload that waits for larger ones which came before it.
TEST(UploadBudgets, SmallerUploadsGoFirst) {
  Upload& first = Begin(40'000'000);
  Upload& large = Begin(20'000'000);
  Upload& smaller = Begin(10'000'000);
  CHECK(large.waiting());
  CHECK(smaller.waiting());
  first.Resize(1);
  first.Complete();
  first.Resize(0);
  CHECK_FALSE(smaller.waiting());
}

}  // namespace fuchsiaweir::testing
