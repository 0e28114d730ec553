#include "experiment/policy.h"

#include <algorithm>
#include <limits>

namespace fuchsiaweir::experiment {
namespace {

constexpr double kFloodDelaySeconds = 20;
constexpr double kFloodTtftSeconds = 1;
/// Weight of the work that a placement takes from other requests. Of 0, 0.15, 0.3 and 0.5 it gave
/// the lowest p95 of returns in Etnee's weight swaps, tried before fetches could overlap prefill.
constexpr double kSharedCost = 0.15;

double Seconds(TimePoint time) { return ToSeconds(time - TimePoint{}); }

/// Indices of the runners that a plain stack may send the request to.
std::vector<int> Listed(const Request& request, const Fleet& fleet) {
  std::vector<int> listed;
  for (const Runner& runner : fleet.runners) {
    if (Serves(runner, request, false)) listed.push_back(runner.id);
  }
  return listed;
}

class RoundRobin : public Policy {
 public:
  int Place(const Request& request, const Fleet& fleet, TimePoint) override {
    const std::vector<int> listed = Listed(request, fleet);
    if (listed.empty()) return kRefuse;
    return listed[next_++ % listed.size()];
  }

 private:
  size_t next_ = 0;
};

/// Fewest runs by the last load report plus the dispatches since.
class LeastLoaded : public Policy {
 public:
  int Place(const Request& request, const Fleet& fleet, TimePoint) override {
    const std::vector<int> listed = Listed(request, fleet);
    if (listed.empty()) return kRefuse;
    // The scan starts at another runner each time, so that ties spread.
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

/// A fixed runner per first block, whatever its load.
class PrefixAffinity : public Policy {
 public:
  int Place(const Request& request, const Fleet& fleet, TimePoint) override {
    const std::vector<int> listed = Listed(request, fleet);
    if (listed.empty()) return kRefuse;
    const std::vector<BlockKey> blocks = BlocksOf(request, 0);
    const BlockKey home = blocks.empty() ? request.session * 0x9e3779b97f4a7c15ULL : blocks[0];
    int best = listed[0];
    for (const int runner : listed) {
      if (Weight(home, runner) > Weight(home, best)) best = runner;
    }
    return best;
  }

 private:
  static uint64_t Weight(BlockKey home, int runner) {
    uint64_t value = home ^ (static_cast<uint64_t>(runner + 1) * 0xd6e8feb86659fd93ULL);
    value = (value ^ (value >> 32)) * 0xd6e8feb86659fd93ULL;
    return value ^ (value >> 32);
  }
};

/// Knows every queue, cache, link, cold start and return. It places greedily, so it is a strong
/// reference and no proven lower bound.
class Oracle : public Policy {
 public:
  int Place(const Request& request, const Fleet& fleet, TimePoint now) override {
    int best = kRefuse;
    double best_cost = std::numeric_limits<double>::max();
    double best_ttft = best_cost;
    Job job;
    job.request = &request;
    job.queued_at = now;
    for (const Runner& runner : fleet.runners) {
      if (!Serves(runner, request, true) || runner.loading) continue;
      job.runner = runner.id;
      job.blocks = BlocksOf(request, runner.weight_version);
      const Estimate estimate = EstimateOn(*this, job, fleet, now);
      const double cost = estimate.ttft + kSharedCost * estimate.work;
      if (cost >= best_cost) continue;
      best = runner.id;
      best_cost = cost;
      best_ttft = estimate.ttft;
    }
    // A flooding team gets idle capacity only.
    if (request.flood && best_ttft > kFloodTtftSeconds) return kRefuse;
    return best;
  }

  Duration drain_delay() const override { return Duration(0); }

  bool Admits(const Runner& runner, TimePoint) override {
    return static_cast<int>(runner.active.size()) < runner.cold_capacity;
  }

  double PrefillOrder(const Job& job, TimePoint) override {
    // First come, first served: in trials shortest-first orders raised the p95 of returns, because
    // jobs that overtake falsify the estimates of those already placed. A flooding team yields.
    return Seconds(job.queued_at) + (job.request->flood ? kFloodDelaySeconds : 0);
  }

  std::vector<Fetch> PlanFetches(const Job& job, int resident, int, const Fleet& fleet,
                                 TimePoint now) override {
    const int best = EstimateOn(*this, job, fleet, now).fetch;
    return Policy::PlanFetches(job, resident, best, fleet, now);
  }

  double LinkOrder(const Transfer& transfer, TimePoint) override {
    return transfer.write_back() ? 1e12 : Seconds(transfer.queued_at);
  }

  bool Retains(const Request& request, TimePoint) override {
    return request.next_return != TimePoint::max() || request.shared_blocks > 0;
  }

  double BlockValue(BlockKey, const StoredBlock& stored, const StoredBlock&,
                    TimePoint now) override {
    // Belady's rule: the block whose next use is farthest away leaves first.
    return stored.next_return < now ? -1e15 : -Seconds(stored.next_return);
  }

  double AdmissionValue(BlockKey, const StoredBlock& incoming, TimePoint) override {
    return -Seconds(incoming.next_return);
  }
};

template <typename T>
std::unique_ptr<Policy> Make(const Deployment&) {
  return std::make_unique<T>();
}

/// Seconds until a slot is free and all prefill that comes first is done.
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
  // A slot frees about every (run time / slots); runs last about 2 s.
  if (excess > 0) backlog += 2.0 * excess / slots;
  return backlog;
}

/// Seconds that fetches already waiting occupy a store's link.
double LinkBacklog(const Store& store, TimePoint now) {
  double waiting = store.busy ? std::max(0.0, ToSeconds(store.busy_until - now)) : 0;
  for (const Transfer& transfer : store.queue) {
    if (!transfer.write_back()) waiting += ToSeconds(store.block_time());
  }
  return waiting;
}

}  // namespace

bool Policy::Admits(const Runner& runner, TimePoint) {
  return static_cast<int>(runner.active.size()) < kRunnerSlots;
}

double Policy::PrefillOrder(const Job& job, TimePoint) { return Seconds(job.queued_at); }

std::vector<Fetch> Policy::PlanFetches(const Job&, int resident, int stored, const Fleet&,
                                       TimePoint) {
  std::vector<Fetch> fetches(stored);
  for (int i = 0; i < stored; ++i) fetches[i].index = resident + i;
  return fetches;
}

double Policy::LinkOrder(const Transfer& transfer, TimePoint) {
  return Seconds(transfer.queued_at);
}

double Policy::BlockValue(BlockKey, const StoredBlock& stored, const StoredBlock&, TimePoint) {
  return Seconds(stored.last_use);
}

double Policy::AdmissionValue(BlockKey, const StoredBlock&, TimePoint) {
  return std::numeric_limits<double>::infinity();
}

bool Policy::Push(Job&, const Runner& runner, TimePoint) { return runner.queue.size() < kMaxQueue; }

Job* Policy::Pop(const Runner& runner, TimePoint now) {
  const auto before = [this, now](const Job* a, const Job* b) {
    return PrefillOrder(*a, now) < PrefillOrder(*b, now);
  };
  if (runner.queue.empty()) return nullptr;
  return *std::min_element(runner.queue.begin(), runner.queue.end(), before);
}

bool Serves(const Runner& runner, const Request& request, bool sees_orders) {
  if (runner.plain != request.plain_call) return false;
  return sees_orders ? !runner.draining && runner.up : runner.listed;
}

Estimate EstimateOn(Policy& policy, const Job& job, const Fleet& fleet, TimePoint now) {
  const Runner& runner = fleet.runners[job.runner];
  const double backlog = Backlog(policy, job, runner, now);
  if (job.request->plain_call) return {backlog + 0.01 * runner.load(), 0, 0};
  const double slowdown = runner.slowdown();
  const int resident = runner.cache.Prefix(job.blocks);
  const int stored = fleet.StoredRun(job.blocks, resident);
  std::vector<double> links;
  links.reserve(fleet.stores.size());
  for (const Store& store : fleet.stores) links.push_back(LinkBacklog(store, now));
  Estimate best{std::numeric_limits<double>::max(), 0, 0};
  double fetch_time = 0;
  for (int fetch = 0; fetch <= stored; ++fetch) {
    const int64_t tokens = job.request->prompt_tokens - (resident + fetch) * kBlockTokens;
    const double compute = ToSeconds(PrefillTime(tokens));
    const double ttft = slowdown * (std::max(backlog, fetch_time) + compute);
    const double link = ToSeconds(PrefillTime(fetch * kBlockTokens)) / 5;
    if (ttft < best.ttft) best = {ttft, fetch, compute + link};
    if (fetch == stored) break;
    const int store = fleet.StoreOf(job.blocks[resident + fetch]);
    links[store] += ToSeconds(fleet.stores[store].block_time());
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
