#ifndef FUCHSIAWEIR_EXPERIMENT_SCENARIO_H_
#define FUCHSIAWEIR_EXPERIMENT_SCENARIO_H_

#include <string>
#include <vector>

#include "core/clock.h"
#include "experiment/workload.h"

namespace fuchsiaweir::experiment {

/// A change to the fleet during a run.
struct Change {
  enum class Kind {
    kStoreDies,
    kStoreReturns,
    kLinkSlow,
    kLinkNormal,
    kRunnerCold,
    kWeightSwap,
    kDrain,
    kHostsStop,
    kRestore,
  };
  double at;      ///< Fraction of the run.
  Duration plus;  ///< Added to `at`.
  Kind kind;
  int index = 0;  ///< Store, runner or data centre.
};

struct Scenario {
  std::string name;
  std::vector<Change> changes;
  Surge surge;
  /// Window of the change for "service during the change", as fractions of the run.
  double from = 0.4, to = 0.7;
};

const std::vector<Scenario>& Scenarios();

}  // namespace fuchsiaweir::experiment

#endif  // FUCHSIAWEIR_EXPERIMENT_SCENARIO_H_
