#include "core/run_state.h"

#include "core/enum_names.h"

namespace fuchsiaweir {
namespace {

constexpr EnumNames<RunState, 3> kNames = {{
    {RunState::kNotRun, "not_run"},
    {RunState::kRan, "ran"},
    {RunState::kUnknown, "unknown"},
}};

}  // namespace

std::string_view Name(RunState state) { return NameIn(kNames, state); }

std::optional<RunState> RunStateFromName(std::string_view name) { return ValueIn(kNames, name); }

}  // namespace fuchsiaweir
