#ifndef FUCHSIAWEIR_CORE_ROLLOUT_RECORD_H_
#define FUCHSIAWEIR_CORE_ROLLOUT_RECORD_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/enum_names.h"

namespace fuchsiaweir {

/// State of a rollout, as its status in the store tells.
enum class RolloutState { kRunning, kDone, kReverted };

inline constexpr EnumNames<RolloutState, 3> kRolloutStateNames = {{
    {RolloutState::kRunning, "running"},
    {RolloutState::kDone, "done"},
    {RolloutState::kReverted, "reverted"},
}};

/// An order to replace a service's software by another version, with its status.
struct RolloutRecord {
  std::string service;  ///< Name of the object, also if the content names another service.
  std::string target;   ///< Empty if the content has no usable one.
  Duration within{0};   ///< Time limit from the order on.
  std::string problem;  ///< Why the order cannot be carried out; empty if it can.
  /// State in the store; nothing if there is none for this target.
  std::optional<RolloutState> state;
  std::string unusable_status;  ///< A status that does not fit the order, as JSON; for the log.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_ROLLOUT_RECORD_H_
