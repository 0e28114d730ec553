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

/// Model runs on the runners of one host: serves the internal messages for bids and runs.
class AgentRuns {
 public:
  /// The references must outlive this object.
  AgentRuns(boost::asio::io_context& io, const Settings& settings, ConfigService& config,
            HttpClient& client);

  /// Sets the KV block transfer; null disables it. Must be called before runners are configured.
  void SetTransfer(BlockTransfer* transfer) { transfer_ = transfer; }

  /// Handle POST /internal/v1/bids and /internal/v1/runs. Respond with `refusal` if it is set,
  /// without decoding the request.
  Awaitable<void> HandleBids(HttpExchange& exchange, std::optional<Error> refusal);
  Awaitable<void> HandleRun(HttpExchange& exchange, std::optional<Error> refusal);
  /// Handle GET and DELETE /internal/v1/runs/{run}.
  Awaitable<void> HandleAttach(HttpExchange& exchange);
  Awaitable<void> HandleCancel(HttpExchange& exchange);

  /// Applies configuration changes and stops runs whose attach window has expired.
  void Tick(TimePoint now);

  /// Returns once the output of every accepted run has been delivered or discarded.
  Awaitable<void> Drain();

  /// Sets each runner's gauges of queued runs, running runs and concurrency limit.
  void UpdateMetrics(Metrics& metrics) const;

  /// Returns the dispatcher of a runner on this host, or null if the inventory has none.
  std::shared_ptr<RunnerDispatcher> Find(const std::string& runner);

 private:
  using Dispatcher = std::shared_ptr<RunnerDispatcher>;

  Dispatcher FindOrCreate(const ConfigSnapshot& config, const std::string& name);
  void Reconcile();
  Result<std::vector<Bid>> MakeBids(const BidRequest& request);
  std::optional<Error> Admit(RunRequest request);
  void StopRun(const RunAttempt& run);

  boost::asio::io_context& io_;
  const Settings& settings_;
  ConfigService& config_;
  HttpClient& client_;
  BlockTransfer* transfer_ = nullptr;
  std::optional<RunBuffers> buffers_;
  std::map<std::string, Dispatcher> dispatchers_;
  std::vector<Dispatcher> removed_;  ///< Dispatchers of removed or moved runners, until idle.
  int64_t revision_ = 0;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_AGENT_RUNS_H_
