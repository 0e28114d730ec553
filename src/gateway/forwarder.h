#ifndef FUCHSIAWEIR_GATEWAY_FORWARDER_H_
#define FUCHSIAWEIR_GATEWAY_FORWARDER_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/placement.h"
#include "core/retry_after_estimator.h"
#include "core/token_demand.h"
#include "gateway/admission.h"
#include "gateway/crash_attribution.h"
#include "gateway/fleet_view.h"
#include "gateway/forwarded_request.h"
#include "gateway/part_watch.h"
#include "gateway/runner_channel.h"
#include "net/http_server.h"

namespace fuchsiaweir {

/// Forwards callers' requests to runners: admission, placement, sending, repeating and answering.
class Forwarder : public Component {
 public:
  Forwarder(Kernel& kernel, FleetView& view, PartWatch& parts);
  ~Forwarder() override;

  Awaitable<void> Handle(HttpExchange& exchange);
  /// Takes another gateway's report that a runner crashed while it ran a request.
  void OnCrash(const CrashMessage& message) { blame_.OnCrash(message); }
  /// Requests that have not been answered.
  size_t in_flight() const { return requests_.size(); }

 private:
  enum class AttemptEnd;

  Awaitable<void> Run(ForwardedRequest& request);
  Awaitable<Placement> WaitForPlace(ForwardedRequest& request);
  Placement PlaceNow(ForwardedRequest& request, TimePoint now);
  Awaitable<AttemptEnd> Try(ForwardedRequest& request, const Placement& placement);
  Awaitable<AttemptEnd> Exchange(ForwardedRequest& request, RunnerChannel& channel,
                                 const std::string& runner, std::string header);
  Awaitable<AttemptEnd> Relay(ForwardedRequest& request, RunnerChannel& channel,
                              const RunnerHeader& header, const std::string& runner);
  AttemptEnd EndBroken(ForwardedRequest& request, RunnerChannel& channel,
                       const std::string& runner);
  std::string EncodeOrder(ForwardedRequest& request, const RunnerState& runner);
  bool MayRepeat(ForwardedRequest& request, AttemptEnd end);
  Awaitable<void> Refuse(ForwardedRequest& request, Refusal refusal);
  Refusal RefusalFor(const ForwardedRequest& request, const Placement& placement);
  Refusal FailureFor(const ForwardedRequest& request) const;
  void Tick(TimePoint now);
  void CheckRequest(ForwardedRequest& request, TimePoint now);
  double Random();

  FleetView& view_;
  PartWatch& parts_;
  Metrics& metrics_;
  RunnerChannels channels_;
  CrashAttribution blame_;
  Admission admission_;
  std::set<ForwardedRequest*> requests_;
  std::map<std::string, RetryAfterEstimator> paces_;  ///< By service.
  std::map<std::string, TokenDemand> demands_;        ///< By service.
  uint64_t random_state_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_FORWARDER_H_
