#ifndef FUCHSIAWEIR_CORE_PLACEMENT_H_
#define FUCHSIAWEIR_CORE_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/runner_registry.h"
#include "core/token_demand.h"

namespace fuchsiaweir {

/// What placing one request depends on beside the runners.
struct PlacementQuery {
  std::string service;
  std::string data_centre;   ///< The gateway's own.
  uint64_t prefix_hash = 0;  ///< Of the shared prompt parts; 0 for requests without a prompt.
  int64_t min_weights_version = 0;        ///< Runners with older weights are left out.
  int64_t preferred_weights_version = 0;  ///< Runners with older weights come last.
  int64_t min_weights_version_if_queued =
      0;                   ///< Runners with older weights take it only if none waits.
  int64_t tokens = 0;      ///< Prompt and output tokens of the request.
  int64_t priority = 0;    ///< 0 is the highest.
  bool repeatable = true;  ///< The request could go on at another runner.
  const std::set<std::string>* closed_data_centres = nullptr;  ///< Evacuated, or not a home.
  const std::set<std::string>* tried = nullptr;                ///< Runners of earlier attempts.
  std::string self;                                            ///< Name of this gateway.
  const std::vector<std::string>* gateways = nullptr;
  double cold_requests_per_second =
      0;                  ///< Requests a second that a cold runner bears; 0: no limit.
  double random = 0;      ///< In [0, 1); decides between equal runners.
  DemandEstimate demand;  ///< Of this gateway's prompts for the service.
};

/// Why no runner takes a request.
enum class PlacementRefusal { kNone, kNoRunner, kClosed, kLoading, kCold, kFull, kUnreachable };

/// Returns the refusal's name in logs and metrics.
std::string_view Name(PlacementRefusal refusal);

struct Placement {
  std::string runner;  ///< Empty when refused.
  std::string home;    ///< Runner that the prompt's parts belong to; may equal `runner`.
  PlacementRefusal refusal = PlacementRefusal::kNone;
  Duration retry_after{0};  ///< When a runner is expected to take the request.
};

/// Chooses the runner of a request.
Placement PlaceRequest(const PlacementQuery& query, RunnerRegistry& runner_registry, TimePoint now);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_PLACEMENT_H_
