#include "core/store_position.h"

#include <algorithm>

namespace fuchsiaweir {
namespace {

/// Above the revisions of one history.
constexpr int64_t kTokensPerHistory = 1'000'000'000;
/// Tokens up to this history are exact as JSON numbers.
constexpr int64_t kMaxTokenHistory = 9'000'000;

}  // namespace

ReadRelation RelationOf(const ReadExtent& read, StorePosition known) {
  if (known.revision == 0) return read.full ? ReadRelation::kCurrent : ReadRelation::kUnusable;
  if (read.position.history < known.history) return ReadRelation::kUnusable;
  if (read.position.history > known.history) {
    return read.full ? ReadRelation::kRestored : ReadRelation::kUnusable;
  }
  if (read.position.revision >= known.revision) return ReadRelation::kCurrent;
  // The store's answers are linearizable, so its own list names a lower revision only if it has
  // lost changes. That happens without a new history if the store does not name histories.
  const bool lost_changes = read.full && read.from_store && read.since.history == known.history &&
                            read.position.revision < read.since.revision;
  return lost_changes ? ReadRelation::kRestored : ReadRelation::kBehind;
}

int64_t FencingToken(StorePosition position) {
  return std::min(position.history, kMaxTokenHistory) * kTokensPerHistory + position.revision;
}

}  // namespace fuchsiaweir
