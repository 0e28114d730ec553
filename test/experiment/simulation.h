#ifndef FUCHSIAWEIR_EXPERIMENT_SIMULATION_H_
#define FUCHSIAWEIR_EXPERIMENT_SIMULATION_H_

#include <cstdint>
#include <vector>

#include "experiment/policy.h"
#include "experiment/scenario.h"

namespace fuchsiaweir::experiment {

/// A caller gives up on a request without a first token by then.
constexpr Duration kCallerPatience = Seconds(60);

enum class Fate { kPending, kServed, kRefused, kTimedOut, kLost };

/// What happened to one request of the trace.
struct Outcome {
  const Request* request = nullptr;
  Fate fate = Fate::kPending;
  Duration ttft{};
  int64_t recomputed = 0;  ///< Tokens of known whole blocks that were computed again.
};

struct RunResult {
  std::vector<Request> trace;
  std::vector<Outcome> outcomes;
  Duration length{};
  int64_t link_bytes = 0;
  int64_t wasted_bytes = 0;  ///< Fetched in vain, or written and evicted unread.
  RoutingCost routing;
  int64_t late_dispatches = 0;  ///< To a data centre, more than 3 s after its drain.
  int64_t cold_overloads = 0;   ///< Runs started above a cold engine's limit.
};

RunResult Simulate(const Deployment& deployment, const Scenario& scenario,
                   const PolicyEntry& policy, int64_t requests, uint64_t seed);

}  // namespace fuchsiaweir::experiment

#endif  // FUCHSIAWEIR_EXPERIMENT_SIMULATION_H_
