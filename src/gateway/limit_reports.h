#ifndef FUCHSIAWEIR_GATEWAY_LIMIT_REPORTS_H_
#define FUCHSIAWEIR_GATEWAY_LIMIT_REPORTS_H_

#include <string>

#include "gateway/fleet_view.h"
#include "platform/runner_api.h"

namespace fuchsiaweir {

/// Records the limits that runners name in their responses. All gateways share them.
class LimitReports {
 public:
  explicit LimitReports(FleetView& view) : view_(view) {}

  /// Records what the runner's response says of the requests that it takes.
  void OnAnswer(const std::string& runner, const platform::RunnerAnswer& answer);
  /// Processes another gateway's report.
  void OnMessage(const LimitMessage& message);

 private:
  FleetView& view_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_LIMIT_REPORTS_H_
