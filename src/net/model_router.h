#ifndef FUCHSIAWEIR_NET_MODEL_ROUTER_H_
#define FUCHSIAWEIR_NET_MODEL_ROUTER_H_

#include <absl/random/random.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/candidate_choice.h"
#include "core/completion_api.h"
#include "core/dispatch_choice.h"
#include "core/hot_prefix_detector.h"
#include "core/inventory.h"
#include "core/retry_budget.h"
#include "core/retry_policy.h"
#include "net/bid_collector.h"
#include "net/component_registry.h"
#include "net/config_service.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/metrics.h"
#include "net/run_stream.h"
#include "net/service_gate.h"
#include "net/suspect_service.h"
#include "net/team_quotas.h"

namespace fuchsiaweir {

/// Serves completions: requests bids from candidate runners, dispatches the run to the best one,
/// relays its output to the caller and resumes on another runner after a failure.
class ModelRouter {
 public:
  explicit ModelRouter(ComponentRegistry& components);

  Awaitable<void> Serve(HttpExchange& exchange, CompletionRequest request, Team team);

 private:
  struct Session;
  struct Target;

  /// Runs attempts until one completes, the caller disconnects or no retry is allowed.
  Awaitable<std::optional<Error>> RunAttempts(Session& session);
  Awaitable<std::optional<Error>> RunAttempt(Session& session);
  Awaitable<Result<Target>> ChooseTarget(Session& session);
  Awaitable<CollectedBids> RequestBids(Session& session, std::vector<const CandidateRunner*> from);
  Awaitable<RunEvent> Relay(Session& session, RunStream& stream);
  Awaitable<bool> PrepareRetry(Session& session, const Error& failure);
  Error FinalError(const Session& session, Error last) const;

  void Configure();
  /// Returns an error if the request is not admitted.
  std::optional<Error> PrepareSession(Session& session);
  /// Returns an error if the request must not run again because it crashed runners.
  std::optional<Error> CheckSuspect(Session& session);
  std::optional<Error> RecordCrash(Session& session, const Error& failure);
  Result<Target> PickBid(Session& session, const CollectedBids& collected, const std::string& home);
  void RecordMetrics(const Session& session, const std::optional<Error>& failure);

  boost::asio::io_context& io_;
  ConfigService& config_;
  ServiceGate& gate_;
  SuspectService& suspects_;
  TeamQuotas& quotas_;
  HttpClient& agents_;
  Metrics& metrics_;

  int64_t configured_generation_ = -1;
  std::shared_ptr<const CandidateTable> candidates_;
  HotPrefixDetector hot_prefixes_;
  int64_t retry_budget_percent_ = Rules{}.retry_budget_percent;
  RetryBudget retry_budget_;
  RetryRules retry_rules_;
  absl::BitGen random_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_MODEL_ROUTER_H_
