#ifndef FUCHSIAWEIR_NET_RUNNER_DISPATCHER_H_
#define FUCHSIAWEIR_NET_RUNNER_DISPATCHER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/bid.h"
#include "core/cold_start_gate.h"
#include "core/fair_queue.h"
#include "core/inventory.h"
#include "net/block_transfer.h"
#include "net/engine_monitor.h"
#include "net/engine_run.h"
#include "net/run_buffers.h"

namespace fuchsiaweir {

/// Admission control and queue of one model runner: computes bids, queues runs and starts them
/// within the concurrency limit of the cold-start gate. All runs of the runner pass through it.
class RunnerDispatcher : public std::enable_shared_from_this<RunnerDispatcher> {
 public:
  /// `buffers` outlives the dispatcher. `transfer` may be null.
  RunnerDispatcher(boost::asio::io_context& io, const Runner& runner, const Rules& rules,
                   std::unique_ptr<EngineClient> engine, RunBuffers& buffers,
                   BlockTransfer* transfer);
  ~RunnerDispatcher() { monitor_->Close(); }

  void Start();
  /// Stops the load polls. Must not be called while a run is active.
  void Close();
  /// Applies changed limits. A changed address needs a new dispatcher.
  void Configure(const Runner& runner, const Rules& rules);
  const Runner& runner() const { return runner_; }

  /// Estimates the time to first token of a prompt under the terms, or refuses the request.
  Result<Bid> MakeBid(const BidRequest& request, const RunTerms& terms);

  /// Queues the run and opens its buffer, or refuses the run as not_run.
  std::optional<Error> Admit(RunRequest request, RunTerms terms);

  /// Cancels a queued or running run that has no caller any more. Unknown runs are ignored.
  void Stop(const RunAttempt& id);

  /// Orders the engine to load weights. No run starts between the order and the next load report,
  /// so that none starts with blocks of the old version.
  Awaitable<EngineCall> OrderLoad(LoadOrder order, Duration timeout);

  /// Weight version in the last load report; empty before the first one.
  std::string version() const;
  bool idle() const { return accepted_.empty(); }

  int64_t queued() const { return static_cast<int64_t>(queue_.size()); }
  int64_t running() const { return gate_.running(); }
  /// Current limit of concurrent runs.
  int64_t limit() const { return gate_.limit(); }

 private:
  using Accepted = std::shared_ptr<AcceptedRun>;
  /// Blocks of a completed run, to be retained once a later load report confirms the same engine
  /// epoch.
  struct PendingRetain {
    BlockDemand blocks;
    uint64_t epoch = 0;
    TimePoint ended;
  };

  QueuedRequest ToQueuedRequest(const AcceptedRun& run) const;
  RunnerLoad LoadFor(const QueuedRequest& queued_request, const RunTerms& terms,
                     const BlockResidency& residency) const;
  std::optional<Error> CheckAdmission(const RunRequest& request) const;
  BlockResidency ResidencyOf(const std::vector<BlockId>& chain) const;

  void OnLoadPoll(const EngineProbe& probe);
  void RetainConfirmed();
  void StartReadyRuns();
  void RefuseDropped(TimePoint now);
  bool MayStart(TimePoint now) const;
  /// Starts the suspect run if the runner is idle. Returns whether it blocks all other runs.
  bool StartIsolatedRun(TimePoint now);
  void StartRun(const Accepted& run);
  Awaitable<void> ExecuteRun(Accepted run);
  Awaitable<void> AwaitEngineRelease(Accepted run);
  void OnRunEnded(const Accepted& run, const RunEnd& end, TimePoint started);
  void OnPrefillEnded(AcceptedRun& run);
  void RefuseQueued(const std::string& key, const Error& error);
  void RefuseAllQueued(const Error& error);
  void CancelOnEngine(const std::string& key);
  int64_t RunsDecoding() const;
  void UpdateBusy();

  boost::asio::io_context& io_;
  Runner runner_;
  Rules rules_;
  std::shared_ptr<EngineClient> engine_;
  std::shared_ptr<EngineMonitor> monitor_;
  RunBuffers& buffers_;
  BlockTransfer* transfer_;
  ColdStartGate gate_;
  FairQueue queue_;
  std::map<std::string, Accepted> accepted_;  ///< All queued and running runs by key.
  std::map<std::string, Accepted> running_;   ///< Runs admitted by the gate.
  Accepted isolated_run_;  ///< A suspect run that must run alone, waiting or running.
  std::vector<PendingRetain> pending_retains_;
  uint64_t epoch_ = 0;
  int64_t prefilling_tokens_ = 0;  ///< Prompt tokens in prefill on the engine.
  int64_t long_prefills_ = 0;
  int64_t pending_load_orders_ = 0;  ///< Load orders without a response.
  TimePoint min_report_time_{};  ///< Runs above the cold limit need a report requested since then.
  TimePoint idle_since_{};
  Duration mean_run_time_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_RUNNER_DISPATCHER_H_
