#ifndef FUCHSIAWEIR_CORE_LOAD_ROLLOUT_H_
#define FUCHSIAWEIR_CORE_LOAD_ROLLOUT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/runner_record.h"

namespace fuchsiaweir {

/// A runner of the service that gets new weights.
struct RolloutRunner {
  std::string id;
  int64_t weights_version = 0;
  WeightLoadPhase phase = WeightLoadPhase::kServing;
};

/// Decides when a runner of a service loads new weights. The runners take turns in an order that
/// all compute alike, without asking each other.
///
/// Load pattern: new weights are named under full traffic, and again before the former are in
/// place. A runner that waits for its runs to finish before it loads serves nothing for seconds. It
/// therefore first takes only work that can go on elsewhere, and is out just for the load itself.
/// The number that loads at once is bounded, and grows only as `elapsed` nears `window`, the time
/// for the rollout.
struct LoadRollout {
  std::vector<RolloutRunner> runners;
  int64_t version = 0;
  Duration elapsed{0};  ///< Since the weights were named.
  Duration window{0};

  /// Whether the runner may stop taking work that cannot go on elsewhere.
  bool MayStartFinishing(const std::string& runner) const;
  /// Whether the runner may load now.
  bool MayStartLoading(const std::string& runner) const;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_LOAD_ROLLOUT_H_
