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

/// The only gate to one model runner: bids for it, queues its runs and starts them when the
/// cold-start gate has room.
class RunnerDispatcher : public std::enable_shared_from_this<RunnerDispatcher> {
 public:
  /// `buffers` outlives the dispatcher. `transfer` may be null.
  RunnerDispatcher(boost::asio::io_context& io, const Runner& runner, const Rules& rules,
                   std::unique_ptr<EngineClient> engine, RunBuffers& buffers,
                   BlockTransfer* transfer);
  ~RunnerDispatcher() { monitor_->Close(); }

  void Start();
  /// Ends the load polls. Called when nothing runs any more.
  void Close();
  /// Takes over changed limits. A changed address needs a new dispatcher.
  void Configure(const Runner& runner, const Rules& rules);
  const Runner& runner() const { return runner_; }

  /// Estimates the time to first token of a prompt for a team of this weight, or refuses.
  Result<Bid> MakeBid(const BidRequest& request, const RunTerms& terms);

  /// Queues the run, or refuses it as not_run. The run's buffer is open afterwards unless it was
  /// refused.
  std::optional<Error> Admit(RunRequest request, RunTerms terms);

  /// Ends a run that nobody waits for, whether it is queued or running. Unknown runs are ignored.
  void Stop(const RunAttempt& id);

  /// Orders the engine to load weights. No run starts between the order and the first load report
  /// after it, so that none begins with blocks of the old version.
  Awaitable<EngineCall> OrderLoad(LoadOrder order, Duration timeout);

  /// Weight version of the last load report, or "".
  std::string version() const;
  bool idle() const { return accepted_.empty(); }

  int64_t queued() const { return static_cast<int64_t>(queue_.size()); }
  int64_t running() const { return gate_.running(); }
  /// Concurrent runs that the gate admits now.
  int64_t limit() const { return gate_.limit(); }

 private:
  using Accepted = std::shared_ptr<AcceptedRun>;
  /// Blocks of an ended run that wait for proof that the engine did not change meanwhile.
  struct PendingRetain {
    BlockDemand blocks;
    uint64_t epoch = 0;
    TimePoint ended;
  };

  QueuedRequest WorkOf(const AcceptedRun& run) const;
  RunnerLoad LoadFor(const QueuedRequest& work, const RunTerms& terms,
                     const BlockResidency& residency) const;
  std::optional<Error> RefusalOf(const RunRequest& request) const;
  BlockResidency ResidencyOf(const std::vector<BlockId>& chain) const;

  void OnReport(const EngineProbe& probe);
  void RetainConfirmed();
  void Pump();
  void RefuseLate(TimePoint now);
  bool MayStart(TimePoint now) const;
  bool StartIsolated(TimePoint now);
  void StartRun(const Accepted& run);
  Awaitable<void> Drive(Accepted run);
  Awaitable<void> AwaitSettled(Accepted run);
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
  std::map<std::string, Accepted> running_;   ///< Runs that hold a slot of the gate.
  Accepted isolated_;                         ///< A suspect run that waits to run, or runs, alone.
  std::vector<PendingRetain> retains_;
  uint64_t epoch_ = 0;
  int64_t prefill_tokens_ = 0;  ///< Prompt tokens that the engine is computing.
  int64_t long_prefills_ = 0;
  int64_t loading_ = 0;     ///< Load orders without an answer.
  TimePoint fresh_from_{};  ///< More than the cold limit needs a report asked for after this time.
  TimePoint idle_since_{};
  Duration mean_run_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_RUNNER_DISPATCHER_H_
