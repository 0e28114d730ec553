#ifndef FUCHSIAWEIR_GATEWAY_WORK_OBSERVER_H_
#define FUCHSIAWEIR_GATEWAY_WORK_OBSERVER_H_

#include "core/placement.h"
#include "gateway/fleet_view.h"
#include "gateway/forwarded_request.h"
#include "net/metrics.h"

namespace fuchsiaweir {

/// Learns from this gateway's streams how much work requests cause (see `WorkEstimates`), and
/// records the placements that were decided by it.
class WorkObserver {
 public:
  WorkObserver(FleetView& view, Metrics& metrics) : view_(view), metrics_(metrics) {}

  /// Returns the work of the request for its placement; nothing if it is no stream with a prompt.
  static std::optional<RequestWork> WorkOf(const ForwardedRequest& request);

  /// Called when the request is sent to `runner`, where it was placed.
  void OnSent(ForwardedRequest& request, const Placement& placement, const RunnerState& runner,
              TimePoint now);
  /// Called at the first event of the attempt in progress.
  void OnFirstEvent(const ForwardedRequest& request);
  /// Called when the caller has all events of the stream.
  void OnComplete(const ForwardedRequest& request);

 private:
  FleetView& view_;
  Metrics& metrics_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_WORK_OBSERVER_H_
