#include "gateway/report_probe.h"

#include <optional>
#include <utility>

#include "net/log.h"
#include "platform/runner_api.h"

namespace fuchsiaweir {
namespace {

/// Between two calls to one runner. Each gateway asks, and a host may stand still for long.
constexpr Duration kPause = Millis(500);

}  // namespace

void ReportProbe::OnTimer() {
  for (const auto& [id, state] : view_.runner_registry().runners()) {
    if (!state.ReportOverdue() || state.record.draining || state.replaced) continue;
    if (!asked_.insert(id).second) continue;
    const std::string runner = id;
    Spawn(io_, "report_probe", [this, runner]() { return Ask(runner); });
  }
}

Awaitable<void> ReportProbe::Ask(std::string runner) {
  RunnerRegistry& registry = view_.runner_registry();
  const RunnerState* state = registry.Find(runner);
  if (state != nullptr) {
    const Endpoint endpoint{state->record.address, state->record.port};
    const Duration cold_time = view_.ColdTime(state->record.service);
    Endpoint asked = endpoint;
    const std::optional<EngineReport> report =
        co_await platform::ReadEngineReport(client_, std::move(asked));
    LogInfo("report_asked", {{"runner", runner}, {"answered", report ? "yes" : "no"}});
    if (report) {
      registry.OnReport(endpoint.address, endpoint.port, report, cold_time, SteadyNow());
    }
  }
  co_await SleepFor(kPause);
  asked_.erase(runner);
}

}  // namespace fuchsiaweir
