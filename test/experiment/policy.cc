#include "experiment/policy.h"

#include <algorithm>
#include <limits>

namespace fuchsiaweir::experiment {
namespace {

/// The oracle orders a flooding team's prefill as if its requests had been queued this much later.
constexpr double kFloodDelaySeconds = 20;
/// The oracle refuses a flooding team's request above this TTFT.
constexpr double kMaxFloodTtftSeconds = 1;
/// Weight of the prefill and link time that a placement uses up for other requests. 0.15 gave a
/// lower p95 TTFT of returning prompts during Etnee's weight swaps than 0, 0.3 and 0.5, in a model
/// without overlap of fetches and prefill.
constexpr double kResourceTimeWeight = 0.15;
/// Prefill time of a block / link time that its fetch is charged with.
constexpr double kPrefillPerLinkTime = 5;
/// Estimated delay that each service call at a runner adds.
constexpr double kServiceCallDelaySeconds = 0.01;
/// Estimated duration of a run; a slot becomes free about every (duration / slots).
constexpr double kMeanRunSeconds = 2;
/// Link order of write-backs, after every fetch.
constexpr double kWriteBackOrder = 1e12;
/// Eviction value of a block without a future use, below that of any other block.
constexpr double kUnusedBlockValue = -1e15;

double SecondsSinceStart(TimePoint time) { return ToSeconds(time - TimePoint{}); }

/// Ids of the eligible runners by the host list.
std::vector<int> ListedRunners(const Request& request, const Fleet& fleet) {
  std::vector<int> listed;
  for (const Runner& runner : fleet.runners) {
    if (IsEligible(runner, request, false)) listed.push_back(runner.id);
  }
  return listed;
}

class RoundRobin : public Policy {
 public:
  int SelectRunner(const Request& request, const Fleet& fleet, TimePoint) override {
    const std::vector<int> listed = ListedRunners(request, fleet);
    if (listed.empty()) return kRefuse;
    return listed[next_++ % listed.size()];
  }

 private:
  size_t next_ = 0;
};

/// Selects the runner with the lowest load by its last report plus the dispatches since.
class LeastLoaded : public Policy {
 public:
  int SelectRunner(const Request& request, const Fleet& fleet, TimePoint) override {
    const std::vector<int> listed = ListedRunners(request, fleet);
    if (listed.empty()) return kRefuse;
    // Each scan starts at another runner, which spreads ties.
    const size_t start = next_++;
    int best = listed[start % listed.size()];
    for (size_t i = 1; i < listed.size(); ++i) {
      const int runner = listed[(start + i) % listed.size()];
      if (fleet.runners[runner].reported_load < fleet.runners[best].reported_load) best = runner;
    }
    return best;
  }

 private:
  size_t next_ = 0;
};

/// Selects the runner by rendezvous hashing of the first block, regardless of load.
class PrefixAffinity : public Policy {
 public:
  int SelectRunner(const Request& request, const Fleet& fleet, TimePoint) override {
    const std::vector<int> listed = ListedRunners(request, fleet);
    if (listed.empty()) return kRefuse;
    const std::vector<BlockKey> blocks = BlocksOf(request, 0);
    const BlockKey key = blocks.empty() ? request.session * 0x9e3779b97f4a7c15ULL : blocks[0];
    int best = listed[0];
    for (const int runner : listed) {
      if (Score(key, runner) > Score(key, best)) best = runner;
    }
    return best;
  }

 private:
  static uint64_t Score(BlockKey key, int runner) {
    uint64_t value = key ^ (static_cast<uint64_t>(runner + 1) * 0xd6e8feb86659fd93ULL);
    value = (value ^ (value >> 32)) * 0xd6e8feb86659fd93ULL;
    return value ^ (value >> 32);
  }
};

/// Has the true state of all queues, caches, links and cold starts, and the future returns of
/// prompts. Placement is greedy, so the results are a strong reference but no lower bound.
class Oracle : public Policy {
 public:
  int SelectRunner(const Request& request, const Fleet& fleet, TimePoint now) override {
    int best = kRefuse;
    double best_cost = std::numeric_limits<double>::max();
    double best_ttft = best_cost;
    Job job;
    job.request = &request;
    job.queued_at = now;
    for (const Runner& runner : fleet.runners) {
      if (!IsEligible(runner, request, true) || runner.loading) continue;
      job.runner = runner.id;
      job.blocks = BlocksOf(request, runner.weight_version);
      const Estimate estimate = EstimateTtft(*this, job, fleet, now);
      const double cost = estimate.ttft + kResourceTimeWeight * estimate.resource_time;
      if (cost >= best_cost) continue;
      best = runner.id;
      best_cost = cost;
      best_ttft = estimate.ttft;
    }
    // A flooding team gets idle capacity only.
    if (request.flood && best_ttft > kMaxFloodTtftSeconds) return kRefuse;
    return best;
  }

  Duration drain_delay() const override { return Duration(0); }

  bool Admits(const Runner& runner, TimePoint) override {
    return static_cast<int>(runner.active.size()) < runner.run_limit;
  }

  double PrefillOrder(const Job& job, TimePoint) override {
    // First come, first served: shortest-first orders raised the p95 TTFT of returning prompts,
    // because jobs that overtake invalidate the estimates of those already placed.
    return SecondsSinceStart(job.queued_at) + (job.request->flood ? kFloodDelaySeconds : 0);
  }

  std::vector<Fetch> PlanFetches(const Job& job, int resident, int, const Fleet& fleet,
                                 TimePoint now) override {
    const int best = EstimateTtft(*this, job, fleet, now).fetch_blocks;
    return Policy::PlanFetches(job, resident, best, fleet, now);
  }

  double LinkOrder(const Transfer& transfer, TimePoint) override {
    return transfer.write_back() ? kWriteBackOrder : SecondsSinceStart(transfer.queued_at);
  }

  bool ShouldWriteBack(const Request& request, TimePoint) override {
    return request.next_return != TimePoint::max() || request.shared_blocks > 0;
  }

  double EvictionValue(BlockKey, const StoredBlock& stored, const StoredBlock&,
                       TimePoint now) override {
    // Belady's algorithm: evicts the block whose next use is farthest in the future.
    return stored.next_return < now ? kUnusedBlockValue : -SecondsSinceStart(stored.next_return);
  }

  double AdmissionValue(BlockKey, const StoredBlock& incoming, TimePoint) override {
    return -SecondsSinceStart(incoming.next_return);
  }
};

template <typename T>
std::unique_ptr<Policy> Make(const Deployment&) {
  return std::make_unique<T>();
}

/// Seconds until a slot is free and all prefill ordered before the job is done.
double Backlog(Policy& policy, const Job& job, const Runner& runner, TimePoint now) {
  const double order = policy.PrefillOrder(job, now);
  double backlog = runner.computing == nullptr ? 0 : ToSeconds(runner.chunk_end - now);
  size_t ahead = 0;
  for (const Job* other : runner.active) {
    if (other->decoding || policy.PrefillOrder(*other, now) > order) continue;
    const int64_t in_chunk = other == runner.computing ? kBlockTokens : 0;
    backlog += ToSeconds(PrefillTime(std::max<int64_t>(0, other->remaining() - in_chunk)));
  }
  for (const Job* other : runner.queue) {
    if (policy.PrefillOrder(*other, now) > order) continue;
    backlog += ToSeconds(PrefillTime(other->remaining()));
    ++ahead;
  }
  const double slots = policy.RunLimit(runner);
  const double excess = static_cast<double>(runner.active.size() + ahead + 1) - slots;
  if (excess > 0) backlog += kMeanRunSeconds * excess / slots;
  return backlog;
}

/// Seconds for which the queued fetches and the current transfer occupy a store's link.
double LinkBacklog(const Store& store, TimePoint now) {
  double backlog = store.busy ? std::max(0.0, ToSeconds(store.busy_until - now)) : 0;
  for (const Transfer& transfer : store.queue) {
    if (!transfer.write_back()) backlog += ToSeconds(store.block_transfer_time());
  }
  return backlog;
}

}  // namespace

bool Policy::Admits(const Runner& runner, TimePoint) {
  return static_cast<int>(runner.active.size()) < kRunnerSlots;
}

double Policy::PrefillOrder(const Job& job, TimePoint) { return SecondsSinceStart(job.queued_at); }

std::vector<Fetch> Policy::PlanFetches(const Job&, int resident, int stored, const Fleet&,
                                       TimePoint) {
  std::vector<Fetch> fetches(stored);
  for (int i = 0; i < stored; ++i) fetches[i].index = resident + i;
  return fetches;
}

double Policy::LinkOrder(const Transfer& transfer, TimePoint) {
  return SecondsSinceStart(transfer.queued_at);
}

double Policy::EvictionValue(BlockKey, const StoredBlock& stored, const StoredBlock&, TimePoint) {
  return SecondsSinceStart(stored.last_use);
}

double Policy::AdmissionValue(BlockKey, const StoredBlock&, TimePoint) {
  return std::numeric_limits<double>::infinity();
}

bool Policy::Push(Job&, const Runner& runner, TimePoint) {
  return runner.queue.size() < kMaxQueuedJobs;
}

Job* Policy::Pop(const Runner& runner, TimePoint now) {
  const auto before = [this, now](const Job* a, const Job* b) {
    return PrefillOrder(*a, now) < PrefillOrder(*b, now);
  };
  if (runner.queue.empty()) return nullptr;
  return *std::min_element(runner.queue.begin(), runner.queue.end(), before);
}

bool IsEligible(const Runner& runner, const Request& request, bool sees_drain_orders) {
  if (runner.is_service != request.service_call) return false;
  return sees_drain_orders ? !runner.draining && runner.up : runner.listed;
}

Estimate EstimateTtft(Policy& policy, const Job& job, const Fleet& fleet, TimePoint now) {
  const Runner& runner = fleet.runners[job.runner];
  const double backlog = Backlog(policy, job, runner, now);
  if (job.request->service_call) return {backlog + kServiceCallDelaySeconds * runner.load(), 0, 0};
  const double slowdown = runner.slowdown();
  const int resident = runner.cache.PrefixLength(job.blocks);
  const int stored = fleet.StoredRunLength(job.blocks, resident);
  std::vector<double> links;
  links.reserve(fleet.stores.size());
  for (const Store& store : fleet.stores) links.push_back(LinkBacklog(store, now));
  Estimate best{std::numeric_limits<double>::max(), 0, 0};
  double fetch_time = 0;
  for (int fetch = 0; fetch <= stored; ++fetch) {
    const int64_t tokens = job.request->prompt_tokens - (resident + fetch) * kBlockTokens;
    const double compute = ToSeconds(PrefillTime(tokens));
    const double ttft = slowdown * (std::max(backlog, fetch_time) + compute);
    const double link = ToSeconds(PrefillTime(fetch * kBlockTokens)) / kPrefillPerLinkTime;
    if (ttft < best.ttft) best = {ttft, fetch, compute + link};
    if (fetch == stored) break;
    const int store = fleet.StoreIndex(job.blocks[resident + fetch]);
    links[store] += ToSeconds(fleet.stores[store].block_transfer_time());
    fetch_time = std::max(fetch_time, links[store]);
  }
  return best;
}

const std::vector<PolicyEntry>& Policies() {
  static const auto& policies = *new std::vector<PolicyEntry>{
      {"round_robin", Make<RoundRobin>},
      {"least_loaded", Make<LeastLoaded>},
      {"prefix_affinity", Make<PrefixAffinity>},
      {"fuchsiaweir", MakeProductPolicy},
      {"prefix_index", MakeIndexPolicy},
      {"load_gossip", MakeGossipPolicy},
      {"oracle", Make<Oracle>},
  };
  return policies;
}

}  // namespace fuchsiaweir::experiment
