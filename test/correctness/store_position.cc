#include "core/store_position.h"

#include <CppUTest/TestHarness.h>

namespace fuchsiaweir::testing {
namespace {

constexpr bool kFull = true;
constexpr bool kChanges = false;
constexpr bool kFromStore = true;
constexpr bool kFromRelay = false;

/// Position that the process has, in most tests also when it began to read.
constexpr StorePosition kKnown{2, 100};

void CheckRelation(ReadRelation expected, const ReadExtent& read, StorePosition known = kKnown) {
  LONGS_EQUAL(static_cast<int>(expected), static_cast<int>(RelationOf(read, known)));
}

}  // namespace

TEST_GROUP(StorePositions){};

// Guards against revisions of two histories that are compared with each other.
TEST(StorePositions, ALaterHistoryIsNewerWhateverItsRevision) {
  CHECK(StorePosition({2, 1}) > StorePosition({1, 1'000}));
  CHECK(FencingToken({2, 1}) > FencingToken({1, 1'000}));
  LONGS_EQUAL(1'000, FencingToken({0, 1'000}));
}

// Guards against the list of a restored store that is dropped because its revision is lower, and
// against changes that are applied to contents of another history.
TEST(StorePositions, ALaterHistoryBeginsWithAList) {
  CheckRelation(ReadRelation::kRestored, {kKnown, {3, 40}, kFull, kFromStore});
  CheckRelation(ReadRelation::kRestored, {kKnown, {3, 400}, kFull, kFromRelay});
  CheckRelation(ReadRelation::kUnusable, {kKnown, {3, 400}, kChanges, kFromStore});
}

// Guards against contents from before a restore that count as current: they come from a relay that
// has not seen it, or from a response that was long on its way.
TEST(StorePositions, AnEarlierHistoryIsUnusable) {
  CheckRelation(ReadRelation::kUnusable, {kKnown, {1, 400}, kFull, kFromRelay});
  CheckRelation(ReadRelation::kUnusable, {kKnown, {1, 400}, kFull, kFromStore});
  CheckRelation(ReadRelation::kUnusable, {kKnown, {1, 400}, kChanges, kFromStore});
}

TEST(StorePositions, WithinAHistoryRevisionsDecide) {
  CheckRelation(ReadRelation::kCurrent, {kKnown, {2, 100}, kChanges, kFromStore});
  CheckRelation(ReadRelation::kCurrent, {kKnown, {2, 101}, kFull, kFromRelay});
  CheckRelation(ReadRelation::kBehind, {kKnown, {2, 99}, kFull, kFromRelay});
}

// Guards against a list that counts as a restore because another gateway told of a change while it
// was on its way, and against a restore of a store that names no histories.
TEST(StorePositions, AListIsComparedWithTheStateBeforeItsCall) {
  CheckRelation(ReadRelation::kBehind, {{2, 98}, {2, 99}, kFull, kFromStore});
  CheckRelation(ReadRelation::kRestored, {{0, 100}, {0, 99}, kFull, kFromStore}, {0, 100});
  // Another gateway told of the later history meanwhile.
  CheckRelation(ReadRelation::kBehind, {{1, 500}, {2, 99}, kFull, kFromStore});
}

TEST(StorePositions, TheFirstContentsAreAList) {
  CheckRelation(ReadRelation::kCurrent, {{}, {1, 5}, kFull, kFromStore}, {});
  CheckRelation(ReadRelation::kUnusable, {{}, {1, 5}, kChanges, kFromRelay}, {});
}

}  // namespace fuchsiaweir::testing
