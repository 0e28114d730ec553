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

/// Tokens that may wait for prefill inside an engine, where the fair queue no longer orders them.
/// Of 2,000, 4,000, 10,000 and no bound it gave the lowest p95 in Etnee's weight swaps, tried
/// before bids and retention were wired in.
constexpr int64_t kEngineBacklogTokens = 4000;
constexpr char kModel[] = "model";
constexpr double kAfterFetches = 1e12;

/// The uncompressed time that the learned return gaps are about.
TimePoint GapTime(TimePoint now) { return TimePoint{} + (now - TimePoint{}) * kGapCompression; }

BlockId IdOf(BlockKey block) { return {block, 0}; }

RetainedBlock Retained(const StoredBlock& block) {
  RetainedBlock retained{std::to_string(block.team), kBlockBytes, PrefillTime(kBlockTokens), {}};
  if (block.index > 0) retained.previous = IdOf(block.previous);
  return retained;
}

/// Prompts of similar length tend to return alike.
std::string PromptClass(const Request& request) {
  if (request.prompt_tokens < 2 * kBlockTokens) return "short";
  return request.prompt_tokens < 4 * kBlockTokens ? "medium" : "long";
}

RetentionOptions StoreOptions(const Deployment& deployment) {
  RetentionOptions options;
  options.capacity = static_cast<int64_t>(deployment.stores * kStoreBlocks) * kBlockBytes;
  return options;
}

/// Quotas as operators may set them: large teams are not bound, small ones get several times their
/// mean load, which a flood exceeds.
std::vector<Team> Teams() {
  std::vector<Team> teams(kTeams);
  for (int i = 0; i < kTeams; ++i) {
    teams[i].name = std::to_string(i);
    teams[i].max_concurrent = 1000;
    teams[i].tokens_per_second = i < kLargeTeams ? 300'000 : 30'000;
  }
  return teams;
}

/// How an entry learns about runners.
enum class Routing {
  kBids,    ///< It asks the agents of the candidates.
  kIndex,   ///< Cache events and loads of all runners reach it up to 200 ms late.
  kGossip,  ///< Loads of all runners reach it up to 200 ms late, nothing of caches.
};

/// What an entry was told about a runner.
struct RunnerView {
  RunnerLoad load;
  PrefixCache cache;  ///< For `Prefix` and counts only: a copy's order is not its own.
};

constexpr Duration kViewInterval = Millis(200);
/// An index entry: block id, runner and one pointer.
constexpr int64_t kIndexEntryBytes = 32;

/// The product's decisions from src/core, fed with what entries and agents know. The link order is
/// a placeholder for the link schedule. Agents read the engine's
/// cache and queues exactly here, while real cache events and load reports lag.
class Product : public Policy {
 public:
  Product(const Deployment& deployment, Routing routing)
      : routing_(routing), retention_(StoreOptions(deployment)) {
    quota_.Configure(Teams(), 1);
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
    const std::string team = std::to_string(request.team);
    if (quota_.Admit(team, request.prompt_tokens + request.output_tokens, now)) return kRefuse;
    const int runner = Choose(request, fleet, now);
    if (runner == kRefuse) quota_.Release(team);
    return runner;
  }

  int bid_round_trips() const override { return routing_ == Routing::kBids ? 1 : 0; }

  RoutingCost routing_cost() const override {
    RoutingCost cost{messages_, 0};
    for (const RunnerView& view : views_) {
      cost.state_bytes += static_cast<int64_t>(sizeof(RunnerLoad));
      if (routing_ != Routing::kIndex) continue;
      cost.messages += view.cache.changes();
      cost.state_bytes += static_cast<int64_t>(view.cache.size()) * kIndexEntryBytes;
    }
    return cost;
  }

  Duration drain_delay() const override { return Seconds(1); }

  bool Push(Job& job, const Runner& runner, TimePoint now) override {
    if (runner.plain) return Policy::Push(job, runner, now);
    const int resident = runner.cache.Prefix(BlocksOf(*job.request, runner.weight_version));
    QueuedRequest work;
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
    for (const QueuedRequest& work : queues_[runner.id].TakeRefused(now)) {
      refused.push_back(Take(work.id));
    }
    return refused;
  }

  /// Keeps the engine's own backlog short, so that the fair queue orders the waiting work.
  bool Admits(const Runner& runner, TimePoint) override {
    if (runner.plain) return Policy::Admits(runner, {});
    const int64_t backlog = EngineBacklog(runner, Job());
    return backlog < kEngineBacklogTokens && gates_[runner.id].HasCapacity();
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
        PlanFetch(RunsOf(job, resident, stored, fleet), LinksOf(fleet), prefill, remaining);
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
    return transfer.write_back() ? kAfterFetches + deadline : deadline;
  }

  double BlockValue(BlockKey block, const StoredBlock&, const StoredBlock& incoming,
                    TimePoint now) override {
    return retention_.EvictionValue(IdOf(block), std::to_string(incoming.team), GapTime(now));
  }

  double AdmissionValue(BlockKey block, const StoredBlock& incoming, TimePoint now) override {
    return retention_.AdmissionValue(IdOf(block), Retained(incoming), GapTime(now));
  }

  void BlockStored(BlockKey block, const StoredBlock& stored) override {
    retention_.OnStored(IdOf(block), Retained(stored));
  }

  void BlockDropped(BlockKey block) override { retention_.OnDropped(IdOf(block)); }

  void Started(const Job& job) override {
    if (job.request->plain_call) return;
    if (const auto admission = gates_[job.runner].TryAdmit()) admissions_[job.id] = *admission;
  }

  void Left(const Job& job) override { quota_.Release(std::to_string(job.request->team)); }

  void Finished(const Job& job, Duration token_time) override {
    const auto admission = admissions_.find(job.id);
    if (admission == admissions_.end()) return;
    gates_[job.runner].OnRunEnd(admission->second, {true, token_time});
    admissions_.erase(admission);
  }

  void NewInstance(const Runner& runner) override {
    gates_[runner.id].OnEngineInstance(std::to_string(runner.instance));
  }

  void Report(const EngineReport& report) override {
    ColdStartGate& gate = gates_[report.runner];
    gate.OnLoadReport({report.running, 0, report.token_time});
  }

 private:
  /// One run for the resident blocks, one for each stored block, one for the rest.
  static std::vector<BlockRun> RunsOf(const Job& job, int resident, int stored,
                                      const Fleet& fleet) {
    std::vector<BlockRun> runs;
    runs.push_back({BlockSource::kResident, resident * kBlockTokens, 0, 0});
    for (int i = resident; i < resident + stored; ++i) {
      const auto link = static_cast<size_t>(fleet.StoreOf(job.blocks[i]));
      runs.push_back({BlockSource::kRemote, kBlockTokens, kBlockBytes, link});
    }
    const int64_t rest = job.request->prompt_tokens - (resident + stored) * kBlockTokens;
    runs.push_back({BlockSource::kMissing, rest, 0, 0});
    return runs;
  }

  static std::vector<LinkState> LinksOf(const Fleet& fleet) {
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

  /// Prompt tokens that the engine computes before those of `job`.
  static int64_t EngineBacklog(const Runner& runner, const Job& job) {
    int64_t backlog = 0;
    for (const Job* other : runner.active) {
      if (other == &job || other->decoding) continue;
      backlog += other->remaining() - other->pending_fetches * kBlockTokens;
    }
    return backlog;
  }

  int Choose(const Request& request, const Fleet& fleet, TimePoint now) {
    Observe(request, fleet, now);
    if (routing_ != Routing::kBids) View(request, fleet, now);
    const std::vector<int> ranked = Ranked(request, fleet);
    const double rate = hot_prefix_.Record(std::to_string(HomeKey(request)), now);
    // An index tells where blocks are, so every runner is a candidate.
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

  /// Names the prompt's family: its first block, or the session of a short prompt.
  static uint64_t HomeKey(const Request& request) {
    const std::vector<BlockKey> blocks = BlocksOf(request, 0);
    return blocks.empty() ? RendezvousHash(std::to_string(request.session)) : blocks[0];
  }

  /// The runners in service by rendezvous score for the first block of the prompt, best first.
  std::vector<int> Ranked(const Request& request, const Fleet& fleet) const {
    const uint64_t key = HomeKey(request);
    std::vector<std::pair<uint64_t, int>> scored;
    for (const Runner& runner : fleet.runners) {
      if (!Serves(runner, request, true) || runner.loading) continue;
      scored.emplace_back(RendezvousMix(key, node_hashes_[runner.id]), runner.id);
    }
    std::sort(scored.rbegin(), scored.rend());
    std::vector<int> ranked;
    ranked.reserve(scored.size());
    for (const auto& [score, runner] : scored) ranked.push_back(runner);
    return ranked;
  }

  /// Asks the runners for bids and returns the one to dispatch to, or kRefuse.
  int BestBid(const Request& request, const Fleet& fleet, TimePoint now,
              std::span<const int> runners, bool hot) {
    BidRequest question;
    question.model = kModel;
    question.prompt_tokens = request.prompt_tokens;
    question.deadline_ms = ToMillis(request.arrival + request.ttft_deadline - now);
    std::vector<Bid> bids;
    for (const int runner : runners) {
      if (request.plain_call) return runner;
      const Runner& asked = fleet.runners[runner];
      messages_ += routing_ == Routing::kBids ? 2 : 0;
      const Result<Bid> bid =
          MakeBid(question, routing_ == Routing::kBids ? LoadOf(request, fleet, asked)
                                                       : LateLoadOf(request, fleet, asked));
      if (bid) bids.push_back(bid.value());
    }
    const std::optional<size_t> chosen =
        ChooseBid(bids, std::to_string(runners.front()), hot, {}, request.session);
    return chosen ? std::stoi(bids[*chosen].runner) : kRefuse;
  }

  void View(const Request& request, const Fleet& fleet, TimePoint now) {
    if (now < next_view_) return;
    next_view_ = now + kViewInterval;
    views_.clear();
    for (const Runner& runner : fleet.runners) {
      views_.push_back({LoadOf(request, fleet, runner), runner.cache});
    }
    messages_ += static_cast<int64_t>(views_.size());
  }

  /// The load of the last view. An index knows what the stores hold without delay.
  RunnerLoad LateLoadOf(const Request& request, const Fleet& fleet, const Runner& runner) const {
    RunnerLoad load = views_[runner.id].load;
    load.resident_blocks = 0;
    load.fetchable_blocks = 0;
    if (routing_ == Routing::kGossip) return load;
    const std::vector<BlockKey> blocks = BlocksOf(request, runner.weight_version);
    load.resident_blocks = views_[runner.id].cache.Prefix(blocks);
    load.fetchable_blocks = fleet.StoredRun(blocks, static_cast<int>(load.resident_blocks));
    return load;
  }

  RunnerLoad LoadOf(const Request& request, const Fleet& fleet, const Runner& runner) const {
    const std::vector<BlockKey> blocks = BlocksOf(request, runner.weight_version);
    RunnerLoad load;
    load.runner = std::to_string(runner.id);
    load.model = kModel;
    load.queue_items = static_cast<int64_t>(queues_[runner.id].size());
    load.max_queue = kMaxQueue;
    load.queue_tokens = queues_[runner.id].queued_tokens();
    load.queue_tokens += EngineBacklog(runner, Job());
    load.limit = gates_[runner.id].limit();
    load.running = gates_[runner.id].running();
    load.decode_slots = kRunnerSlots;
    load.prefill_tokens_per_second = kPrefillTokensPerSecond;
    load.block_tokens = kBlockTokens;
    load.block_bytes = kBlockBytes;
    load.resident_blocks = runner.cache.Prefix(blocks);
    load.fetchable_blocks = fleet.StoredRun(blocks, static_cast<int>(load.resident_blocks));
    FillLinks(fleet, load);
    return load;
  }

  /// The stores' links work side by side; the rate that agents measure reflects a slow one.
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

  /// The entry computes block ids for the configured version, which the first swapped runner has.
  void Observe(const Request& request, const Fleet& fleet, TimePoint now) {
    if (request.plain_call) return;
    for (const Runner& runner : fleet.runners) version_ = std::max(version_, runner.weight_version);
    std::vector<BlockId> chain;
    for (const BlockKey block : BlocksOf(request, version_)) chain.push_back(IdOf(block));
    retention_.Observe(std::to_string(request.team), PromptClass(request), chain, GapTime(now));
  }

  Job* Take(const std::string& id) {
    Job* job = waiting_.at(id);
    waiting_.erase(id);
    return job;
  }

  Routing routing_;
  std::vector<RunnerView> views_;  ///< By runner.
  TimePoint next_view_{};
  int64_t messages_ = 0;
  int version_ = 0;            ///< Weight version that new requests use.
  RetentionPolicy retention_;  ///< Of both stores.
  TeamQuota quota_;
  HotPrefixDetector hot_prefix_{HotPrefixRules()};
  std::vector<FairQueue> queues_;  ///< By runner.
  std::unordered_map<std::string, Job*> waiting_;
  std::vector<ColdStartGate> gates_;  ///< By runner.
  std::vector<uint64_t> node_hashes_;
  std::unordered_map<int, Admission> admissions_;  ///< By job.
};

}  // namespace

std::unique_ptr<Policy> MakeProductPolicy(const Deployment& deployment) {
  return std::make_unique<Product>(deployment, Routing::kBids);
}

std::unique_ptr<Policy> MakeIndexPolicy(const Deployment& deployment) {
  return std::make_unique<Product>(deployment, Routing::kIndex);
}

std::unique_ptr<Policy> MakeGossipPolicy(const Deployment& deployment) {
  return std::make_unique<Product>(deployment, Routing::kGossip);
}

}  // namespace fuchsiaweir::experiment
