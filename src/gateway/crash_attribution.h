#ifndef FUCHSIAWEIR_GATEWAY_CRASH_ATTRIBUTION_H_
#define FUCHSIAWEIR_GATEWAY_CRASH_ATTRIBUTION_H_

#include <optional>
#include <string>
#include <vector>

#include "core/crash_suspects.h"
#include "gateway/fleet_view.h"
#include "gateway/forwarded_request.h"

namespace fuchsiaweir {

/// Identifies requests and parts of prompts that crash the runners that answer them. All gateways
/// share their findings.
class CrashAttribution {
 public:
  CrashAttribution(FleetView& view, Metrics& metrics) : view_(view), metrics_(metrics) {}

  /// Decides whether the request may be sent. Returns for how long it is refused, or nothing.
  std::optional<Duration> Admit(const ForwardedRequest& request, TimePoint now);
  /// Tells the other gateways if the request that is being sent is on trial.
  void OnSent(const ForwardedRequest& request);
  /// Processes another gateway's report of a request on trial.
  void OnTrial(const TrialMessage& message) { suspects_.OnTrial(message.traits, SteadyNow()); }
  /// Whether the request is refused since it was sent.
  bool Refused(const ForwardedRequest& request, TimePoint now) const {
    return suspects_.RefusedUntil(request.traits, now).has_value();
  }
  bool MayRetry(const ForwardedRequest& request) const {
    return suspects_.MayRetry(request.traits);
  }
  /// Records that the request lost its runner before its answer began. `ConfirmCrashes` determines
  /// whether the runner crashed.
  void OnRunnerLost(const ForwardedRequest& request, const std::string& runner);
  /// Records that the request's answer began and went on.
  void OnAnswer(const ForwardedRequest& request, TimePoint began_at);
  /// Reports the lost runners that have turned out to have crashed to all gateways, in this and the
  /// next calls.
  void ConfirmCrashes(TimePoint now);
  /// Processes a crash report of this or another gateway.
  void OnCrash(const CrashMessage& message);
  /// Processes another gateway's report of answered requests.
  void OnCleared(const ClearMessage& message) {
    suspects_.Clear(message.traits, SteadyNow() - message.age);
  }

 private:
  /// A request that lost its runner, for which a crash is not confirmed yet.
  struct Pending {
    CrashReport report;
    int64_t started_ms = 0;  ///< Start time of the lost runner; a different one proves a crash.
  };

  /// Counts and logs a crash.
  void RecordCrash(const CrashReport& report, TimePoint now);

  /// A confirmed crash that the other gateways are told of.
  struct Confirmed {
    CrashReport report;
    int sends_left = 0;
  };

  FleetView& view_;
  Metrics& metrics_;
  CrashSuspects suspects_;
  std::vector<Pending> pending_;
  std::vector<Confirmed> confirmed_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_CRASH_ATTRIBUTION_H_
