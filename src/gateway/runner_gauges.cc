#include "gateway/runner_gauges.h"

#include <map>
#include <string>

namespace fuchsiaweir {

void SetRunnerGauges(Metrics& metrics, const RunnerRegistry& registry, TimePoint now) {
  std::map<std::string, double> states{{"avoided", 0}, {"silent", 0}, {"cold", 0},  {"leaving", 0},
                                       {"missing", 0}, {"paused", 0}, {"in_use", 0}};
  const RunnerNotices& notices = registry.notices();
  for (const auto& [id, state] : registry.runners()) {
    const bool leaving = state.record.draining || state.replaced || notices.Leaving(id);
    const char* name = leaving                                    ? "leaving"
                       : state.missing_since                      ? "missing"
                       : state.Avoided(now)                       ? "avoided"
                       : notices.PauseLeft(id, now) > Duration{0} ? "paused"
                       : state.Silent()                           ? "silent"
                       : state.Cold(now)                          ? "cold"
                                                                  : "in_use";
    ++states[name];
  }
  for (const auto& [name, count] : states) {
    metrics.Gauge("fuchsiaweir_runners", "Runners by what is believed of them.", {{"state", name}})
        .Set(count);
  }
}

}  // namespace fuchsiaweir
