#ifndef FUCHSIAWEIR_NET_AGENT_RUNS_H_
#define FUCHSIAWEIR_NET_AGENT_RUNS_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/settings.h"
#include "net/block_transfer.h"
#include "net/config_service.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/metrics.h"
#include "net/run_buffers.h"
#include "net/runner_dispatcher.h"

namespace fuchsiaweir {

/// Model runs on the runners of one host: answers the internal messages about bids and runs.
class AgentRuns {
 public:
  /// The references outlive the object.
  AgentRuns(boost::asio::io_context& io, const Settings& settings, ConfigService& config,
            HttpClient& client);

  /// Sets what moves KV blocks; null moves none. Called before any runner is known.
  void SetTransfer(BlockTransfer* transfer) { transfer_ = transfer; }

  /// POST /internal/v1/bids and /internal/v1/runs. With a refusal, nothing is looked at.
  Awaitable<void> HandleBids(HttpExchange& exchange, std::optional<Error> refusal);
  Awaitable<void> HandleRun(HttpExchange& exchange, std::optional<Error> refusal);
  /// GET and DELETE /internal/v1/runs/{run}.
  Awaitable<void> HandleAttach(HttpExchange& exchange);
  Awaitable<void> HandleCancel(HttpExchange& exchange);

  /// Follows the configuration and drops runs whose attach window has passed.
  void Tick(TimePoint now);

  /// Returns once every accepted run has ended and been read, or has no caller any more.
  Awaitable<void> Finish();

  /// Sets the gauges of queue, running runs and gate limit of each runner.
  void Report(Metrics& metrics) const;

  /// Returns the dispatcher of a runner that the inventory has on this host, or null.
  std::shared_ptr<RunnerDispatcher> Find(const std::string& runner);

 private:
  using Dispatcher = std::shared_ptr<RunnerDispatcher>;

  Dispatcher FindIn(const ConfigSnapshot& config, const std::string& name);
  void Reconcile();
  Result<std::vector<Bid>> CollectBids(const BidRequest& request);
  std::optional<Error> Admit(RunRequest request);
  void StopRun(const RunAttempt& run);

  boost::asio::io_context& io_;
  const Settings& settings_;
  ConfigService& config_;
  HttpClient& client_;
  BlockTransfer* transfer_ = nullptr;
  std::optional<RunBuffers> buffers_;
  std::map<std::string, Dispatcher> dispatchers_;
  std::vector<Dispatcher> leaving_;  ///< Runners that left the inventory and still run something.
  int64_t revision_ = 0;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_AGENT_RUNS_H_
