#include "net/block_mover.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <limits>
#include <utility>

#include "net/log.h"

namespace fuchsiaweir {
namespace {

constexpr Duration kEventPeriod = Millis(250);
constexpr Duration kEventTimeout = Seconds(1);
constexpr Duration kExportTimeout = Seconds(5);

// The lookup is lost time when nothing is found, so it may take this part of recomputing.
constexpr int64_t kLookupDivisor = 8;
constexpr Duration kMinLookup = Millis(5);
constexpr Duration kMaxLookup = Millis(100);

constexpr size_t kMaxPromptBlocks = 512;
// Bounds the bytes of one prompt that wait for import; enough to keep two stores and the engine
// busy.
constexpr size_t kFetchWindow = 4;
constexpr size_t kMaxFetches = 64;
constexpr int64_t kMaxRetains = 16;
constexpr size_t kMaxWriting = 256;
constexpr int64_t kWriteBackBytes = 1'000'000'000;  ///< Of one prompt.
constexpr size_t kMaxStoredHints = 100'000;

constexpr double kNominalImportRate = 1e9;
// An import slowed down by a busy engine must not make the memory tier look useless for good.
constexpr double kMinImportRate = kNominalImportRate / 64;
constexpr double kImportRateWeight = 0.2;

Duration PrefillTime(int64_t tokens, int64_t tokens_per_second) {
  return Micros(tokens * 1'000'000 / std::max<int64_t>(tokens_per_second, 1));
}

RetainedBlock RetainedBlockOf(const BlockDemand& demand, size_t index, int64_t bytes) {
  RetainedBlock block;
  block.team = demand.team;
  block.bytes = bytes;
  block.recompute = PrefillTime(demand.block_tokens, demand.prefill_tokens_per_second);
  if (index > 0) block.previous = demand.chain[index - 1];
  return block;
}

std::vector<BlockId> ParseIds(const std::vector<std::string>& texts) {
  std::vector<BlockId> ids;
  for (const std::string& text : texts) {
    if (const std::optional<BlockId> id = BlockIdFromHex(text)) ids.push_back(*id);
  }
  return ids;
}

}  // namespace

struct BlockMover::RunnerState {
  RunnerState(Endpoint at, size_t cache_blocks, std::unique_ptr<EngineClient> client)
      : endpoint(std::move(at)), engine(std::move(client)), residency(cache_blocks) {}

  void RecordImport(int64_t bytes, Duration taken) {
    const double rate = static_cast<double>(bytes) / std::max(ToSeconds(taken), 1e-6);
    import_rate += (rate - import_rate) * kImportRateWeight;
    import_rate = std::max(import_rate, kMinImportRate);
  }

  Endpoint endpoint;
  std::unique_ptr<EngineClient> engine;
  RunnerResidency residency;
  int64_t event_cursor = 0;
  double import_rate = kNominalImportRate;
  bool stopped = false;
};

/// A fetch from a store that one or more prompts of a team wait for.
struct BlockMover::FetchTask {
  std::vector<std::shared_ptr<boost::asio::steady_timer>> timers;  ///< Cancelled at the end.
  bool ended = false;
  int waiters = 0;
  RetainedBlock block;
  bool used = false;
  FetchEnd end = FetchEnd::kUnreachable;
  std::shared_ptr<const std::string> bytes;
};

/// Where a block of a prompt can be taken from.
struct BlockMover::Located {
  BlockId id;
  int64_t bytes = 0;
  std::optional<StoredCopy> copy;  ///< Absent: in the memory tier.
};

/// The work of one `Prepare`.
struct BlockMover::Preparation {
  BlockDemand demand;
  std::shared_ptr<RunnerState> runner;
  TimePoint started;
  uint64_t epoch = 0;
  size_t resident = 0;
  std::vector<Located> located;
  LeadingFetch plan;
  TimePoint deadline;
  std::vector<std::shared_ptr<FetchTask>> tasks;
  std::string failure;  ///< Reason why the import ended early.
  size_t imported = 0;
};

BlockMover::BlockMover(boost::asio::io_context& io, HttpClient& client, InventorySource inventory,
                       Metrics& metrics, const BlockMoverOptions& options)
    : io_(io),
      client_(client),
      host_(options.host),
      stores_(io, client, options.data_centre),
      inventory_source_(std::move(inventory)),
      metrics_(metrics),
      arena_(options.memory_bytes),
      policy_({options.memory_bytes}),
      stored_(kMaxStoredHints),
      writing_(kMaxWriting) {}

BlockMover::~BlockMover() {
  for (const auto& [name, runner] : runners_) runner->stopped = true;
}

void BlockMover::ApplyInventory() {
  std::shared_ptr<const Inventory> current = inventory_source_();
  if (current == inventory_) return;
  inventory_ = std::move(current);
  stores_.ApplyInventory(*inventory_);
  AdoptRunners();
  for (const Team& team : inventory_->teams) {
    policy_.SetTeamWeight(team.name, static_cast<double>(team.weight));
  }
}

void BlockMover::AdoptRunners() {
  std::map<std::string, std::shared_ptr<RunnerState>> runners;
  for (const Runner& runner : inventory_->runners) {
    if (runner.host != host_) continue;
    const Endpoint endpoint{runner.address, static_cast<uint16_t>(runner.port)};
    const auto old = runners_.find(runner.name);
    if (old != runners_.end() && old->second->endpoint == endpoint) {
      runners[runner.name] = old->second;
      continue;
    }
    const auto state =
        std::make_shared<RunnerState>(endpoint, static_cast<size_t>(runner.cache_blocks),
                                      MakeHttpEngineClient(client_, endpoint));
    runners[runner.name] = state;
    Spawn(io_, "cache_events", [state]() { return FollowEvents(state); });
  }
  for (const auto& [name, old] : runners_) {
    const auto kept = runners.find(name);
    old->stopped = kept == runners.end() || kept->second != old;
  }
  runners_ = std::move(runners);
}

Awaitable<void> BlockMover::FollowEvents(std::shared_ptr<RunnerState> runner) {
  while (!runner->stopped) {
    const uint64_t epoch = runner->residency.epoch();
    const std::optional<CacheEvents> events =
        co_await runner->engine->Events(runner->event_cursor, kEventTimeout);
    if (events && epoch == runner->residency.epoch()) {
      runner->residency.Apply(events->gap, ParseIds(events->added), ParseIds(events->evicted),
                              SteadyNow());
      runner->event_cursor = events->next;
    }
    co_await SleepFor(kEventPeriod);
  }
}

void BlockMover::OnEngineReset(const std::string& runner) {
  const auto found = runners_.find(runner);
  if (found != runners_.end()) found->second->residency.Reset(SteadyNow());
}

BlockResidency BlockMover::Residency(const std::string& runner, const std::vector<BlockId>& chain) {
  ApplyInventory();
  BlockResidency residency;
  const auto found = runners_.find(runner);
  if (found == runners_.end()) return residency;
  const TimePoint now = SteadyNow();
  residency.resident_blocks = found->second->residency.LeadingBlocks(chain);
  double rate = found->second->import_rate;
  for (size_t i = static_cast<size_t>(residency.resident_blocks); i < chain.size(); ++i) {
    const bool in_memory = arena_.Find(chain[i]) != nullptr;
    if (!in_memory && !stored_.Contains(chain[i])) break;
    ++residency.fetchable_blocks;
    if (in_memory) continue;
    // The worst of the links that the prompt needs decides.
    const auto links = stores_.ForReading(chain[i]);
    if (links.empty()) continue;
    const LinkState link = links.front()->State(now);
    residency.link_queue_bytes = std::max(residency.link_queue_bytes, link.queued_bytes);
    rate = std::min(rate, link.bytes_per_second);
  }
  residency.link_bytes_per_second = static_cast<int64_t>(rate);
  return residency;
}

Awaitable<PreparedBlocks> BlockMover::Prepare(BlockDemand demand) {
  ApplyInventory();
  PreparedBlocks prepared;
  policy_.Observe(demand.team, demand.model, demand.chain, SteadyNow());
  const auto found = runners_.find(demand.runner);
  if (found == runners_.end()) co_return prepared;
  Preparation work;
  work.demand = std::move(demand);
  work.runner = found->second;
  work.started = SteadyNow();
  work.epoch = work.runner->residency.epoch();
  work.resident = static_cast<size_t>(work.runner->residency.LeadingBlocks(work.demand.chain));
  const size_t wanted = work.demand.chain.size() - work.resident;
  if (wanted == 0) co_return prepared;
  co_await Locate(work);
  const TimePoint now = SteadyNow();
  work.plan = Plan(work, now);
  work.deadline = now + work.plan.wait_limit;
  co_await Import(work);
  Release(work);
  CountRecomputed("no_copy", wanted - work.located.size());
  CountRecomputed("slower", work.located.size() - work.plan.blocks);
  CountRecomputed(work.failure, work.plan.blocks - work.imported);
  prepared.fetched_tokens = static_cast<int64_t>(work.imported) * work.demand.block_tokens;
  co_return prepared;
}

// Finds the leading blocks after the resident ones that the memory tier or a store holds.
Awaitable<void> BlockMover::Locate(Preparation& work) {
  const BlockDemand& demand = work.demand;
  const size_t end = std::min(demand.chain.size(), work.resident + kMaxPromptBlocks);
  std::vector<BlockId> wanted(demand.chain.begin() + static_cast<int64_t>(work.resident),
                              demand.chain.begin() + static_cast<int64_t>(end));
  std::vector<BlockId> unknown;
  for (const BlockId& id : wanted) {
    if (arena_.Find(id) == nullptr) unknown.push_back(id);
  }
  std::map<BlockId, StoredCopy> copies;
  if (!unknown.empty()) {
    const auto tokens = static_cast<int64_t>(unknown.size()) * demand.block_tokens;
    const Duration recompute = PrefillTime(tokens, demand.prefill_tokens_per_second);
    const Duration timeout = std::clamp(recompute / kLookupDivisor, kMinLookup, kMaxLookup);
    const std::vector<std::optional<StoredCopy>> answers =
        co_await stores_.Lookup(unknown, timeout);
    for (size_t i = 0; i < unknown.size(); ++i) {
      if (answers[i]) {
        copies[unknown[i]] = *answers[i];
        stored_.Add(unknown[i]);
      } else {
        stored_.Remove(unknown[i]);
      }
    }
  }
  for (const BlockId& id : wanted) {
    const BlockHeader* header = arena_.Find(id);
    const auto copy = copies.find(id);
    if (header != nullptr) {
      work.located.push_back({id, header->length, std::nullopt});
    } else if (copy != copies.end()) {
      work.located.push_back({id, copy->second.header.length, copy->second});
    } else {
      break;
    }
  }
}

LeadingFetch BlockMover::Plan(const Preparation& work, TimePoint now) const {
  const BlockDemand& demand = work.demand;
  // Link 0 is the way from the memory tier into the engine.
  std::vector<LinkState> links{{0, work.runner->import_rate, Duration(0)}};
  std::map<std::shared_ptr<StoreLink>, size_t> index;
  LeadingFetchRequest leading;
  for (const Located& block : work.located) {
    size_t link = 0;
    if (block.copy) {
      const auto [entry, added] = index.try_emplace(block.copy->link, links.size());
      if (added) links.push_back(block.copy->link->State(now));
      link = entry->second;
    }
    leading.copies.push_back({block.bytes, link});
  }
  const size_t blocks = work.resident + work.located.size();
  leading.block_tokens = demand.block_tokens;
  leading.rest_tokens = std::max<int64_t>(
      demand.prompt_tokens - static_cast<int64_t>(blocks) * demand.block_tokens, 0);
  const PrefillState prefill{demand.backlog_tokens,
                             static_cast<double>(demand.prefill_tokens_per_second)};
  return PlanLeadingFetch(leading, links, prefill, demand.time_left);
}

// Imports in chain order, because the engine uses only leading blocks.
Awaitable<void> BlockMover::Import(Preparation& work) {
  work.tasks.resize(work.plan.blocks);
  for (size_t i = 0; i < work.plan.blocks && work.failure.empty(); ++i) {
    StartFetches(work, i);
    const std::shared_ptr<const std::string> bytes = co_await BytesOf(work, i);
    if (bytes == nullptr) continue;
    const TimePoint before = SteadyNow();
    if (before >= work.deadline) {
      work.failure = "late";
      continue;
    }
    const EngineCall call = co_await work.runner->engine->ImportBlock(
        ToHex(work.located[i].id), *bytes, work.deadline - before);
    if (call.outcome != CallOutcome::kDone || work.epoch != work.runner->residency.epoch()) {
      work.failure = "import_failed";
      continue;
    }
    work.runner->residency.Add(work.located[i].id);
    work.runner->RecordImport(work.located[i].bytes, SteadyNow() - before);
    if (work.tasks[i] != nullptr) work.tasks[i]->used = true;
    const std::string source = work.located[i].copy ? "store" : "memory";
    metrics_.Counter("fw_kv_fetched_blocks_total", "KV blocks imported", {{"source", source}})
        .Increment();
    metrics_.Counter("fw_kv_fetched_bytes_total", "KV bytes imported", {{"source", source}})
        .Increment(static_cast<double>(work.located[i].bytes));
    ++work.imported;
  }
  // A reset engine has lost what was imported before it.
  if (work.epoch != work.runner->residency.epoch()) work.imported = 0;
}

void BlockMover::StartFetches(Preparation& work, size_t first) {
  const size_t end = std::min(first + kFetchWindow, work.plan.blocks);
  for (size_t i = first; i < end; ++i) {
    Located& block = work.located[i];
    if (work.tasks[i] != nullptr || !block.copy) continue;
    // Another prompt may have fetched the block since it was located.
    if (arena_.Find(block.id) != nullptr) {
      block.copy.reset();
    } else {
      work.tasks[i] = JoinFetch(work, i);
    }
  }
}

// The id names the team, so only prompts of one team join a fetch.
std::shared_ptr<BlockMover::FetchTask> BlockMover::JoinFetch(Preparation& work, size_t index) {
  const Located& block = work.located[index];
  const auto running = fetches_.find(block.id);
  if (running != fetches_.end()) {
    ++running->second->waiters;
    return running->second;
  }
  if (fetches_.size() >= kMaxFetches) return nullptr;
  auto task = std::make_shared<FetchTask>();
  task->waiters = 1;
  fetches_[block.id] = task;
  const BlockDemand& demand = work.demand;
  task->block = RetainedBlockOf(demand, work.resident + index, block.bytes);
  const auto rest = static_cast<int64_t>(work.plan.blocks - index);
  FetchTerms terms;
  terms.team = demand.team;
  terms.deadline = work.deadline;
  terms.slot = work.started + PrefillTime(demand.backlog_tokens, demand.prefill_tokens_per_second);
  terms.prefill_left = PrefillTime(rest * demand.block_tokens, demand.prefill_tokens_per_second);
  terms.wanted = [task]() { return task->waiters > 0; };
  Spawn(io_, "kv_fetch", [this, task, copy = *block.copy, terms = std::move(terms)]() {
    return RunFetch(task, copy, terms);
  });
  return task;
}

Awaitable<void> BlockMover::RunFetch(std::shared_ptr<FetchTask> task, StoredCopy copy,
                                     FetchTerms terms) {
  const BlockId id = copy.header.id;
  FetchResult result = co_await stores_.Fetch(std::move(copy), std::move(terms));
  task->end = result.end;
  task->ended = true;
  fetches_.erase(id);
  int64_t wasted = result.wasted_bytes;
  if (result.end == FetchEnd::kDone) {
    task->bytes = std::make_shared<const std::string>(std::move(result.bytes));
    if (task->waiters == 0) wasted = task->block.bytes;
    Store(id, task->block, *task->bytes);
  } else if (result.end == FetchEnd::kFailedCheck || result.end == FetchEnd::kGone) {
    stored_.Remove(id);
    CountFailedChecks("store", std::string(Name(result.end)), 1);
  }
  if (wasted > 0) {
    metrics_.Counter("fw_kv_wasted_bytes_total", "KV bytes fetched and not used")
        .Increment(static_cast<double>(wasted));
  }
  for (const auto& timer : task->timers) timer->cancel();
}

// Returns null and sets the failure when the block is not available in time.
Awaitable<std::shared_ptr<const std::string>> BlockMover::BytesOf(Preparation& work, size_t index) {
  const Located& block = work.located[index];
  if (!block.copy) {
    auto bytes = std::make_shared<std::string>();
    const int64_t failed = arena_.stats().failed_checks;
    const BlockFault fault = arena_.Read(block.id, *bytes);
    CountFailedChecks("memory", std::string(Name(fault)), arena_.stats().failed_checks - failed);
    if (fault == BlockFault::kNone) co_return bytes;
    ForgetLost();
    work.failure = fault == BlockFault::kAbsent ? "evicted" : "failed_check";
    co_return nullptr;
  }
  const std::shared_ptr<FetchTask> task = work.tasks[index];
  if (task == nullptr) {
    work.failure = "busy";
    co_return nullptr;
  }
  if (!task->ended) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(io_, work.deadline);
    task->timers.push_back(timer);
    boost::system::error_code woken;
    co_await timer->async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, woken));
  }
  if (!task->ended) work.failure = "late";
  if (task->ended && task->bytes == nullptr) work.failure = std::string(Name(task->end));
  co_return task->bytes;
}

void BlockMover::Release(Preparation& work) {
  for (const std::shared_ptr<FetchTask>& task : work.tasks) {
    if (task == nullptr) continue;
    --task->waiters;
    const bool unused = task->bytes != nullptr && !task->used && task->waiters == 0;
    if (!unused) continue;
    metrics_.Counter("fw_kv_wasted_bytes_total", "KV bytes fetched and not used")
        .Increment(static_cast<double>(task->bytes->size()));
  }
}

void BlockMover::Retain(BlockDemand demand) {
  ApplyInventory();
  const auto found = runners_.find(demand.runner);
  if (found == runners_.end() || demand.chain.empty()) return;
  if (retains_ >= kMaxRetains) return CountDropped("busy");
  ++retains_;
  Spawn(io_, "kv_retain", [this, demand = std::move(demand), runner = found->second]() {
    return RetainBlocks(demand, runner);
  });
}

Awaitable<void> BlockMover::RetainBlocks(BlockDemand demand, std::shared_ptr<RunnerState> runner) {
  if (demand.chain.size() > kMaxPromptBlocks) demand.chain.resize(kMaxPromptBlocks);
  bool answering = true;
  for (size_t i = 0; i < demand.chain.size(); ++i) {
    const BlockId& id = demand.chain[i];
    const bool valued = policy_.ReuseProbability(id, SteadyNow()) > 0;
    if (!answering || !valued || arena_.Find(id) != nullptr) continue;
    answering = co_await Export(demand, runner, i);
  }
  StartWriteBack(demand);
  --retains_;
}

// Returns false when the engine does not answer or was reset.
Awaitable<bool> BlockMover::Export(const BlockDemand& demand, std::shared_ptr<RunnerState> runner,
                                   size_t index) {
  const BlockId& id = demand.chain[index];
  const uint64_t epoch = runner->residency.epoch();
  const EngineExport exported = co_await runner->engine->ExportBlock(ToHex(id), kExportTimeout);
  if (exported.outcome != CallOutcome::kDone || epoch != runner->residency.epoch()) co_return false;
  if (!exported.found) {
    runner->residency.Remove(id);
    co_return true;
  }
  runner->residency.Add(id);
  const auto bytes = static_cast<int64_t>(exported.bytes.size());
  Store(id, RetainedBlockOf(demand, index, bytes), exported.bytes);
  co_return true;
}

void BlockMover::Store(const BlockId& id, const RetainedBlock& block, const std::string& bytes) {
  const TimePoint now = SteadyNow();
  const double value = policy_.AdmissionValue(id, block, now);
  if (value <= 0) return;
  const std::optional<BlockHandle> handle = arena_.Reserve(
      id, block.bytes, value,
      [&](const BlockId& kept) { return policy_.EvictionValue(kept, block.team, now); });
  ForgetLost();
  if (!handle) return;
  arena_.Write(*handle, bytes);
  if (arena_.Seal(*handle)) policy_.OnStored(id, block);
}

void BlockMover::ForgetLost() {
  for (const BlockId& id : arena_.TakeRemoved()) policy_.OnDropped(id);
}

void BlockMover::StartWriteBack(const BlockDemand& demand) {
  const TimePoint now = SteadyNow();
  std::vector<BlockId> candidates;
  double rate = std::numeric_limits<double>::infinity();
  for (const BlockId& id : demand.chain) {
    if (stored_.Contains(id) || writing_.Contains(id) || arena_.Find(id) == nullptr) continue;
    for (const auto& link : stores_.ForReading(id)) {
      if (!link->accepts_writes(now)) continue;
      rate = std::min(rate, link->State(now).bytes_per_second);
      candidates.push_back(id);
      break;
    }
  }
  for (const BlockId& id : policy_.ChooseWriteBack(candidates, {kWriteBackBytes, rate}, now)) {
    if (writing_.size() >= kMaxWriting) return CountDropped("busy");
    writing_.Add(id);
    const int64_t bytes = arena_.Find(id)->length;
    Spawn(io_, "kv_write_back",
          [this, id, team = demand.team, bytes]() { return WriteBack(id, team, bytes); });
  }
}

Awaitable<void> BlockMover::WriteBack(BlockId id, std::string team, int64_t bytes) {
  WriteBackOrder order{id, std::move(team), bytes, nullptr};
  order.read = [this, id]() -> std::optional<std::string> {
    std::string copy;
    if (arena_.Read(id, copy) == BlockFault::kNone) return copy;
    ForgetLost();
    return std::nullopt;
  };
  const WriteEnd end = co_await stores_.WriteBack(std::move(order));
  writing_.Remove(id);
  if (end == WriteEnd::kDone || end == WriteEnd::kPresent) stored_.Add(id);
  if (end == WriteEnd::kDone) {
    metrics_.Counter("fw_kv_write_back_bytes_total", "KV bytes written to stores")
        .Increment(static_cast<double>(bytes));
  } else if (end != WriteEnd::kPresent) {
    CountDropped(std::string(Name(end)));
  }
}

void BlockMover::CountDropped(const std::string& reason) {
  metrics_
      .Counter("fw_kv_write_back_drops_total", "KV blocks not written to a store",
               {{"reason", reason}})
      .Increment();
}

void BlockMover::CountRecomputed(const std::string& reason, size_t blocks) {
  if (blocks == 0) return;
  metrics_.Counter("fw_kv_recomputed_blocks_total", "KV blocks not fetched", {{"reason", reason}})
      .Increment(static_cast<double>(blocks));
}

void BlockMover::CountFailedChecks(const std::string& tier, const std::string& reason,
                                   int64_t count) {
  if (count == 0) return;
  metrics_
      .Counter("fw_kv_failed_checks_total", "KV blocks that failed a check",
               {{"tier", tier}, {"reason", reason}})
      .Increment(static_cast<double>(count));
}

}  // namespace fuchsiaweir
