#ifndef FUCHSIAWEIR_GATEWAY_REFUSAL_WRITER_H_
#define FUCHSIAWEIR_GATEWAY_REFUSAL_WRITER_H_

#include <map>
#include <string>

#include "core/placement.h"
#include "core/random_sequence.h"
#include "core/retry_after_estimator.h"
#include "gateway/fleet_view.h"
#include "gateway/forwarded_request.h"
#include "net/metrics.h"

namespace fuchsiaweir {

/// A failure this close to the deadline counts as a timeout.
constexpr Duration kDeadlineTolerance = Millis(5);

/// Chooses the error responses of requests that got none from a runner, and sends them.
class RefusalWriter {
 public:
  RefusalWriter(FleetView& view, Metrics& metrics, RandomSequence& random)
      : view_(view), metrics_(metrics), random_(random) {}

  /// Returns the error response for a request that no runner accepts.
  Refusal Make(const ForwardedRequest& request, const Placement& placement);
  /// Returns the error response for a request that may have run.
  Refusal MakeFailure(const ForwardedRequest& request) const;
  Awaitable<void> Send(ForwardedRequest& request, Refusal refusal);

 private:
  FleetView& view_;
  Metrics& metrics_;
  RandomSequence& random_;
  std::map<std::string, RetryAfterEstimator> retry_after_estimators_;  ///< By service.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_REFUSAL_WRITER_H_
