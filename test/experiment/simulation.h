#ifndef FUCHSIAWEIR_EXPERIMENT_SIMULATION_H_
#define FUCHSIAWEIR_EXPERIMENT_SIMULATION_H_

#include <cstdint>
#include <vector>

#include "experiment/policy.h"
#include "experiment/scenario.h"

namespace fuchsiaweir::experiment {

/// Time after which a caller abandons a request without a first token.
constexpr Duration kCallerTimeout = Seconds(60);

enum class RequestStatus { kPending, kServed, kRefused, kTimedOut, kLost };

/// Result of one request of the trace.
struct Outcome {
  const Request* request = nullptr;
  RequestStatus status = RequestStatus::kPending;
  Duration ttft{};
  int64_t recomputed_tokens = 0;  ///< Reusable tokens that were computed again.
};

struct RunResult {
  std::vector<Request> trace;
  std::vector<Outcome> outcomes;
  Duration length{};
  int64_t link_bytes = 0;
  int64_t wasted_bytes = 0;  ///< Fetched too late, or written and rejected or evicted unread.
  RoutingCost routing;
  int64_t late_dispatches = 0;  ///< Sent to a data centre more than 3 s after its drain order.
  int64_t cold_overloads = 0;   ///< Runs started above a cold engine's limit.
};

RunResult Simulate(const Deployment& deployment, const Scenario& scenario,
                   const PolicyEntry& policy, int64_t requests, uint64_t seed);

}  // namespace fuchsiaweir::experiment

#endif  // FUCHSIAWEIR_EXPERIMENT_SIMULATION_H_
