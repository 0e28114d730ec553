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
/// Dispatches to a data centre later than this after its drain order count as late.
constexpr Duration kMaxDispatchAfterDrain = Seconds(3);
constexpr int kParallelWeightLoads = 2;
constexpr double kSlowLinkBytesPerSecond = kLinkBytesPerSecond / 10;

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
  void OnArrival(int id);
  void Enqueue(Job& job);
  void Refuse(Job& job);
  void Admit(Runner& runner);
  void Start(Job& job);
  void StartServiceCall(Job& job);
  void OnFirstToken(Job& job);
  void Finish(Job& job);
  void Remove(std::vector<Job*>& jobs, const Job* job) { std::erase(jobs, job); }

  // Prefill.
  void StartNextPrefillChunk(Runner& runner);
  bool SkipReadyBlocks(Job& job);
  bool AwaitsNextBlock(Job& job);
  void StartPrefillChunk(Job& job);
  void OnChunkDone(Job& job, int64_t tokens);

  // Links.
  void StartFetches(Job& job);
  void StartNextTransfer(int store);
  void OnTransferDone(int store, const Transfer& transfer);
  void OnFetchArrived(const Transfer& transfer);
  void StopAwaitingFetch(Job& job, int index);
  void CancelFetches(Job& job);
  void WriteBack(const Job& job);
  void StoreBlock(Store& store, const Transfer& transfer);
  bool EvictFor(Store& store, BlockKey block, const StoredBlock& incoming);

  // Changes.
  void Apply(const Change& change);
  void FailStore(Store& store);
  void ForEachRunnerIn(int centre, void (Simulation::*action)(Runner&));
  void DrainRunner(Runner& runner);
  void StopRunner(Runner& runner);
  void ResetToCold(Runner& runner);
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
  std::map<int, TimePoint> drain_times_;   ///< Data centre -> time of the drain order.
  std::vector<int> pending_weight_loads_;  ///< Runners queued for a load of new weights.
};

RunResult Simulation::Run(const Scenario& scenario, int64_t requests, uint64_t seed) {
  result_.length = RunLength(deployment_, requests);
  result_.trace = GenerateTrace(deployment_, scenario.surge, requests, seed);
  result_.outcomes.resize(result_.trace.size());
  for (size_t i = 0; i < result_.trace.size(); ++i) {
    Job& job = jobs_.emplace_back();
    job.request = &result_.trace[i];
    job.id = static_cast<int>(i);
    result_.outcomes[i].request = job.request;
    clock_.ScheduleAfter(job.request->arrival - TimePoint{},
                         [this, i] { OnArrival(static_cast<int>(i)); });
  }
  for (const Change& change : scenario.changes) {
    const auto at = static_cast<int64_t>(change.at * static_cast<double>(result_.length.count()));
    clock_.ScheduleAfter(Micros(at) + change.delay, [this, &change] { Apply(change); });
  }
  ReportLoad();
  clock_.Run();
  result_.routing = policy_->routing_cost();
  return std::move(result_);
}

void Simulation::ReportLoad() {
  for (const EngineReport& report : reports_) policy_->OnEngineReport(report);
  reports_.clear();
  for (Runner& runner : fleet_.runners) {
    runner.reported_load = runner.load();
    const int running = static_cast<int>(runner.active.size());
    reports_.push_back({runner.id, running, runner.token_time()});
  }
  if (now() - TimePoint{} < result_.length) {
    clock_.ScheduleAfter(kReportInterval, [this] { ReportLoad(); });
  }
}

void Simulation::OnArrival(int id) {
  Job& job = jobs_[id];
  job.runner = policy_->SelectRunner(*job.request, fleet_, now());
  if (job.runner == kRefuse) {
    OutcomeOf(job).status = RequestStatus::kRefused;
    return;
  }
  Runner& runner = RunnerOf(job);
  runner.reported_load += 1;
  const auto drained = drain_times_.find(runner.data_centre);
  if (drained != drain_times_.end() && now() - drained->second > kMaxDispatchAfterDrain) {
    result_.late_dispatches += 1;
  }
  // Bids take a round trip, dispatch takes one way.
  const Duration routing_delay = deployment_.one_way_delay * (1 + 2 * policy_->bid_round_trips());
  clock_.ScheduleAfter(deployment_.client_one_way_delay + routing_delay,
                       [this, &job] { Enqueue(job); });
}

void Simulation::Refuse(Job& job) {
  OutcomeOf(job).status = RequestStatus::kRefused;
  policy_->OnJobEnded(job);
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
    const bool timed_out = now() - job->request->arrival > kCallerTimeout;
    if (timed_out) {
      Refuse(*job);
      OutcomeOf(*job).status = RequestStatus::kTimedOut;
      continue;
    }
    runner.active.push_back(job);
    if (static_cast<int>(runner.active.size()) > runner.run_limit && runner.cold()) {
      result_.cold_overloads += 1;
    }
    policy_->OnRunStarted(*job);
    Start(*job);
  }
  for (Job* job : policy_->TakeRefused(runner, now())) {
    Remove(runner.queue, job);
    Refuse(*job);
  }
}

void Simulation::StartServiceCall(Job& job) {
  const int rounds = 1 + static_cast<int>(RunnerOf(job).active.size()) / kServiceSlots;
  clock_.ScheduleAfter(kServiceCallTime * rounds, [this, &job] { OnFirstToken(job); });
}

void Simulation::Start(Job& job) {
  job.admitted = true;
  if (job.request->service_call) return StartServiceCall(job);
  Runner& runner = RunnerOf(job);
  job.blocks = BlocksOf(*job.request, runner.weight_version);
  job.fetched.assign(job.blocks.size(), false);
  job.awaited = job.fetched;
  StartFetches(job);
  StartNextPrefillChunk(runner);
}

void Simulation::StartFetches(Job& job) {
  const int resident = RunnerOf(job).cache.PrefixLength(job.blocks);
  job.position = resident * kBlockTokens;
  for (int i = 0; i < resident; ++i) RunnerOf(job).cache.Touch(job.blocks[i]);
  const int stored = fleet_.StoredRunLength(job.blocks, resident);
  if (stored == 0) return;
  for (const Fetch& fetch : policy_->PlanFetches(job, resident, stored, fleet_, now())) {
    const BlockKey block = job.blocks[fetch.index];
    Transfer transfer{block, job.id, fetch.index, now(), now() + fetch.timeout, {}};
    fleet_.stores[fleet_.StoreIndex(block)].queue.push_back(transfer);
    job.awaited[fetch.index] = true;
    job.pending_fetches += 1;
    clock_.ScheduleAfter(fetch.timeout,
                         [this, &job, fetch] { StopAwaitingFetch(job, fetch.index); });
  }
  for (int store = 0; store < static_cast<int>(fleet_.stores.size()); ++store) {
    StartNextTransfer(store);
  }
}

void Simulation::StopAwaitingFetch(Job& job, int index) {
  if (!job.awaited[index]) return;
  job.awaited[index] = false;
  job.pending_fetches -= 1;
  StartNextPrefillChunk(RunnerOf(job));
}

void Simulation::CancelFetches(Job& job) {
  for (Store& store : fleet_.stores) {
    std::erase_if(store.queue, [&](const Transfer& t) { return t.job == job.id; });
  }
  job.awaited.assign(job.blocks.size(), false);
  job.pending_fetches = 0;
}

void Simulation::StartNextTransfer(int index) {
  Store& store = fleet_.stores[index];
  if (store.busy || !store.up || store.queue.empty()) return;
  const auto next = std::min_element(
      store.queue.begin(), store.queue.end(), [this](const Transfer& a, const Transfer& b) {
        return policy_->LinkOrder(a, now()) < policy_->LinkOrder(b, now());
      });
  const Transfer transfer = *next;
  store.queue.erase(next);
  store.busy = true;
  store.busy_until = now() + store.block_transfer_time();
  result_.link_bytes += kBlockBytes;
  clock_.ScheduleAfter(store.block_transfer_time(),
                       [this, index, transfer] { OnTransferDone(index, transfer); });
}

void Simulation::OnTransferDone(int index, const Transfer& transfer) {
  Store& store = fleet_.stores[index];
  store.busy = false;
  if (transfer.write_back()) {
    if (store.up) StoreBlock(store, transfer);
  } else if (!store.up) {
    StopAwaitingFetch(jobs_[transfer.job], transfer.index);
  } else {
    const auto stored = store.blocks.find(transfer.block);
    if (stored != store.blocks.end()) {
      stored->second.read = true;
      stored->second.last_use = now();
    }
    OnFetchArrived(transfer);
  }
  StartNextTransfer(index);
}

void Simulation::OnFetchArrived(const Transfer& transfer) {
  Job& job = jobs_[transfer.job];
  const bool late = job.decoding || job.position > transfer.index * kBlockTokens;
  if (late || !RunnerOf(job).up) {
    result_.wasted_bytes += kBlockBytes;
    return;
  }
  job.fetched[transfer.index] = true;
  RunnerOf(job).cache.Touch(transfer.block);
  StopAwaitingFetch(job, transfer.index);
  StartNextPrefillChunk(RunnerOf(job));
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
  policy_->OnBlockStored(transfer.block, stored);
}

bool Simulation::EvictFor(Store& store, BlockKey block, const StoredBlock& incoming) {
  BlockKey victim = 0;
  std::pair<int, BlockKey> victim_tie_break{1, 0};
  double lowest = std::numeric_limits<double>::infinity();
  for (const auto& [key, stored] : store.blocks) {
    const double value = policy_->EvictionValue(key, stored, incoming, now());
    // Of blocks with equal value the last of a prompt is evicted first, because the earlier ones
    // remain usable without it.
    const std::pair tie_break(-stored.index, key);
    if (value > lowest || (value == lowest && tie_break >= victim_tie_break)) continue;
    victim = key;
    victim_tie_break = tie_break;
    lowest = value;
  }
  const auto found = store.blocks.find(victim);
  if (found == store.blocks.end()) return false;
  if (policy_->AdmissionValue(block, incoming, now()) <= lowest) return false;
  if (!found->second.read) result_.wasted_bytes += kBlockBytes;
  store.blocks.erase(found);
  policy_->OnBlockDropped(victim);
  return true;
}

void Simulation::WriteBack(const Job& job) {
  for (size_t i = 0; i < job.blocks.size(); ++i) {
    const int index = fleet_.StoreIndex(job.blocks[i]);
    Store& store = fleet_.stores[index];
    const auto stored = store.blocks.find(job.blocks[i]);
    if (stored != store.blocks.end()) {
      stored->second.last_use = now();
      stored->second.next_return = job.request->next_return;
      continue;
    }
    const auto write_backs = std::count_if(store.queue.begin(), store.queue.end(),
                                           [](const Transfer& t) { return t.write_back(); });
    if (!store.up || static_cast<size_t>(write_backs) >= policy_->MaxQueuedWriteBacks()) continue;
    const BlockKey previous = i == 0 ? 0 : job.blocks[i - 1];
    StoredBlock fresh{now(), job.request->next_return, job.request->team,
                      false, static_cast<int>(i),      previous};
    store.queue.push_back({job.blocks[i], -1, static_cast<int>(i), now(), now(), fresh});
    StartNextTransfer(index);
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

void Simulation::StartNextPrefillChunk(Runner& runner) {
  if (runner.computing != nullptr || !runner.up) return;
  Job* next = nullptr;
  for (Job* job : runner.active) {
    if (job->decoding || job->request->service_call || AwaitsNextBlock(*job)) continue;
    if (next == nullptr ||
        policy_->PrefillOrder(*job, now()) < policy_->PrefillOrder(*next, now())) {
      next = job;
    }
  }
  if (next != nullptr) StartPrefillChunk(*next);
}

bool Simulation::AwaitsNextBlock(Job& job) {
  if (job.pending_fetches == 0 || SkipReadyBlocks(job)) return false;
  const auto next = static_cast<size_t>(job.position / kBlockTokens);
  return next < job.blocks.size() && job.awaited[next];
}

void Simulation::StartPrefillChunk(Job& job) {
  Runner& runner = RunnerOf(job);
  // The engine always computes the last prompt token, even if every block is resident.
  const int64_t tokens =
      SkipReadyBlocks(job) ? 1 : std::min<int64_t>(kBlockTokens, job.remaining());
  const auto time =
      static_cast<int64_t>(static_cast<double>(PrefillTime(tokens).count()) * runner.slowdown());
  runner.computing = &job;
  runner.chunk_end = now() + Micros(time);
  clock_.ScheduleAfter(Micros(time), [this, &job, tokens] { OnChunkDone(job, tokens); });
}

void Simulation::OnChunkDone(Job& job, int64_t tokens) {
  Runner& runner = RunnerOf(job);
  runner.computing = nullptr;
  if (!runner.up) return;
  job.position += tokens;
  job.computed_tokens += tokens;
  if (job.position % kBlockTokens == 0) {
    const auto index = static_cast<size_t>(job.position / kBlockTokens - 1);
    if (index < job.blocks.size()) runner.cache.Touch(job.blocks[index]);
  }
  if (job.remaining() <= 0) OnFirstToken(job);
  Admit(runner);
  StartNextPrefillChunk(runner);
}

void Simulation::OnFirstToken(Job& job) {
  Runner& runner = RunnerOf(job);
  if (!runner.up) return;
  job.decoding = true;
  Outcome& outcome = OutcomeOf(job);
  outcome.ttft =
      now() - job.request->arrival + deployment_.one_way_delay + deployment_.client_one_way_delay;
  CancelFetches(job);
  outcome.recomputed_tokens = std::max<int64_t>(
      0, job.computed_tokens - (job.request->prompt_tokens - job.request->reusable_tokens));
  const bool retain = !job.request->service_call && policy_->ShouldWriteBack(*job.request, now());
  if (retain) WriteBack(job);
  job.token_time = runner.token_time();
  clock_.ScheduleAfter(job.token_time * job.request->output_tokens, [this, &job] { Finish(job); });
}

void Simulation::Finish(Job& job) {
  Runner& runner = RunnerOf(job);
  if (OutcomeOf(job).status == RequestStatus::kLost) return;
  if (runner.cold()) runner.run_limit += 1;
  Remove(runner.active, &job);
  const bool in_time = OutcomeOf(job).ttft <= kCallerTimeout;
  OutcomeOf(job).status = in_time ? RequestStatus::kServed : RequestStatus::kTimedOut;
  policy_->OnRunFinished(job, job.token_time);
  policy_->OnJobEnded(job);
  Admit(runner);
}

void Simulation::Apply(const Change& change) {
  using Type = Change::Type;
  switch (change.type) {
    case Type::kStoreFails:
      return FailStore(fleet_.stores[change.index]);
    case Type::kStoreRecovers:
      fleet_.stores[change.index].up = true;
      return;
    case Type::kLinkSlow:
      fleet_.stores[change.index].bytes_per_second = kSlowLinkBytesPerSecond;
      return;
    case Type::kLinkNormal:
      fleet_.stores[change.index].bytes_per_second = kLinkBytesPerSecond;
      return;
    case Type::kRunnerCold:
      return ResetToCold(fleet_.runners[change.index]);
    case Type::kWeightSwap:
      return SwapWeights();
    case Type::kDrain:
      drain_times_[change.index] = now();
      return ForEachRunnerIn(change.index, &Simulation::DrainRunner);
    case Type::kHostsStop:
      return ForEachRunnerIn(change.index, &Simulation::StopRunner);
    case Type::kRestore:
      drain_times_.erase(change.index);
      return ForEachRunnerIn(change.index, &Simulation::RestoreRunner);
  }
}

void Simulation::FailStore(Store& store) {
  store.up = false;
  for (const auto& [block, stored] : store.blocks) policy_->OnBlockDropped(block);
  store.blocks.clear();
  std::vector<Transfer> lost;
  lost.swap(store.queue);
  for (const Transfer& transfer : lost) {
    if (!transfer.write_back()) StopAwaitingFetch(jobs_[transfer.job], transfer.index);
  }
}

void Simulation::ForEachRunnerIn(int centre, void (Simulation::*action)(Runner&)) {
  for (Runner& runner : fleet_.runners) {
    if (runner.data_centre == centre) (this->*action)(runner);
  }
}

void Simulation::DrainRunner(Runner& runner) {
  clock_.ScheduleAfter(policy_->drain_delay(), [&runner] { runner.draining = true; });
  clock_.ScheduleAfter(kHostListDelay, [&runner] { runner.listed = false; });
}

void Simulation::StopRunner(Runner& runner) {
  runner.up = false;
  for (std::vector<Job*>* jobs : {&runner.queue, &runner.active}) {
    for (Job* job : *jobs) OutcomeOf(*job).status = RequestStatus::kLost;
    for (Job* job : *jobs) CancelFetches(*job);
    for (const Job* job : *jobs) policy_->OnJobEnded(*job);
    jobs->clear();
  }
}

void Simulation::RestoreRunner(Runner& runner) {
  runner.up = true;
  runner.listed = true;
  runner.draining = false;
  runner.computing = nullptr;
  if (!runner.is_service) ResetToCold(runner);
}

void Simulation::ResetToCold(Runner& runner) {
  runner.ResetToCold();
  policy_->OnNewInstance(runner);
}

void Simulation::SwapWeights() {
  for (const Runner& runner : fleet_.runners) {
    if (!runner.is_service) pending_weight_loads_.push_back(runner.id);
  }
  for (int i = 0; i < kParallelWeightLoads; ++i) LoadNextWeights();
}

void Simulation::LoadNextWeights() {
  if (pending_weight_loads_.empty()) return;
  Runner& runner = fleet_.runners[pending_weight_loads_.front()];
  pending_weight_loads_.erase(pending_weight_loads_.begin());
  runner.loading = true;
  clock_.ScheduleAfter(kWeightLoadTime, [this, &runner] {
    runner.loading = false;
    runner.weight_version += 1;
    ResetToCold(runner);
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
