#include <algorithm>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>

#include "core/bid.h"
#include "core/cold_start_gate.h"
#include "core/dispatch_choice.h"
#include "core/fair_queue.h"
#include "core/fetch_plan.h"
#include "core/hot_prefix_detector.h"
#include "core/inventory.h"
#include "core/rendezvous.h"
#include "core/retention_policy.h"
#include "core/team_quota.h"
#include "experiment/policy.h"

namespace fuchsiaweir::experiment {
namespace {

/// Maximum number of tokens queued for prefill inside an engine, where the fair queue no longer
/// orders them. 4,000 gave a lower p95 TTFT during Etnee's weight swaps than 2,000, 10,000 and no
/// bound, in a policy without bids and retention.
constexpr int64_t kMaxEngineBacklogTokens = 4000;
constexpr char kModel[] = "model";
/// Added to the link order of write-backs, which places them after every fetch.
constexpr double kWriteBackOrder = 1e12;

/// Converts virtual time to the uncompressed time of the return gaps, on which the retention policy
/// works.
TimePoint UncompressedTime(TimePoint now) {
  return TimePoint{} + (now - TimePoint{}) * kGapCompression;
}

BlockId ToBlockId(BlockKey block) { return {block, 0}; }

RetainedBlock ToRetainedBlock(const StoredBlock& block) {
  RetainedBlock retained{std::to_string(block.team), kBlockBytes, PrefillTime(kBlockTokens), {}};
  if (block.index > 0) retained.previous = ToBlockId(block.previous);
  return retained;
}

/// Class of prompts with similar return gaps: prompts of similar length tend to return alike.
std::string PromptClass(const Request& request) {
  if (request.prompt_tokens < 2 * kBlockTokens) return "short";
  return request.prompt_tokens < 4 * kBlockTokens ? "medium" : "long";
}

RetentionOptions StoreOptions(const Deployment& deployment) {
  RetentionOptions options;
  options.capacity = static_cast<int64_t>(deployment.stores * kStoreBlocks) * kBlockBytes;
  return options;
}

/// Example quotas: those of large teams do not bind; those of small teams are several times their
/// mean load, which a flood exceeds.
std::vector<Team> Teams() {
  std::vector<Team> teams(kTeamCount);
  for (int i = 0; i < kTeamCount; ++i) {
    teams[i].name = std::to_string(i);
    teams[i].max_concurrent = 1000;
    teams[i].tokens_per_second = i < kLargeTeamCount ? 300'000 : 30'000;
  }
  return teams;
}

/// Source of an entry's state of the runners.
enum class Routing {
  kBids,    ///< Bids requested from the agents of the candidates.
  kIndex,   ///< Cache events and loads of all runners, up to 200 ms late.
  kGossip,  ///< Loads of all runners, up to 200 ms late, without cache state.
};

/// An entry's copy of the state of a runner.
struct RunnerView {
  RunnerLoad load;
  /// Only for PrefixLength and counts: the copied iterators refer to the original's list.
  PrefixCache cache;
};

constexpr Duration kViewRefreshInterval = Millis(200);
/// Size of an index entry: block id, runner and one pointer.
constexpr int64_t kIndexEntryBytes = 32;

/// The product's decision logic from src/core on the state that entries and agents have. The link
/// order is a placeholder for the link schedule. Agents read the engine's cache and queues without
/// delay here, while real cache events and load reports lag.
class ProductPolicy : public Policy {
 public:
  ProductPolicy(const Deployment& deployment, Routing routing)
      : routing_(routing), retention_(StoreOptions(deployment)) {
    quota_.Configure(Teams(), 1);
    GateLimits limits;
    limits.cold_limit = kColdLimit;
    limits.max_concurrent = kRunnerSlots;
    const int runners = deployment.runners + deployment.service_runners;
    gates_.assign(runners, ColdStartGate(limits));
    queues_.assign(runners, FairQueue({kMaxQueuedJobs, kPrefillTokensPerSecond}));
    node_hashes_.reserve(runners);
    for (int i = 0; i < runners; ++i) node_hashes_.push_back(RendezvousHash(std::to_string(i)));
  }

  int SelectRunner(const Request& request, const Fleet& fleet, TimePoint now) override {
    const std::string team = std::to_string(request.team);
    if (quota_.Admit(team, request.prompt_tokens + request.output_tokens, now)) return kRefuse;
    const int runner = SelectByBids(request, fleet, now);
    if (runner == kRefuse) quota_.Release(team);
    return runner;
  }

  int bid_round_trips() const override { return routing_ == Routing::kBids ? 1 : 0; }

  RoutingCost routing_cost() const override {
    RoutingCost cost{messages_, 0};
    for (const RunnerView& view : views_) {
      cost.state_bytes += static_cast<int64_t>(sizeof(RunnerLoad));
      if (routing_ != Routing::kIndex) continue;
      cost.messages += view.cache.change_count();
      cost.state_bytes += static_cast<int64_t>(view.cache.size()) * kIndexEntryBytes;
    }
    return cost;
  }

  Duration drain_delay() const override { return Seconds(1); }

  bool Push(Job& job, const Runner& runner, TimePoint now) override {
    if (runner.is_service) return Policy::Push(job, runner, now);
    const int resident = runner.cache.PrefixLength(BlocksOf(*job.request, runner.weight_version));
    QueuedRequest queued;
    queued.id = std::to_string(job.id);
    queued.team = std::to_string(job.request->team);
    queued.tokens = job.request->prompt_tokens - resident * kBlockTokens;
    queued.deadline = job.request->arrival + job.request->ttft_deadline;
    if (queues_[runner.id].Push(queued, now)) return false;
    queued_jobs_[queued.id] = &job;
    return true;
  }

  Job* Pop(const Runner& runner, TimePoint now) override {
    if (runner.is_service) return Policy::Pop(runner, now);
    const auto queued = queues_[runner.id].Pop(now);
    return queued ? RemoveQueuedJob(queued->id) : nullptr;
  }

  std::vector<Job*> TakeRefused(const Runner& runner, TimePoint now) override {
    std::vector<Job*> refused;
    if (runner.is_service) return refused;
    for (const QueuedRequest& queued : queues_[runner.id].TakeRefused(now)) {
      refused.push_back(RemoveQueuedJob(queued.id));
    }
    return refused;
  }

  /// Bounds the backlog inside the engine, so that the fair queue orders most waiting requests.
  bool Admits(const Runner& runner, TimePoint) override {
    if (runner.is_service) return Policy::Admits(runner, {});
    const int64_t backlog = EngineBacklog(runner, Job());
    return backlog < kMaxEngineBacklogTokens && gates_[runner.id].HasCapacity();
  }

  int RunLimit(const Runner& runner) const override {
    return static_cast<int>(gates_[runner.id].limit());
  }

  std::vector<Fetch> PlanFetches(const Job& job, int resident, int stored, const Fleet& fleet,
                                 TimePoint now) override {
    const PrefillState prefill{EngineBacklog(fleet.runners[job.runner], job),
                               static_cast<double>(kPrefillTokensPerSecond)};
    const Duration remaining = job.request->arrival + job.request->ttft_deadline - now;
    const FetchPlan plan =
        PlanFetch(BlockRuns(job, resident, stored, fleet), LinkStates(fleet), prefill, remaining);
    std::vector<Fetch> fetches;
    for (int i = 0; i < stored; ++i) {
      const RunPlan& run = plan.runs[i + 1];
      if (run.action != RunAction::kFetch && run.action != RunAction::kRace) continue;
      fetches.push_back({resident + i, std::max(run.prefill_start, Duration(0))});
    }
    return fetches;
  }

  double LinkOrder(const Transfer& transfer, TimePoint) override {
    const double deadline = ToSeconds(transfer.deadline - TimePoint{});
    return transfer.write_back() ? kWriteBackOrder + deadline : deadline;
  }

  double EvictionValue(BlockKey block, const StoredBlock&, const StoredBlock& incoming,
                       TimePoint now) override {
    return retention_.EvictionValue(ToBlockId(block), std::to_string(incoming.team),
                                    UncompressedTime(now));
  }

  double AdmissionValue(BlockKey block, const StoredBlock& incoming, TimePoint now) override {
    return retention_.AdmissionValue(ToBlockId(block), ToRetainedBlock(incoming),
                                     UncompressedTime(now));
  }

  void OnBlockStored(BlockKey block, const StoredBlock& stored) override {
    retention_.OnStored(ToBlockId(block), ToRetainedBlock(stored));
  }

  void OnBlockDropped(BlockKey block) override { retention_.OnDropped(ToBlockId(block)); }

  void OnRunStarted(const Job& job) override {
    if (job.request->service_call) return;
    if (const auto admission = gates_[job.runner].TryAdmit()) admissions_[job.id] = *admission;
  }

  void OnJobEnded(const Job& job) override { quota_.Release(std::to_string(job.request->team)); }

  void OnRunFinished(const Job& job, Duration token_time) override {
    const auto admission = admissions_.find(job.id);
    if (admission == admissions_.end()) return;
    gates_[job.runner].OnRunEnd(admission->second, {true, token_time});
    admissions_.erase(admission);
  }

  void OnNewInstance(const Runner& runner) override {
    gates_[runner.id].OnEngineInstance(std::to_string(runner.instance));
  }

  void OnEngineReport(const EngineReport& report) override {
    ColdStartGate& gate = gates_[report.runner];
    gate.OnLoadReport({report.running, 0, report.token_time});
  }

 private:
  /// Returns one run for the resident blocks, one for each stored block and one for the rest.
  static std::vector<BlockRun> BlockRuns(const Job& job, int resident, int stored,
                                         const Fleet& fleet) {
    std::vector<BlockRun> runs;
    runs.push_back({BlockSource::kResident, resident * kBlockTokens, 0, 0});
    for (int i = resident; i < resident + stored; ++i) {
      const auto link = static_cast<size_t>(fleet.StoreIndex(job.blocks[i]));
      runs.push_back({BlockSource::kRemote, kBlockTokens, kBlockBytes, link});
    }
    const int64_t rest = job.request->prompt_tokens - (resident + stored) * kBlockTokens;
    runs.push_back({BlockSource::kMissing, rest, 0, 0});
    return runs;
  }

  static std::vector<LinkState> LinkStates(const Fleet& fleet) {
    std::vector<LinkState> links;
    for (const Store& store : fleet.stores) {
      LinkState link;
      for (const Transfer& transfer : store.queue) {
        link.queued_bytes += transfer.write_back() ? 0 : kBlockBytes;
      }
      link.bytes_per_second = store.up ? store.bytes_per_second : 0;
      links.push_back(link);
    }
    return links;
  }

  /// Prompt tokens of the active runs other than `job` that the engine still has to compute.
  static int64_t EngineBacklog(const Runner& runner, const Job& job) {
    int64_t backlog = 0;
    for (const Job* other : runner.active) {
      if (other == &job || other->decoding) continue;
      backlog += other->remaining() - other->pending_fetches * kBlockTokens;
    }
    return backlog;
  }

  int SelectByBids(const Request& request, const Fleet& fleet, TimePoint now) {
    ObservePrompt(request, fleet, now);
    if (routing_ != Routing::kBids) RefreshViews(request, fleet, now);
    const std::vector<int> ranked = RankRunners(request, fleet);
    const double rate = hot_prefix_.Record(std::to_string(PlacementKey(request)), now);
    // The index has the location of all blocks, so every runner is a candidate.
    const size_t count = routing_ == Routing::kIndex
                             ? std::max<size_t>(1, ranked.size())
                             : hot_prefix_.Candidates(rate, Rules().bid_candidates);
    for (size_t first = 0; first < ranked.size(); first += count) {
      const size_t end = std::min(first + count, ranked.size());
      const std::span<const int> runners(&ranked[first], end - first);
      const int runner = BestBid(request, fleet, now, runners, hot_prefix_.IsHot(rate));
      if (runner != kRefuse) return runner;
    }
    return kRefuse;
  }

  /// Key for the placement of a prompt: its first block, or the session of a prompt below one
  /// block.
  static uint64_t PlacementKey(const Request& request) {
    const std::vector<BlockKey> blocks = BlocksOf(request, 0);
    return blocks.empty() ? RendezvousHash(std::to_string(request.session)) : blocks[0];
  }

  /// Returns the runners in service by rendezvous score for the placement key, best first.
  std::vector<int> RankRunners(const Request& request, const Fleet& fleet) const {
    const uint64_t key = PlacementKey(request);
    std::vector<std::pair<uint64_t, int>> scored;
    for (const Runner& runner : fleet.runners) {
      if (!IsEligible(runner, request, true) || runner.loading) continue;
      scored.emplace_back(RendezvousMix(key, node_hashes_[runner.id]), runner.id);
    }
    std::sort(scored.rbegin(), scored.rend());
    std::vector<int> ranked;
    ranked.reserve(scored.size());
    for (const auto& [score, runner] : scored) ranked.push_back(runner);
    return ranked;
  }

  /// Evaluates the runners' bids and returns the runner to dispatch to, or kRefuse.
  int BestBid(const Request& request, const Fleet& fleet, TimePoint now,
              std::span<const int> runners, bool hot) {
    BidRequest bid_request;
    bid_request.model = kModel;
    bid_request.prompt_tokens = request.prompt_tokens;
    bid_request.deadline_ms = ToMillis(request.arrival + request.ttft_deadline - now);
    std::vector<Bid> bids;
    for (const int runner : runners) {
      if (request.service_call) return runner;
      const Runner& candidate = fleet.runners[runner];
      messages_ += routing_ == Routing::kBids ? 2 : 0;
      const Result<Bid> bid =
          MakeBid(bid_request, routing_ == Routing::kBids ? CurrentLoad(request, fleet, candidate)
                                                          : StaleLoad(request, fleet, candidate));
      if (bid) bids.push_back(bid.value());
    }
    const std::optional<size_t> chosen =
        ChooseBid(bids, std::to_string(runners.front()), hot, {}, request.session);
    return chosen ? std::stoi(bids[*chosen].runner) : kRefuse;
  }

  void RefreshViews(const Request& request, const Fleet& fleet, TimePoint now) {
    if (now < next_refresh_) return;
    next_refresh_ = now + kViewRefreshInterval;
    views_.clear();
    for (const Runner& runner : fleet.runners) {
      views_.push_back({CurrentLoad(request, fleet, runner), runner.cache});
    }
    messages_ += static_cast<int64_t>(views_.size());
  }

  /// Returns the load as of the last refresh. An index has the contents of the stores without
  /// delay.
  RunnerLoad StaleLoad(const Request& request, const Fleet& fleet, const Runner& runner) const {
    RunnerLoad load = views_[runner.id].load;
    load.resident_blocks = 0;
    load.fetchable_blocks = 0;
    if (routing_ == Routing::kGossip) return load;
    const std::vector<BlockKey> blocks = BlocksOf(request, runner.weight_version);
    load.resident_blocks = views_[runner.id].cache.PrefixLength(blocks);
    load.fetchable_blocks = fleet.StoredRunLength(blocks, static_cast<int>(load.resident_blocks));
    return load;
  }

  RunnerLoad CurrentLoad(const Request& request, const Fleet& fleet, const Runner& runner) const {
    const std::vector<BlockKey> blocks = BlocksOf(request, runner.weight_version);
    RunnerLoad load;
    load.runner = std::to_string(runner.id);
    load.model = kModel;
    load.queue_items = static_cast<int64_t>(queues_[runner.id].size());
    load.max_queue = kMaxQueuedJobs;
    load.queue_tokens = queues_[runner.id].queued_tokens();
    load.queue_tokens += EngineBacklog(runner, Job());
    load.limit = gates_[runner.id].limit();
    load.running = gates_[runner.id].running();
    load.decode_slots = kRunnerSlots;
    load.prefill_tokens_per_second = kPrefillTokensPerSecond;
    load.block_tokens = kBlockTokens;
    load.block_bytes = kBlockBytes;
    load.resident_blocks = runner.cache.PrefixLength(blocks);
    load.fetchable_blocks = fleet.StoredRunLength(blocks, static_cast<int>(load.resident_blocks));
    FillLinks(fleet, load);
    return load;
  }

  /// The stores' links transfer in parallel, so their rates add up; as the rate that agents
  /// measure, the sum reflects a slow link.
  static void FillLinks(const Fleet& fleet, RunnerLoad& load) {
    double rate = 0;
    for (const Store& store : fleet.stores) {
      if (!store.up) continue;
      rate += store.bytes_per_second;
      for (const Transfer& transfer : store.queue) {
        if (!transfer.write_back()) load.link_queue_bytes += kBlockBytes;
      }
    }
    load.link_bytes_per_second = std::max<int64_t>(1, static_cast<int64_t>(rate));
  }

  /// Records the prompt with the retention policy. The entry computes block ids for the configured
  /// weights version, which is the highest that any runner has loaded.
  void ObservePrompt(const Request& request, const Fleet& fleet, TimePoint now) {
    if (request.service_call) return;
    for (const Runner& runner : fleet.runners) {
      newest_version_ = std::max(newest_version_, runner.weight_version);
    }
    std::vector<BlockId> chain;
    for (const BlockKey block : BlocksOf(request, newest_version_)) {
      chain.push_back(ToBlockId(block));
    }
    retention_.Observe(std::to_string(request.team), PromptClass(request), chain,
                       UncompressedTime(now));
  }

  Job* RemoveQueuedJob(const std::string& id) {
    Job* job = queued_jobs_.at(id);
    queued_jobs_.erase(id);
    return job;
  }

  Routing routing_;
  std::vector<RunnerView> views_;  ///< By runner.
  TimePoint next_refresh_{};
  int64_t messages_ = 0;
  int newest_version_ = 0;     ///< Weight version that new requests use.
  RetentionPolicy retention_;  ///< Shared by all stores.
  TeamQuota quota_;
  HotPrefixDetector hot_prefix_{HotPrefixRules()};
  std::vector<FairQueue> queues_;                      ///< By runner.
  std::unordered_map<std::string, Job*> queued_jobs_;  ///< By id in `queues_`.
  std::vector<ColdStartGate> gates_;                   ///< By runner.
  std::vector<uint64_t> node_hashes_;
  std::unordered_map<int, Admission> admissions_;  ///< By job.
};

}  // namespace

std::unique_ptr<Policy> MakeProductPolicy(const Deployment& deployment) {
  return std::make_unique<ProductPolicy>(deployment, Routing::kBids);
}

std::unique_ptr<Policy> MakeIndexPolicy(const Deployment& deployment) {
  return std::make_unique<ProductPolicy>(deployment, Routing::kIndex);
}

std::unique_ptr<Policy> MakeGossipPolicy(const Deployment& deployment) {
  return std::make_unique<ProductPolicy>(deployment, Routing::kGossip);
}

}  // namespace fuchsiaweir::experiment
