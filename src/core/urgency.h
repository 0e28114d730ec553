#ifndef FUCHSIAWEIR_CORE_URGENCY_H_
#define FUCHSIAWEIR_CORE_URGENCY_H_

#include <algorithm>
#include <cstdint>

namespace fuchsiaweir {

inline constexpr int64_t kMaxUrgencyLevel = 9;  ///< The least urgent one.

/// Maps a request's priority to an engine's urgency level; 0 is the highest of both. Odd levels
/// mark runs that no other runner may continue: engines report the levels of their runs, so that a
/// sidecar can detect whether a weight load would abort such runs.
constexpr int64_t UrgencyOf(int64_t priority, bool repeatable) {
  const int64_t level = std::clamp<int64_t>(priority, 0, kMaxUrgencyLevel / 2) * 2;
  return repeatable ? level : level + 1;
}

/// Returns whether another runner may continue a run of this level.
constexpr bool UrgencyAllowsRepeat(int64_t urgency) { return urgency % 2 == 0; }

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_URGENCY_H_
