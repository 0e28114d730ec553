#include "experiment/simulation.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <memory>

#include "experiment/virtual_clock.h"

namespace fuchsiaweir::experiment {
namespace {

constexpr Duration kReportInterval = Millis(200);
constexpr Duration kDrainPromise = Seconds(3);
constexpr int kParallelWeightLoads = 2;

class Simulation {
 public:
  Simulation(const Deployment& deployment, const PolicyEntry& policy)
      : deployment_(deployment), fleet_(MakeFleet(deployment)), policy_(policy.make(deployment)) {}

  RunResult Run(const Scenario& scenario, int64_t requests, uint64_t seed);

 private:
  TimePoint now() const { return clock_.now(); }
  Runner& RunnerOf(const Job& job) { return fleet_.runners[job.runner]; }
  Outcome& OutcomeOf(const Job& job) { return result_.outcomes[job.id]; }

  // Requests.
  void Arrive(int id);
  void Enqueue(Job& job);
  void Refuse(Job& job);
  void Admit(Runner& runner);
  void Start(Job& job);
  void StartPlainCall(Job& job);
  void FirstToken(Job& job);
  void Finish(Job& job);
  void Remove(std::vector<Job*>& jobs, const Job* job) { std::erase(jobs, job); }

  // Prefill.
  void PumpPrefill(Runner& runner);
  bool SkipReadyBlocks(Job& job);
  bool AwaitsNextBlock(Job& job);
  void PrefillChunk(Job& job);
  void ChunkDone(Job& job, int64_t tokens);

  // Links.
  void StartFetches(Job& job);
  void PumpLink(int store);
  void TransferDone(int store, const Transfer& transfer);
  void FetchArrived(const Transfer& transfer);
  void StopWaiting(Job& job, int index);
  void CancelFetches(Job& job);
  void WriteBack(const Job& job);
  void StoreBlock(Store& store, const Transfer& transfer);
  bool EvictFor(Store& store, BlockKey block, const StoredBlock& incoming);

  // Changes.
  void Apply(const Change& change);
  void LoseStore(Store& store);
  void SetCentre(int centre, void (Simulation::*action)(Runner&));
  void DrainRunner(Runner& runner);
  void StopRunner(Runner& runner);
  void TurnCold(Runner& runner);
  void RestoreRunner(Runner& runner);
  void SwapWeights();
  void LoadNextWeights();
  void ReportLoad();

  const Deployment& deployment_;
  VirtualClock clock_;
  Fleet fleet_;
  std::unique_ptr<Policy> policy_;
  RunResult result_;
  std::deque<Job> jobs_;
  std::vector<EngineReport> reports_;
  std::map<int, TimePoint> drained_;  ///< Data centre -> time of the order.
  std::vector<int> swaps_;            ///< Runners that wait for new weights.
};

RunResult Simulation::Run(const Scenario& scenario, int64_t requests, uint64_t seed) {
  result_.length = RunLength(deployment_, requests);
  result_.trace = DrawTrace(deployment_, scenario.surge, requests, seed);
  result_.outcomes.resize(result_.trace.size());
  for (size_t i = 0; i < result_.trace.size(); ++i) {
    Job& job = jobs_.emplace_back();
    job.request = &result_.trace[i];
    job.id = static_cast<int>(i);
    result_.outcomes[i].request = job.request;
    clock_.After(job.request->arrival - TimePoint{}, [this, i] { Arrive(static_cast<int>(i)); });
  }
  for (const Change& change : scenario.changes) {
    const auto at = static_cast<int64_t>(change.at * static_cast<double>(result_.length.count()));
    clock_.After(Micros(at) + change.plus, [this, &change] { Apply(change); });
  }
  ReportLoad();
  clock_.Run();
  result_.routing = policy_->routing_cost();
  return std::move(result_);
}

void Simulation::ReportLoad() {
  for (const EngineReport& report : reports_) policy_->Report(report);
  reports_.clear();
  for (Runner& runner : fleet_.runners) {
    runner.reported_load = runner.load();
    const int running = static_cast<int>(runner.active.size());
    reports_.push_back({runner.id, running, runner.token_time()});
  }
  if (now() - TimePoint{} < result_.length) clock_.After(kReportInterval, [this] { ReportLoad(); });
}

void Simulation::Arrive(int id) {
  Job& job = jobs_[id];
  job.runner = policy_->Place(*job.request, fleet_, now());
  if (job.runner == kRefuse) {
    OutcomeOf(job).fate = Fate::kRefused;
    return;
  }
  Runner& runner = RunnerOf(job);
  runner.reported_load += 1;
  const auto drained = drained_.find(runner.data_centre);
  if (drained != drained_.end() && now() - drained->second > kDrainPromise) {
    result_.late_dispatches += 1;
  }
  // Bids cost a round trip each, dispatch one way.
  const Duration way = deployment_.one_way * (1 + 2 * policy_->bid_round_trips());
  clock_.After(deployment_.client_one_way + way, [this, &job] { Enqueue(job); });
}

void Simulation::Refuse(Job& job) {
  OutcomeOf(job).fate = Fate::kRefused;
  policy_->Left(job);
}

void Simulation::Enqueue(Job& job) {
  Runner& runner = RunnerOf(job);
  job.queued_at = now();
  if (!runner.up || !policy_->Push(job, runner, now())) return Refuse(job);
  runner.queue.push_back(&job);
  Admit(runner);
}

void Simulation::Admit(Runner& runner) {
  while (runner.up && !runner.loading && !runner.queue.empty() && policy_->Admits(runner, now())) {
    Job* job = policy_->Pop(runner, now());
    if (job == nullptr) break;
    Remove(runner.queue, job);
    const bool gave_up = now() - job->request->arrival > kCallerPatience;
    if (gave_up) {
      Refuse(*job);
      OutcomeOf(*job).fate = Fate::kTimedOut;
      continue;
    }
    runner.active.push_back(job);
    if (static_cast<int>(runner.active.size()) > runner.cold_capacity && runner.cold()) {
      result_.cold_overloads += 1;
    }
    policy_->Started(*job);
    Start(*job);
  }
  for (Job* job : policy_->TakeRefused(runner, now())) {
    Remove(runner.queue, job);
    Refuse(*job);
  }
}

void Simulation::StartPlainCall(Job& job) {
  const int rounds = 1 + static_cast<int>(RunnerOf(job).active.size()) / kServiceSlots;
  clock_.After(kServiceTime * rounds, [this, &job] { FirstToken(job); });
}

void Simulation::Start(Job& job) {
  job.admitted = true;
  if (job.request->plain_call) return StartPlainCall(job);
  Runner& runner = RunnerOf(job);
  job.blocks = BlocksOf(*job.request, runner.weight_version);
  job.fetched.assign(job.blocks.size(), false);
  job.awaited = job.fetched;
  StartFetches(job);
  PumpPrefill(runner);
}

void Simulation::StartFetches(Job& job) {
  const int resident = RunnerOf(job).cache.Prefix(job.blocks);
  job.position = resident * kBlockTokens;
  for (int i = 0; i < resident; ++i) RunnerOf(job).cache.Use(job.blocks[i]);
  const int stored = fleet_.StoredRun(job.blocks, resident);
  if (stored == 0) return;
  for (const Fetch& fetch : policy_->PlanFetches(job, resident, stored, fleet_, now())) {
    const BlockKey block = job.blocks[fetch.index];
    Transfer transfer{block, job.id, fetch.index, now(), now() + fetch.patience, {}};
    fleet_.stores[fleet_.StoreOf(block)].queue.push_back(transfer);
    job.awaited[fetch.index] = true;
    job.pending_fetches += 1;
    clock_.After(fetch.patience, [this, &job, fetch] { StopWaiting(job, fetch.index); });
  }
  for (int store = 0; store < static_cast<int>(fleet_.stores.size()); ++store) PumpLink(store);
}

void Simulation::StopWaiting(Job& job, int index) {
  if (!job.awaited[index]) return;
  job.awaited[index] = false;
  job.pending_fetches -= 1;
  PumpPrefill(RunnerOf(job));
}

void Simulation::CancelFetches(Job& job) {
  for (Store& store : fleet_.stores) {
    std::erase_if(store.queue, [&](const Transfer& t) { return t.job == job.id; });
  }
  job.awaited.assign(job.blocks.size(), false);
  job.pending_fetches = 0;
}

void Simulation::PumpLink(int index) {
  Store& store = fleet_.stores[index];
  if (store.busy || !store.up || store.queue.empty()) return;
  const auto next = std::min_element(
      store.queue.begin(), store.queue.end(), [this](const Transfer& a, const Transfer& b) {
        return policy_->LinkOrder(a, now()) < policy_->LinkOrder(b, now());
      });
  const Transfer transfer = *next;
  store.queue.erase(next);
  store.busy = true;
  store.busy_until = now() + store.block_time();
  result_.link_bytes += kBlockBytes;
  clock_.After(store.block_time(), [this, index, transfer] { TransferDone(index, transfer); });
}

void Simulation::TransferDone(int index, const Transfer& transfer) {
  Store& store = fleet_.stores[index];
  store.busy = false;
  if (transfer.write_back()) {
    if (store.up) StoreBlock(store, transfer);
  } else if (!store.up) {
    StopWaiting(jobs_[transfer.job], transfer.index);
  } else {
    const auto stored = store.blocks.find(transfer.block);
    if (stored != store.blocks.end()) {
      stored->second.read = true;
      stored->second.last_use = now();
    }
    FetchArrived(transfer);
  }
  PumpLink(index);
}

void Simulation::FetchArrived(const Transfer& transfer) {
  Job& job = jobs_[transfer.job];
  const bool late = job.decoding || job.position > transfer.index * kBlockTokens;
  if (late || !RunnerOf(job).up) {
    result_.wasted_bytes += kBlockBytes;
    return;
  }
  job.fetched[transfer.index] = true;
  RunnerOf(job).cache.Use(transfer.block);
  StopWaiting(job, transfer.index);
  PumpPrefill(RunnerOf(job));
}

void Simulation::StoreBlock(Store& store, const Transfer& transfer) {
  if (store.blocks.count(transfer.block) != 0) return;
  StoredBlock stored = transfer.stored;
  stored.last_use = now();
  if (store.blocks.size() >= kStoreBlocks && !EvictFor(store, transfer.block, stored)) {
    result_.wasted_bytes += kBlockBytes;
    return;
  }
  store.blocks[transfer.block] = stored;
  policy_->BlockStored(transfer.block, stored);
}

bool Simulation::EvictFor(Store& store, BlockKey block, const StoredBlock& incoming) {
  BlockKey victim = 0;
  std::pair<int, BlockKey> victim_place{1, 0};
  double lowest = std::numeric_limits<double>::infinity();
  for (const auto& [key, stored] : store.blocks) {
    const double value = policy_->BlockValue(key, stored, incoming, now());
    // Of blocks with equal value the last of a prompt leaves first: the earlier ones stay useful
    // without it.
    const std::pair place(-stored.index, key);
    if (value > lowest || (value == lowest && place >= victim_place)) continue;
    victim = key;
    victim_place = place;
    lowest = value;
  }
  const auto found = store.blocks.find(victim);
  if (found == store.blocks.end()) return false;
  if (policy_->AdmissionValue(block, incoming, now()) <= lowest) return false;
  if (!found->second.read) result_.wasted_bytes += kBlockBytes;
  store.blocks.erase(found);
  policy_->BlockDropped(victim);
  return true;
}

void Simulation::WriteBack(const Job& job) {
  for (size_t i = 0; i < job.blocks.size(); ++i) {
    const int index = fleet_.StoreOf(job.blocks[i]);
    Store& store = fleet_.stores[index];
    const auto stored = store.blocks.find(job.blocks[i]);
    if (stored != store.blocks.end()) {
      stored->second.last_use = now();
      stored->second.next_return = job.request->next_return;
      continue;
    }
    const auto waiting = std::count_if(store.queue.begin(), store.queue.end(),
                                       [](const Transfer& t) { return t.write_back(); });
    if (!store.up || static_cast<size_t>(waiting) >= policy_->MaxWriteBacks()) continue;
    const BlockKey previous = i == 0 ? 0 : job.blocks[i - 1];
    StoredBlock fresh{now(), job.request->next_return, job.request->team,
                      false, static_cast<int>(i),      previous};
    store.queue.push_back({job.blocks[i], -1, static_cast<int>(i), now(), now(), fresh});
    PumpLink(index);
  }
}

bool Simulation::SkipReadyBlocks(Job& job) {
  while (job.position % kBlockTokens == 0) {
    const auto index = static_cast<size_t>(job.position / kBlockTokens);
    if (index >= job.blocks.size()) break;
    if (!job.fetched[index] && !RunnerOf(job).cache.Contains(job.blocks[index])) break;
    job.position += kBlockTokens;
  }
  return job.remaining() <= 0;
}

void Simulation::PumpPrefill(Runner& runner) {
  if (runner.computing != nullptr || !runner.up) return;
  Job* next = nullptr;
  for (Job* job : runner.active) {
    if (job->decoding || job->request->plain_call || AwaitsNextBlock(*job)) continue;
    if (next == nullptr ||
        policy_->PrefillOrder(*job, now()) < policy_->PrefillOrder(*next, now())) {
      next = job;
    }
  }
  if (next != nullptr) PrefillChunk(*next);
}

bool Simulation::AwaitsNextBlock(Job& job) {
  if (job.pending_fetches == 0 || SkipReadyBlocks(job)) return false;
  const auto next = static_cast<size_t>(job.position / kBlockTokens);
  return next < job.blocks.size() && job.awaited[next];
}

void Simulation::PrefillChunk(Job& job) {
  Runner& runner = RunnerOf(job);
  // The last token is always computed, also when every block is resident.
  const int64_t tokens =
      SkipReadyBlocks(job) ? 1 : std::min<int64_t>(kBlockTokens, job.remaining());
  const auto time =
      static_cast<int64_t>(static_cast<double>(PrefillTime(tokens).count()) * runner.slowdown());
  runner.computing = &job;
  runner.chunk_end = now() + Micros(time);
  clock_.After(Micros(time), [this, &job, tokens] { ChunkDone(job, tokens); });
}

void Simulation::ChunkDone(Job& job, int64_t tokens) {
  Runner& runner = RunnerOf(job);
  runner.computing = nullptr;
  if (!runner.up) return;
  job.position += tokens;
  job.computed += tokens;
  if (job.position % kBlockTokens == 0) {
    const auto index = static_cast<size_t>(job.position / kBlockTokens - 1);
    if (index < job.blocks.size()) runner.cache.Use(job.blocks[index]);
  }
  if (job.remaining() <= 0) FirstToken(job);
  Admit(runner);
  PumpPrefill(runner);
}

void Simulation::FirstToken(Job& job) {
  Runner& runner = RunnerOf(job);
  if (!runner.up) return;
  job.decoding = true;
  Outcome& outcome = OutcomeOf(job);
  outcome.ttft = now() - job.request->arrival + deployment_.one_way + deployment_.client_one_way;
  CancelFetches(job);
  outcome.recomputed =
      std::max<int64_t>(0, job.computed - (job.request->prompt_tokens - job.request->known_tokens));
  const bool retain = !job.request->plain_call && policy_->Retains(*job.request, now());
  if (retain) WriteBack(job);
  job.token_time = runner.token_time();
  clock_.After(job.token_time * job.request->output_tokens, [this, &job] { Finish(job); });
}

void Simulation::Finish(Job& job) {
  Runner& runner = RunnerOf(job);
  if (OutcomeOf(job).fate == Fate::kLost) return;
  if (runner.cold()) runner.cold_capacity += 1;
  Remove(runner.active, &job);
  const bool in_time = OutcomeOf(job).ttft <= kCallerPatience;
  OutcomeOf(job).fate = in_time ? Fate::kServed : Fate::kTimedOut;
  policy_->Finished(job, job.token_time);
  policy_->Left(job);
  Admit(runner);
}

void Simulation::Apply(const Change& change) {
  using Kind = Change::Kind;
  switch (change.kind) {
    case Kind::kStoreDies:
      return LoseStore(fleet_.stores[change.index]);
    case Kind::kStoreReturns:
      fleet_.stores[change.index].up = true;
      return;
    case Kind::kLinkSlow:
      fleet_.stores[change.index].bytes_per_second = kLinkBytesPerSecond / 10;
      return;
    case Kind::kLinkNormal:
      fleet_.stores[change.index].bytes_per_second = kLinkBytesPerSecond;
      return;
    case Kind::kRunnerCold:
      return TurnCold(fleet_.runners[change.index]);
    case Kind::kWeightSwap:
      return SwapWeights();
    case Kind::kDrain:
      drained_[change.index] = now();
      return SetCentre(change.index, &Simulation::DrainRunner);
    case Kind::kHostsStop:
      return SetCentre(change.index, &Simulation::StopRunner);
    case Kind::kRestore:
      drained_.erase(change.index);
      return SetCentre(change.index, &Simulation::RestoreRunner);
  }
}

void Simulation::LoseStore(Store& store) {
  store.up = false;
  for (const auto& [block, stored] : store.blocks) policy_->BlockDropped(block);
  store.blocks.clear();
  std::vector<Transfer> lost;
  lost.swap(store.queue);
  for (const Transfer& transfer : lost) {
    if (!transfer.write_back()) StopWaiting(jobs_[transfer.job], transfer.index);
  }
}

void Simulation::SetCentre(int centre, void (Simulation::*action)(Runner&)) {
  for (Runner& runner : fleet_.runners) {
    if (runner.data_centre == centre) (this->*action)(runner);
  }
}

void Simulation::DrainRunner(Runner& runner) {
  clock_.After(policy_->drain_delay(), [&runner] { runner.draining = true; });
  clock_.After(Seconds(5), [&runner] { runner.listed = false; });
}

void Simulation::StopRunner(Runner& runner) {
  runner.up = false;
  for (std::vector<Job*>* jobs : {&runner.queue, &runner.active}) {
    for (Job* job : *jobs) OutcomeOf(*job).fate = Fate::kLost;
    for (Job* job : *jobs) CancelFetches(*job);
    for (const Job* job : *jobs) policy_->Left(*job);
    jobs->clear();
  }
}

void Simulation::RestoreRunner(Runner& runner) {
  runner.up = true;
  runner.listed = true;
  runner.draining = false;
  runner.computing = nullptr;
  if (!runner.plain) TurnCold(runner);
}

void Simulation::TurnCold(Runner& runner) {
  runner.TurnCold();
  policy_->NewInstance(runner);
}

void Simulation::SwapWeights() {
  for (const Runner& runner : fleet_.runners) {
    if (!runner.plain) swaps_.push_back(runner.id);
  }
  for (int i = 0; i < kParallelWeightLoads; ++i) LoadNextWeights();
}

void Simulation::LoadNextWeights() {
  if (swaps_.empty()) return;
  Runner& runner = fleet_.runners[swaps_.front()];
  swaps_.erase(swaps_.begin());
  runner.loading = true;
  clock_.After(kWeightLoad, [this, &runner] {
    runner.loading = false;
    runner.weight_version += 1;
    TurnCold(runner);
    Admit(runner);
    LoadNextWeights();
  });
}

}  // namespace

RunResult Simulate(const Deployment& deployment, const Scenario& scenario,
                   const PolicyEntry& policy, int64_t requests, uint64_t seed) {
  return Simulation(deployment, policy).Run(scenario, requests, seed);
}

}  // namespace fuchsiaweir::experiment
