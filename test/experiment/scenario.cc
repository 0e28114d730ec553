#include "experiment/scenario.h"

namespace fuchsiaweir::experiment {

const std::vector<Scenario>& Scenarios() {
  using Kind = Change::Kind;
  constexpr Duration kNow{0};
  // A drained data centre's hosts stop after 30 s, when every run that it held has finished.
  constexpr Duration kDrainTime = Seconds(30);
  static const auto& scenarios = *new std::vector<Scenario>{
      {"steady", {}, {}},
      {"store_dies", {{0.4, kNow, Kind::kStoreDies, 0}, {0.6, kNow, Kind::kStoreReturns, 0}}, {}},
      {"link_slow", {{0.4, kNow, Kind::kLinkSlow, 0}, {0.65, kNow, Kind::kLinkNormal, 0}}, {}},
      {"runner_cold", {{0.45, kNow, Kind::kRunnerCold, 0}, {0.55, kNow, Kind::kRunnerCold, 1}}, {}},
      {"weight_swaps", {{0.4, kNow, Kind::kWeightSwap}, {0.55, kNow, Kind::kWeightSwap}}, {}},
      {"data_centre_leaves",
       {{0.4, kNow, Kind::kDrain, 0},
        {0.4, kDrainTime, Kind::kHostsStop, 0},
        {0.6, kNow, Kind::kRestore, 0}},
       {}},
      {"hot_prefix", {}, {Surge::Kind::kHotPrefix, 0.4, 0.7}},
      {"team_floods", {}, {Surge::Kind::kFlood, 0.4, 0.7}},
  };
  return scenarios;
}

}  // namespace fuchsiaweir::experiment
