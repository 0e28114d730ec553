#ifndef FUCHSIAWEIR_GATEWAY_REQUEST_PLACER_H_
#define FUCHSIAWEIR_GATEWAY_REQUEST_PLACER_H_

#include <map>
#include <string>

#include "core/placement.h"
#include "core/random_sequence.h"
#include "core/token_demand.h"
#include "gateway/crash_attribution.h"
#include "gateway/fleet_view.h"
#include "gateway/forwarded_request.h"
#include "gateway/rollout_control.h"

namespace fuchsiaweir {

/// Finds runners for requests, and counts the requests that are placed.
class RequestPlacer {
 public:
  RequestPlacer(FleetView& view, RolloutControl& rollouts, CrashAttribution& crash_attribution,
                RandomSequence& random)
      : view_(view), rollouts_(rollouts), crash_attribution_(crash_attribution), random_(random) {}

  /// Waits for a runner that takes the request, at most for a share of its objective, and counts
  /// the request there. The placement is empty if there is none.
  Awaitable<Placement> Wait(ForwardedRequest& request);
  /// Places the request without waiting and without counting it.
  Placement Try(ForwardedRequest& request, TimePoint now);
  /// Returns a runner other than that of the attempt in progress that takes the request now, or an
  /// empty placement.
  Placement FindOther(ForwardedRequest& request, TimePoint now);
  /// Counts the request at the runner, and in the demand for its service.
  void Count(const ForwardedRequest& request, const std::string& runner, TimePoint now);
  void ReleaseReservation(ForwardedRequest& request);
  /// Whether the runner may get the request, which was placed there; it may have asked for none
  /// since, and its record may have changed.
  bool TakesRequest(const ForwardedRequest& request, const RunnerState& runner,
                    TimePoint now) const;

 private:
  PlacementQuery MakeQuery(ForwardedRequest& request, TimePoint now);

  FleetView& view_;
  RolloutControl& rollouts_;
  CrashAttribution& crash_attribution_;
  RandomSequence& random_;
  std::map<std::string, TokenDemand> token_demands_;  ///< By service.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_REQUEST_PLACER_H_
