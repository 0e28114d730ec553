#ifndef FUCHSIAWEIR_GATEWAY_ADMISSION_H_
#define FUCHSIAWEIR_GATEWAY_ADMISSION_H_

#include <map>
#include <optional>
#include <string>

#include "core/retry_budget.h"
#include "gateway/crash_attribution.h"
#include "gateway/fleet_view.h"
#include "gateway/forwarded_request.h"
#include "net/metrics.h"

namespace fuchsiaweir {

/// Decides by the desired state whether a caller's request may be forwarded, and what repeating it
/// may cost.
class Admission {
 public:
  Admission(FleetView& view, const CrashAttribution& blame, Metrics& metrics)
      : view_(view), blame_(blame), metrics_(metrics) {}

  /// Fills in route, team, service, deadline and digest, or returns why the request is refused.
  std::optional<Refusal> Admit(ForwardedRequest& request);
  /// Takes one more send to a service from this gateway's part of the common budget.
  bool TakeRetry(const std::string& service);

 private:
  FleetView& view_;
  const CrashAttribution& blame_;
  Metrics& metrics_;
  std::map<std::string, RetryBudget> budgets_;  ///< By service.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_ADMISSION_H_
