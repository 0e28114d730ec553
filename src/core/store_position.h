#ifndef FUCHSIAWEIR_CORE_STORE_POSITION_H_
#define FUCHSIAWEIR_CORE_STORE_POSITION_H_

#include <compare>
#include <cstdint>

namespace fuchsiaweir {

/// A point in the sequence of the platform store's changes.
///
/// Load pattern: the store comes back from a copy that is some seconds old. It gives out revisions
/// again, so that a revision identifies a state only together with the history that it belongs to.
struct StorePosition {
  int64_t history = 0;   ///< Rises each time the store comes back from an older copy.
  int64_t revision = 0;  ///< Rises with each change within a history; 0: nothing is known.

  auto operator<=>(const StorePosition&) const = default;
};

/// Contents of the store that a process has read.
struct ReadExtent {
  StorePosition since;     ///< Position of the process when it began to read.
  StorePosition position;  ///< Of the contents.
  bool full = false;       ///< The contents are a list, not changes.
  bool from_store = false;
};

/// How contents that were read relate to those that the process has.
enum class ReadRelation {
  kUnusable,  ///< Of an earlier history, or changes in a later one. They confirm nothing.
  kBehind,    ///< Older, but of the same history: the process knows all that they tell.
  kCurrent,
  kRestored,  ///< A list after the store has come back from an older copy.
};

/// Compares contents that were read with the position that the process has now.
ReadRelation RelationOf(const ReadExtent& read, StorePosition known);

/// Returns the fencing token of a write at this position. Tokens rise with histories too.
int64_t FencingToken(StorePosition position);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_STORE_POSITION_H_
