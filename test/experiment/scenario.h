#ifndef FUCHSIAWEIR_EXPERIMENT_SCENARIO_H_
#define FUCHSIAWEIR_EXPERIMENT_SCENARIO_H_

#include <string>
#include <vector>

#include "core/clock.h"
#include "experiment/workload.h"

namespace fuchsiaweir::experiment {

/// A change to the fleet during a run.
struct Change {
  enum class Type {
    kStoreFails,
    kStoreRecovers,
    kLinkSlow,
    kLinkNormal,
    kRunnerCold,
    kWeightSwap,
    kDrain,
    kHostsStop,
    kRestore,
  };
  double at;       ///< Time of the change as a fraction of the run.
  Duration delay;  ///< Added to `at`.
  Type type;
  int index = 0;  ///< Index of the store, runner or data centre.
};

struct Scenario {
  std::string name;
  std::vector<Change> changes;
  Surge surge;
  /// Window in which requests count as sent during the change, as fractions of the run.
  double window_start = 0.4, window_end = 0.7;
};

const std::vector<Scenario>& Scenarios();

}  // namespace fuchsiaweir::experiment

#endif  // FUCHSIAWEIR_EXPERIMENT_SCENARIO_H_
