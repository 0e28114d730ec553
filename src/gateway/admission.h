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

/// Checks callers' requests against the desired state and limits their retries.
class AdmissionController {
 public:
  AdmissionController(FleetView& view, CrashAttribution& crash_attribution, Metrics& metrics)
      : view_(view), crash_attribution_(crash_attribution), metrics_(metrics) {}

  /// Sets the request's route, team, service, deadline and digest, or returns why it is refused.
  std::optional<Refusal> Admit(ForwardedRequest& request);
  /// Takes one retry from this gateway's share of the service's retry budget. Returns false when it
  /// is spent.
  bool TryConsumeRetry(const std::string& service);

 private:
  /// Refuses for good what the desired state lacks, or for now if that state may be an old one.
  Refusal RefuseUnknown(int status, ErrorCode code, std::string reason) const;

  FleetView& view_;
  CrashAttribution& crash_attribution_;
  Metrics& metrics_;
  std::map<std::string, RetryBudget> retry_budgets_;  ///< By service.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_ADMISSION_H_
