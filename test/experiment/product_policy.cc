#include <algorithm>
#include <limits>
#include <string>
#include <unordered_map>
#include <utility>

#include "core/cold_start_gate.h"
#include "core/fair_queue.h"
#include "core/rendezvous.h"
#include "experiment/policy.h"

namespace fuchsiaweir::experiment {
namespace {

constexpr size_t kBidCandidates = 3;
/// Tokens that may wait for prefill inside an engine, where the fair queue no longer orders them.
/// Of 2,000, 4,000, 10,000 and no bound, 4,000 gave the lowest p95 in Etnee's weight swaps.
constexpr int64_t kEngineBacklogTokens = 4000;
constexpr double kAfterFetches = 1e12;

/// The product's decisions from src/core, fed with what entries and agents know. Bids, dispatch,
/// quotas, retention and fetch plans are placeholders until the core has them.
class Product : public Policy {
 public:
  explicit Product(const Deployment& deployment) {
    GateLimits limits;
    limits.cold_limit = kColdLimit;
    limits.max_concurrent = kRunnerSlots;
    const int runners = deployment.runners + deployment.service_runners;
    gates_.assign(runners, ColdStartGate(limits));
    queues_.assign(runners, FairQueue({kMaxQueue, kPrefillTokensPerSecond}));
    node_hashes_.reserve(runners);
    for (int i = 0; i < runners; ++i) node_hashes_.push_back(RendezvousHash(std::to_string(i)));
  }

  int Place(const Request& request, const Fleet& fleet, TimePoint now) override {
    Job job;
    job.request = &request;
    job.queued_at = now;
    int best = kRefuse;
    double best_ttft = std::numeric_limits<double>::max();
    for (const int candidate : Candidates(request, fleet)) {
      job.runner = candidate;
      job.blocks = BlocksOf(request, fleet.runners[candidate].weight_version);
      const double ttft = EstimateOn(*this, job, fleet, now).ttft;
      if (ttft >= best_ttft) continue;
      best = candidate;
      best_ttft = ttft;
    }
    return best;
  }

  int bid_round_trips() const override { return 1; }
  Duration drain_delay() const override { return Seconds(1); }

  bool Push(Job& job, const Runner& runner, TimePoint now) override {
    if (runner.plain) return Policy::Push(job, runner, now);
    const int resident = runner.cache.Prefix(BlocksOf(*job.request, runner.weight_version));
    QueuedWork work;
    work.id = std::to_string(job.id);
    work.team = std::to_string(job.request->team);
    work.tokens = job.request->prompt_tokens - resident * kBlockTokens;
    work.deadline = job.request->arrival + job.request->ttft_deadline;
    if (queues_[runner.id].Push(work, now)) return false;
    waiting_[work.id] = &job;
    return true;
  }

  Job* Pop(const Runner& runner, TimePoint now) override {
    if (runner.plain) return Policy::Pop(runner, now);
    const auto work = queues_[runner.id].Pop(now);
    return work ? Take(work->id) : nullptr;
  }

  std::vector<Job*> TakeRefused(const Runner& runner, TimePoint now) override {
    std::vector<Job*> refused;
    if (runner.plain) return refused;
    for (const QueuedWork& work : queues_[runner.id].TakeRefused(now)) {
      refused.push_back(Take(work.id));
    }
    return refused;
  }

  /// Keeps the engine's own backlog short, so that the fair queue orders the waiting work.
  bool Admits(const Runner& runner, TimePoint) override {
    if (runner.plain) return Policy::Admits(runner, {});
    int64_t backlog = 0;
    for (const Job* job : runner.active) {
      if (!job->decoding && job->pending_fetches == 0) backlog += job->remaining();
    }
    return backlog < kEngineBacklogTokens && gates_[runner.id].HasRoom();
  }

  int RunLimit(const Runner& runner) const override {
    return static_cast<int>(gates_[runner.id].limit());
  }

  int FetchBlocks(const Job& job, int, int, const Fleet& fleet, TimePoint now) override {
    return EstimateOn(*this, job, fleet, now).fetch;
  }

  Duration FetchPatience(const Job&, int fetched) override {
    return PrefillTime(fetched * kBlockTokens);
  }

  double LinkOrder(const Transfer& transfer, TimePoint) override {
    const double deadline = ToSeconds(transfer.deadline - TimePoint{});
    return transfer.write_back() ? kAfterFetches + deadline : deadline;
  }

  void Started(const Job& job) override {
    if (job.request->plain_call) return;
    if (const auto admission = gates_[job.runner].TryAdmit()) admissions_[job.id] = *admission;
  }

  void Finished(const Job& job, Duration token_time) override {
    const auto admission = admissions_.find(job.id);
    if (admission == admissions_.end()) return;
    gates_[job.runner].OnRunEnd(admission->second, {true, token_time});
    admissions_.erase(admission);
  }

  void Report(const EngineReport& report) override {
    ColdStartGate& gate = gates_[report.runner];
    gate.OnEngineInstance(std::to_string(report.instance));
    gate.OnLoadReport({report.running, 0, report.token_time});
  }

 private:
  /// The runners with the highest rendezvous score for the first block of the prompt.
  std::vector<int> Candidates(const Request& request, const Fleet& fleet) const {
    const std::vector<BlockKey> blocks = BlocksOf(request, 0);
    const uint64_t key =
        blocks.empty() ? RendezvousHash(std::to_string(request.session)) : blocks[0];
    std::vector<std::pair<uint64_t, int>> scored;
    for (const Runner& runner : fleet.runners) {
      if (!Serves(runner, request, true) || runner.loading) continue;
      scored.emplace_back(RendezvousMix(key, node_hashes_[runner.id]), runner.id);
    }
    std::sort(scored.rbegin(), scored.rend());
    scored.resize(std::min(scored.size(), kBidCandidates));
    std::vector<int> candidates;
    candidates.reserve(scored.size());
    for (const auto& [score, runner] : scored) candidates.push_back(runner);
    return candidates;
  }

  Job* Take(const std::string& id) {
    Job* job = waiting_.at(id);
    waiting_.erase(id);
    return job;
  }

  std::vector<FairQueue> queues_;  ///< By runner.
  std::unordered_map<std::string, Job*> waiting_;
  std::vector<ColdStartGate> gates_;  ///< By runner.
  std::vector<uint64_t> node_hashes_;
  std::unordered_map<int, Admission> admissions_;  ///< By job.
};

}  // namespace

std::unique_ptr<Policy> MakeProductPolicy(const Deployment& deployment) {
  return std::make_unique<Product>(deployment);
}

}  // namespace fuchsiaweir::experiment
