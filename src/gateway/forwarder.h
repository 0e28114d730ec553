#ifndef FUCHSIAWEIR_GATEWAY_FORWARDER_H_
#define FUCHSIAWEIR_GATEWAY_FORWARDER_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/placement.h"
#include "core/poison_tracker.h"
#include "core/refusal_pace.h"
#include "core/retry_budget.h"
#include "core/token_demand.h"
#include "gateway/fleet_view.h"
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
  void OnCrash(const CrashMessage& message);
  /// Requests that have not been answered.
  size_t in_flight() const { return requests_.size(); }

 private:
  struct Request;
  struct Refusal;
  enum class AttemptEnd;

  std::optional<Refusal> Admit(Request& request);
  Awaitable<void> Run(Request& request);
  Awaitable<Placement> WaitForPlace(Request& request);
  Placement PlaceNow(Request& request, TimePoint now);
  Awaitable<AttemptEnd> Try(Request& request, const Placement& placement);
  Awaitable<AttemptEnd> Exchange(Request& request, RunnerChannel& channel,
                                 const std::string& runner, std::string header);
  Awaitable<AttemptEnd> Relay(Request& request, RunnerChannel& channel, const RunnerHeader& header,
                              const std::string& runner);
  AttemptEnd EndBroken(Request& request, RunnerChannel& channel, const std::string& runner);
  std::string EncodeOrder(Request& request, const RunnerState& runner);
  bool MayRepeat(Request& request, AttemptEnd end);
  bool TakeRetry(const std::string& service);
  Awaitable<void> Refuse(Request& request, Refusal refusal);
  Refusal RefusalFor(const Request& request, const Placement& placement);
  Refusal FailureFor(const Request& request) const;
  void LogEnd(const Request& request, const std::string& outcome, int status);
  void Tick(TimePoint now);
  void CheckRequest(Request& request, TimePoint now);
  void Blame(const Request& request, const std::string& runner);
  void ConfirmBlames(TimePoint now);
  double Random();

  /// A request that lost its runner, and what shows whether the runner crashed.
  struct PendingBlame {
    std::string digest;
    std::string runner;
    int64_t started_ms = 0;
    TimePoint since;
  };

  FleetView& view_;
  PartWatch& parts_;
  Metrics& metrics_;
  RunnerChannels channels_;
  std::set<Request*> requests_;
  std::map<std::string, RetryBudget> budgets_;  ///< By service.
  std::map<std::string, RefusalPace> paces_;    ///< By service.
  std::map<std::string, TokenDemand> demands_;  ///< By service.
  PoisonTracker poison_;
  std::vector<PendingBlame> blames_;
  uint64_t random_state_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_FORWARDER_H_
