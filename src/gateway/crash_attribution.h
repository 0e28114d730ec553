#ifndef FUCHSIAWEIR_GATEWAY_CRASH_ATTRIBUTION_H_
#define FUCHSIAWEIR_GATEWAY_CRASH_ATTRIBUTION_H_

#include <string>
#include <vector>

#include "core/poison_tracker.h"
#include "gateway/fleet_view.h"

namespace fuchsiaweir {

/// Identifies requests that crash the runners that run them. All gateways share their findings.
class CrashAttribution {
 public:
  explicit CrashAttribution(FleetView& view) : view_(view), poison_tracker_(PoisonRules{}) {}

  /// Whether the request crashed so many runners that it must not be sent again.
  bool IsPoisoned(const std::string& digest) const;
  /// Records that the request lost its runner. `ConfirmCrashes` determines whether it crashed.
  void OnRunnerLost(const std::string& digest, const std::string& runner);
  /// Reports the lost runners that have turned out to have crashed to all gateways.
  void ConfirmCrashes(TimePoint now);
  /// Processes a crash report of this or another gateway.
  void OnCrash(const CrashMessage& message);

 private:
  /// A request that lost its runner, for which a crash is not confirmed yet.
  struct Pending {
    std::string digest;
    std::string runner;
    int64_t started_ms = 0;  ///< Start time of the lost runner; a different one proves a crash.
    TimePoint lost_at;
  };

  FleetView& view_;
  PoisonTracker poison_tracker_;
  std::vector<Pending> pending_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_CRASH_ATTRIBUTION_H_
