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
#include "core/version_rule.h"
#include "core/work_estimate.h"

namespace fuchsiaweir {

/// Inputs of the placement of one request, except the runners' states.
struct PlacementQuery {
  std::string service;
  std::string data_centre;                ///< Data centre of this gateway.
  uint64_t prefix_hash = 0;               ///< Hash of the shared prompt prefix; 0 without a prompt.
  int64_t min_weights_version = 0;        ///< Older runners are not eligible.
  int64_t preferred_weights_version = 0;  ///< Older runners get a load penalty.
  int64_t min_weights_version_if_queued = 0;  ///< The minimum for runners with queued requests.
  int64_t tokens = 0;                         ///< Prompt and output tokens of the request.
  int64_t priority = 0;                       ///< 0 is the highest.
  bool repeatable = true;                     ///< Another runner may continue the request.
  /// If all runners are suspected not to answer, the request may go to one of them.
  bool allow_suspected = true;
  const std::set<std::string>* closed_data_centres = nullptr;  ///< Evacuated, or no home region.
  const std::set<std::string>* tried = nullptr;  ///< Runners of earlier attempts, not eligible.
  const VersionRule* version_rule = nullptr;     ///< Runners that a rollout allows; null: all.
  /// Version of the runners' software that began the caller's stream; null: no stream has begun.
  const std::string* software_version = nullptr;
  std::string self;                                    ///< Name of this gateway.
  const std::vector<std::string>* gateways = nullptr;  ///< Names of all gateways.
  /// Maximum requests per second to a cold runner, from all gateways together; 0: no limit.
  double cold_requests_per_second = 0;
  double random = 0;      ///< In [0, 1); breaks ties between equally loaded runners.
  DemandEstimate demand;  ///< Token rate of this gateway's requests for the service.
  /// Work of the request; without it, expected times have no influence.
  std::optional<RequestWork> work;
};

/// The expected times to the first event that decided a placement.
struct ExpectedTimes {
  std::string left;  ///< Runner that affinity or load would have chosen.
  Duration at_left{0};
  Duration at_chosen{0};
};

/// Why no runner accepts a request.
enum class PlacementRefusal {
  kNone,
  kNoRunner,
  kClosed,
  kLoading,
  kCold,
  kFull,
  kUnreachable,
  kLimited,
  kPaused,   ///< The runners have asked for no requests for a time.
  kLeaving,  ///< The runners have said that they leave.
};

/// Returns the refusal's name in logs and metrics.
std::string_view Name(PlacementRefusal refusal);

struct Placement {
  std::string runner;  ///< Empty if the request is refused.
  std::string home;    ///< Runner with the highest affinity to the prefix; may equal `runner`.
  PlacementRefusal refusal = PlacementRefusal::kNone;
  Duration retry_after{0};  ///< Expected time until a runner accepts the request.
  /// Set if the runner was chosen by its expected time instead of affinity and load.
  std::optional<ExpectedTimes> by_time;
};

/// Returns what is known of the work at the runner, for a request with `prompt_tokens`; nothing
/// without a fresh report.
std::optional<RunnerWork> WorkAt(const RunnerState& state, int64_t prompt_tokens, TimePoint now);

/// Chooses the runner of a request by prefix affinity with bounded load, else by least load. A
/// choice that is expected to be late is replaced by the expected times; see core/work_choice.h.
Placement PlaceRequest(const PlacementQuery& query, RunnerRegistry& runner_registry, TimePoint now);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_PLACEMENT_H_
