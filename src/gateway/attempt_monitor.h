#ifndef FUCHSIAWEIR_GATEWAY_ATTEMPT_MONITOR_H_
#define FUCHSIAWEIR_GATEWAY_ATTEMPT_MONITOR_H_

#include <optional>

#include "core/recent_maximum.h"
#include "gateway/admission.h"
#include "gateway/fleet_view.h"
#include "gateway/forwarded_request.h"
#include "net/metrics.h"

namespace fuchsiaweir {

/// Decides which attempts are given up in favour of another runner.
class AttemptMonitor {
 public:
  AttemptMonitor(FleetView& view, AdmissionController& admission, Metrics& metrics);

  /// Called by the timer, whose period is `period`. Records how late it is.
  void OnTimer(TimePoint now, Duration period);
  /// Whether the attempt in progress is to be given up. If so, the next one has been taken from the
  /// retry budget.
  bool ShouldAbandon(ForwardedRequest& request, TimePoint now);

 private:
  void LogAbandoned(const ForwardedRequest& request, const RunnerState* runner, bool dead,
                    TimePoint now);

  FleetView& view_;
  AdmissionController& admission_;
  Metrics& metrics_;
  RecentMaximum stalls_;  ///< Times in which the process handled no events.
  std::optional<TimePoint> last_timer_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_ATTEMPT_MONITOR_H_
