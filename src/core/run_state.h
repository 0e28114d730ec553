#ifndef FUCHSIAWEIR_CORE_RUN_STATE_H_
#define FUCHSIAWEIR_CORE_RUN_STATE_H_

#include <optional>
#include <string_view>

namespace fuchsiaweir {

/// Whether a target executed a request.
enum class RunState {
  kNotRun,   ///< No target executed it, and none will.
  kRan,      ///< A target executed it.
  kUnknown,  ///< A target may have executed it.
};

/// Returns "not_run", "ran" or "unknown".
std::string_view Name(RunState state);

/// Parses the result of `Name`.
std::optional<RunState> RunStateFromName(std::string_view name);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_RUN_STATE_H_
