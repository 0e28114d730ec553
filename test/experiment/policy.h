#ifndef FUCHSIAWEIR_EXPERIMENT_POLICY_H_
#define FUCHSIAWEIR_EXPERIMENT_POLICY_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "experiment/time_model.h"

namespace fuchsiaweir::experiment {

constexpr int kRefuse = -1;

/// What an engine reported about itself.
struct EngineReport {
  int runner = 0;
  int running = 0;
  Duration token_time{};
};

/// One block to fetch.
struct Fetch {
  int index = 0;  ///< Place of the block in the prompt.
  /// Prefill waits this long for the block before it computes it.
  Duration patience = Seconds(5);
};

/// What routing cost one entry up to now.
struct RoutingCost {
  int64_t messages = 0;  ///< Sent and received, without dispatches.
  int64_t state_bytes = 0;
};

/// The decisions under comparison. The defaults are those of a plain stack: first come, first
/// served, every stored block fetched, the least recently used block evicted from a store.
class Policy {
 public:
  virtual ~Policy() = default;

  /// Picks a runner for the request, or kRefuse.
  virtual int Place(const Request& request, const Fleet& fleet, TimePoint now) = 0;

  virtual RoutingCost routing_cost() const { return {}; }

  /// Round trips between entry and agents before dispatch.
  virtual int bid_round_trips() const { return 0; }

  /// Delay until an order to drain a data centre reaches the policy. Plain stacks read it from the
  /// platform's host list, which lags by 5 s.
  virtual Duration drain_delay() const { return Seconds(5); }

  /// Queues the job at its runner, or refuses it.
  virtual bool Push(Job& job, const Runner& runner, TimePoint now);

  /// Takes the next job from the runner's queue, or returns null.
  virtual Job* Pop(const Runner& runner, TimePoint now);

  /// Queued jobs that are given up to hold deadlines and bounds.
  virtual std::vector<Job*> TakeRefused(const Runner&, TimePoint) { return {}; }

  /// Whether the runner may start one more run.
  virtual bool Admits(const Runner& runner, TimePoint now);

  /// Runs that the runner is believed to bear at once; for estimates.
  virtual int RunLimit(const Runner& runner) const { return runner.cold_capacity; }

  /// Jobs with a lower value start and compute first.
  virtual double PrefillOrder(const Job& job, TimePoint now);

  /// Chooses the fetches among the `stored` blocks that follow the `resident` ones.
  virtual std::vector<Fetch> PlanFetches(const Job& job, int resident, int stored,
                                         const Fleet& fleet, TimePoint now);

  /// Transfers with a lower value use the link first.
  virtual double LinkOrder(const Transfer& transfer, TimePoint now);

  /// Whether the blocks of a prompt are written to the stores.
  virtual bool Retains(const Request&, TimePoint) { return true; }

  /// Write-backs that may wait at a link.
  virtual size_t MaxWriteBacks() const { return 256; }

  /// The stored block with the lowest value is evicted first.
  virtual double BlockValue(BlockKey block, const StoredBlock& stored, const StoredBlock& incoming,
                            TimePoint now);

  /// A new block replaces the lowest stored one only when this value is higher.
  virtual double AdmissionValue(BlockKey block, const StoredBlock& incoming, TimePoint now);

  virtual void BlockStored(BlockKey, const StoredBlock&) {}
  virtual void BlockDropped(BlockKey) {}

  virtual void Started(const Job&) {}
  /// A placed job ended, was refused or was lost.
  virtual void Left(const Job&) {}
  virtual void Finished(const Job&, Duration /*token_time*/) {}

  /// A runner's engine turned cold. An agent ordered the weight load that ended, or sees the
  /// connections to the former instance close.
  virtual void NewInstance(const Runner&) {}

  /// Receives each runner's load report, which lags by one report interval.
  virtual void Report(const EngineReport&) {}
};

struct PolicyEntry {
  std::string name;
  std::unique_ptr<Policy> (*make)(const Deployment&);
};

/// The policies by name, in the order of the report.
const std::vector<PolicyEntry>& Policies();

std::unique_ptr<Policy> MakeProductPolicy(const Deployment& deployment);
/// The same with an index of all caches in the entry, or with gossiped loads, in place of bids.
std::unique_ptr<Policy> MakeIndexPolicy(const Deployment& deployment);
std::unique_ptr<Policy> MakeGossipPolicy(const Deployment& deployment);

/// Whether new work may be sent to the runner as far as the drain orders and the host list tell.
bool Serves(const Runner& runner, const Request& request, bool sees_orders);

/// Exact estimate of a request's time to first token, from full knowledge of a runner and links.
struct Estimate {
  double ttft = 0;  ///< Seconds.
  int fetch = 0;    ///< Best number of blocks to fetch.
  double work = 0;  ///< Seconds of prefill and link that the request takes from others.
};
Estimate EstimateOn(Policy& policy, const Job& job, const Fleet& fleet, TimePoint now);

}  // namespace fuchsiaweir::experiment

#endif  // FUCHSIAWEIR_EXPERIMENT_POLICY_H_
