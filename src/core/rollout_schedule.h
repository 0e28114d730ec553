#ifndef FUCHSIAWEIR_CORE_ROLLOUT_SCHEDULE_H_
#define FUCHSIAWEIR_CORE_ROLLOUT_SCHEDULE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/enum_names.h"
#include "core/rollout_record.h"
#include "core/rollout_verdict.h"

namespace fuchsiaweir {

/// Steps of a rollout. A step is never followed by an earlier one, so that gateways can take over
/// the latest step that any of them knows.
enum class RolloutStep {
  kCanary,   ///< A share of the requests goes to some runners of the new version.
  kShift,    ///< The new version is preferred; the old one gets what it does not take.
  kFinish,   ///< The old version gets nothing new.
  kStopped,  ///< The new version gets nothing.
};

inline constexpr EnumNames<RolloutStep, 4> kRolloutStepNames = {{
    {RolloutStep::kCanary, "canary"},
    {RolloutStep::kShift, "shift"},
    {RolloutStep::kFinish, "finish"},
    {RolloutStep::kStopped, "stopped"},
}};

/// What the leader of a rollout knows.
struct RolloutSituation {
  RolloutStep step = RolloutStep::kCanary;
  Duration elapsed{0};            ///< Since the order.
  Duration in_step{0};            ///< Since the step began.
  Duration within{0};             ///< Time limit, from the order on.
  RouteVerdict evidence;          ///< Of all gateways together.
  bool gateway_says_bad = false;  ///< A gateway has stopped on its own evidence.
  bool target_listed = false;     ///< There are runners of the new version.
  int64_t gateways = 1;           ///< That were live during the rollout, with this one.
  int64_t heard = 1;              ///< Of these, those whose evidence is fresh.
  /// Fresh gateways that have requests at runners of the old version, or that have not taken over
  /// the step that ends this.
  int64_t unfinished = 0;
};

struct RolloutDecision {
  RolloutStep step = RolloutStep::kCanary;
  std::optional<RolloutState> final_state;  ///< To be written to the store.
  std::string reason;
};

/// Decides the next step of a rollout. Called by its leader only.
RolloutDecision DecideRollout(const RolloutSituation& situation);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_ROLLOUT_SCHEDULE_H_
