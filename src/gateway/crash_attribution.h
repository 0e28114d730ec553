#ifndef FUCHSIAWEIR_GATEWAY_CRASH_ATTRIBUTION_H_
#define FUCHSIAWEIR_GATEWAY_CRASH_ATTRIBUTION_H_

#include <string>
#include <vector>

#include "core/poison_tracker.h"
#include "gateway/fleet_view.h"

namespace fuchsiaweir {

/// Finds requests that end the runners which run them, together with the other gateways.
class CrashAttribution {
 public:
  explicit CrashAttribution(FleetView& view) : view_(view), poison_(PoisonRules{}) {}

  /// Whether the request ended so many runners that it is not sent again.
  bool Refuses(const std::string& digest) const;
  /// The request lost its runner; whether that crashed shows within seconds.
  void Suspect(const std::string& digest, const std::string& runner);
  /// Tells all gateways of the crashes that have shown since.
  void Confirm(TimePoint now);
  /// Takes a report of this or another gateway.
  void OnCrash(const CrashMessage& message);

 private:
  /// A request that lost its runner, and what shows whether the runner crashed.
  struct Pending {
    std::string digest;
    std::string runner;
    int64_t started_ms = 0;
    TimePoint since;
  };

  FleetView& view_;
  PoisonTracker poison_;
  std::vector<Pending> pending_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_CRASH_ATTRIBUTION_H_
