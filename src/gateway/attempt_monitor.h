#ifndef FUCHSIAWEIR_GATEWAY_ATTEMPT_MONITOR_H_
#define FUCHSIAWEIR_GATEWAY_ATTEMPT_MONITOR_H_

#include <functional>
#include <map>
#include <string>

#include "core/recent_maximum.h"
#include "gateway/admission.h"
#include "gateway/fleet_view.h"
#include "gateway/forwarded_request.h"
#include "net/metrics.h"

namespace fuchsiaweir {

/// Decides which attempts are given up in favour of another runner, and cancels attempts.
class AttemptMonitor {
 public:
  AttemptMonitor(FleetView& view, AdmissionController& admission, Metrics& metrics);

  /// Called by the timer, whose period is `period`. Records how late it is.
  void OnTimer(TimePoint now, Duration period);
  /// Whether the attempt in progress is to be given up. If so, the next one has been taken from the
  /// retry budget. `has_other` tells whether another runner takes the request.
  bool ShouldAbandon(ForwardedRequest& request, const std::function<bool()>& has_other,
                     TimePoint now);
  /// Closes the connection of the attempt in progress, so that the runner cancels the request.
  void Cancel(const ForwardedRequest& request, const std::string& cause, TimePoint now);
  /// Records that a runner of the service has begun to answer `after` a request was sent.
  void OnAnswer(const std::string& service, Duration after, TimePoint now);

 private:
  /// Returns the time without a byte of an answer after which another runner may be faster.
  Duration FirstByteTimeout(const ForwardedRequest& request, const RunnerState* runner,
                            TimePoint now) const;
  void LogAbandoned(const ForwardedRequest& request, const RunnerState* runner, bool dead,
                    TimePoint now);

  FleetView& view_;
  AdmissionController& admission_;
  Metrics& metrics_;
  std::map<std::string, RecentMaximum> answer_times_;  ///< By service.
  RecentMaximum stalls_;  ///< Times in which the process handled no events.
  TimePoint last_timer_;
  TimePoint step_began_;  ///< Call of the timer before the last one.
  Duration step_{0};      ///< Time since the timer before, as far as the process ran.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_ATTEMPT_MONITOR_H_
