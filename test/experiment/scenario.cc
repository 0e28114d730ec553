#include "experiment/scenario.h"

namespace fuchsiaweir::experiment {

const std::vector<Scenario>& Scenarios() {
  using Type = Change::Type;
  constexpr Duration kNow{0};
  // The hosts of a drained data centre stop after 30 s, when all its runs have finished.
  constexpr Duration kDrainTime = Seconds(30);
  static const auto& scenarios = *new std::vector<Scenario>{
      {"steady", {}, {}},
      {"store_dies", {{0.4, kNow, Type::kStoreFails, 0}, {0.6, kNow, Type::kStoreRecovers, 0}}, {}},
      {"link_slow", {{0.4, kNow, Type::kLinkSlow, 0}, {0.65, kNow, Type::kLinkNormal, 0}}, {}},
      {"runner_cold", {{0.45, kNow, Type::kRunnerCold, 0}, {0.55, kNow, Type::kRunnerCold, 1}}, {}},
      {"weight_swaps", {{0.4, kNow, Type::kWeightSwap}, {0.55, kNow, Type::kWeightSwap}}, {}},
      {"data_centre_leaves",
       {{0.4, kNow, Type::kDrain, 0},
        {0.4, kDrainTime, Type::kHostsStop, 0},
        {0.6, kNow, Type::kRestore, 0}},
       {}},
      {"hot_prefix", {}, {Surge::Type::kHotPrefix, 0.4, 0.7}},
      {"team_floods", {}, {Surge::Type::kFlood, 0.4, 0.7}},
  };
  return scenarios;
}

}  // namespace fuchsiaweir::experiment
