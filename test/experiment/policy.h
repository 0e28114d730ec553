#ifndef FUCHSIAWEIR_EXPERIMENT_POLICY_H_
#define FUCHSIAWEIR_EXPERIMENT_POLICY_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "experiment/time_model.h"

namespace fuchsiaweir::experiment {

/// Returned in place of a runner when the request is refused.
constexpr int kRefuse = -1;

/// Delay of the platform's host list.
constexpr Duration kHostListDelay = Seconds(5);

/// Load report of an engine.
struct EngineReport {
  int runner = 0;
  int running = 0;
  Duration token_time{};
};

/// One block to fetch.
struct Fetch {
  int index = 0;  ///< Index of the block in the prompt.
  /// Prefill computes the block if it has not arrived by then.
  Duration timeout = Seconds(5);
};

/// Cumulative routing cost of one entry.
struct RoutingCost {
  int64_t messages = 0;     ///< Sent and received, without dispatches.
  int64_t state_bytes = 0;  ///< Memory for the state of all runners.
};

/// Interface of the compared policies. The defaults model a plain serving stack: first come, first
/// served, every stored block fetched, least-recently-used eviction from the stores.
class Policy {
 public:
  virtual ~Policy() = default;

  /// Returns a runner for the request, or kRefuse.
  virtual int SelectRunner(const Request& request, const Fleet& fleet, TimePoint now) = 0;

  virtual RoutingCost routing_cost() const { return {}; }

  /// Round trips between entry and agents before dispatch.
  virtual int bid_round_trips() const { return 0; }

  /// Delay until the policy applies an order to drain a data centre. Plain stacks read it from the
  /// platform's host list.
  virtual Duration drain_delay() const { return kHostListDelay; }

  /// Enqueues the job at its runner, or returns false to refuse it.
  virtual bool Push(Job& job, const Runner& runner, TimePoint now);

  /// Returns the next job of the runner's queue to start, or null.
  virtual Job* Pop(const Runner& runner, TimePoint now);

  /// Removes and returns queued jobs that are refused to meet deadlines and queue bounds.
  virtual std::vector<Job*> TakeRefused(const Runner&, TimePoint) { return {}; }

  /// Returns whether the runner may start one more run.
  virtual bool Admits(const Runner& runner, TimePoint now);

  /// Estimated maximum number of concurrent runs of the runner.
  virtual int RunLimit(const Runner& runner) const { return runner.run_limit; }

  /// Jobs with a lower value start and compute first.
  virtual double PrefillOrder(const Job& job, TimePoint now);

  /// Selects the blocks to fetch among the `stored` ones that follow the `resident` ones.
  virtual std::vector<Fetch> PlanFetches(const Job& job, int resident, int stored,
                                         const Fleet& fleet, TimePoint now);

  /// Transfers with a lower value use the link first.
  virtual double LinkOrder(const Transfer& transfer, TimePoint now);

  /// Returns whether the blocks of a prompt are written to the stores.
  virtual bool ShouldWriteBack(const Request&, TimePoint) { return true; }

  /// Maximum number of write-backs queued at a link.
  virtual size_t MaxQueuedWriteBacks() const { return 256; }

  /// The stored block with the lowest value is evicted first.
  virtual double EvictionValue(BlockKey block, const StoredBlock& stored,
                               const StoredBlock& incoming, TimePoint now);

  /// A new block replaces the stored block of lowest value only if this value is higher.
  virtual double AdmissionValue(BlockKey block, const StoredBlock& incoming, TimePoint now);

  virtual void OnBlockStored(BlockKey, const StoredBlock&) {}
  virtual void OnBlockDropped(BlockKey) {}

  virtual void OnRunStarted(const Job&) {}
  /// Called when a placed job has finished, was refused or was lost.
  virtual void OnJobEnded(const Job&) {}
  virtual void OnRunFinished(const Job&, Duration /*token_time*/) {}

  /// Called when a runner's engine becomes cold: a weight load that the agent ordered has ended, or
  /// the connections to the previous instance have closed.
  virtual void OnNewInstance(const Runner&) {}

  /// Receives each runner's load report, one report interval late.
  virtual void OnEngineReport(const EngineReport&) {}
};

struct PolicyEntry {
  std::string name;
  std::unique_ptr<Policy> (*make)(const Deployment&);
};

/// All policies, in the order of the report.
const std::vector<PolicyEntry>& Policies();

std::unique_ptr<Policy> MakeProductPolicy(const Deployment& deployment);
/// The product's policy with an index of all caches in the entry in place of bids.
std::unique_ptr<Policy> MakeIndexPolicy(const Deployment& deployment);
/// The product's policy with gossiped loads in place of bids.
std::unique_ptr<Policy> MakeGossipPolicy(const Deployment& deployment);

/// Returns whether the runner serves the type of request and is in service: by the drain orders if
/// `sees_drain_orders`, else by the host list.
bool IsEligible(const Runner& runner, const Request& request, bool sees_drain_orders);

/// Estimate of a request's time to first token from the true state of a runner and the links.
struct Estimate {
  double ttft = 0;           ///< Seconds.
  int fetch_blocks = 0;      ///< Number of blocks to fetch that gives this TTFT.
  double resource_time = 0;  ///< Seconds of prefill and link time that the request uses.
};
Estimate EstimateTtft(Policy& policy, const Job& job, const Fleet& fleet, TimePoint now);

}  // namespace fuchsiaweir::experiment

#endif  // FUCHSIAWEIR_EXPERIMENT_POLICY_H_
