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

constexpr Duration kEventPollPeriod = Millis(250);
constexpr Duration kEventTimeout = Seconds(1);
constexpr Duration kExportTimeout = Seconds(5);

// The lookup time is lost when no copy is found, so it is limited to 1/8 of the recompute time.
constexpr int64_t kLookupDivisor = 8;
constexpr Duration kMinLookupTimeout = Millis(5);
constexpr Duration kMaxLookupTimeout = Millis(100);

constexpr size_t kMaxPromptBlocks = 512;
// Bounds the fetched bytes of one prompt that wait for import. Four blocks keep two stores and the
// engine busy.
constexpr size_t kFetchWindowBlocks = 4;
constexpr size_t kMaxConcurrentFetches = 64;
constexpr int64_t kMaxConcurrentRetains = 16;
constexpr size_t kMaxWriteBacks = 256;
constexpr int64_t kMaxPromptWriteBackBytes = 1'000'000'000;
constexpr size_t kMaxStoredHints = 100'000;

constexpr double kNominalImportBytesPerSecond = 1e9;
// A lower bound, so that slow imports into a busy engine do not rule out the memory tier
// permanently.
constexpr double kMinImportBytesPerSecond = kNominalImportBytesPerSecond / 64;
constexpr double kImportRateSampleWeight = 0.2;

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

std::vector<BlockId> ParseBlockIds(const std::vector<std::string>& texts) {
  std::vector<BlockId> ids;
  for (const std::string& text : texts) {
    if (const std::optional<BlockId> id = BlockIdFromHex(text)) ids.push_back(*id);
  }
  return ids;
}

}  // namespace

struct BlockMover::RunnerState {
  RunnerState(Endpoint address, size_t cache_blocks, std::unique_ptr<EngineClient> client)
      : endpoint(std::move(address)), engine(std::move(client)), residency(cache_blocks) {}

  void RecordImport(int64_t bytes, Duration duration) {
    const double rate = static_cast<double>(bytes) / std::max(ToSeconds(duration), 1e-6);
    import_bytes_per_second += (rate - import_bytes_per_second) * kImportRateSampleWeight;
    import_bytes_per_second = std::max(import_bytes_per_second, kMinImportBytesPerSecond);
  }

  Endpoint endpoint;
  std::unique_ptr<EngineClient> engine;
  RunnerResidency residency;
  int64_t event_cursor = 0;
  double import_bytes_per_second = kNominalImportBytesPerSecond;
  bool stopped = false;
};

/// A fetch from a store, shared by the prompts of a team that need the block.
struct BlockMover::FetchTask {
  std::vector<std::shared_ptr<boost::asio::steady_timer>> timers;  ///< Cancelled at the end.
  bool ended = false;
  int waiters = 0;  ///< Prompts that use the fetch.
  RetainedBlock block;
  bool used = false;  ///< A prompt imported the block.
  FetchOutcome outcome = FetchOutcome::kUnreachable;
  std::shared_ptr<const std::string> bytes;
};

/// Source of a block of a prompt.
struct BlockMover::LocatedBlock {
  BlockId id;
  int64_t bytes = 0;
  std::optional<StoredCopy> copy;  ///< Absent: in the memory tier.
};

/// State of one `Prepare` call.
struct BlockMover::Preparation {
  BlockDemand demand;
  std::shared_ptr<RunnerState> runner;
  TimePoint started;
  uint64_t epoch = 0;
  size_t resident = 0;
  std::vector<LocatedBlock> located;  ///< Follow the resident blocks without a gap.
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
      active_write_backs_(kMaxWriteBacks) {}

BlockMover::~BlockMover() {
  for (const auto& [name, runner] : runners_) runner->stopped = true;
}

void BlockMover::ApplyInventory() {
  std::shared_ptr<const Inventory> current = inventory_source_();
  if (current == inventory_) return;
  inventory_ = std::move(current);
  stores_.ApplyInventory(*inventory_);
  UpdateRunners();
  for (const Team& team : inventory_->teams) {
    policy_.SetTeamWeight(team.name, static_cast<double>(team.weight));
  }
}

void BlockMover::UpdateRunners() {
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
    Spawn(io_, "cache_events", [state]() { return PollEvents(state); });
  }
  for (const auto& [name, old] : runners_) {
    const auto current = runners.find(name);
    old->stopped = current == runners.end() || current->second != old;
  }
  runners_ = std::move(runners);
}

Awaitable<void> BlockMover::PollEvents(std::shared_ptr<RunnerState> runner) {
  while (!runner->stopped) {
    const uint64_t epoch = runner->residency.epoch();
    const std::optional<CacheEvents> events =
        co_await runner->engine->Events(runner->event_cursor, kEventTimeout);
    if (events && epoch == runner->residency.epoch()) {
      runner->residency.Apply(events->gap, ParseBlockIds(events->added),
                              ParseBlockIds(events->evicted), SteadyNow());
      runner->event_cursor = events->next;
    }
    co_await SleepFor(kEventPollPeriod);
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
  double rate = found->second->import_bytes_per_second;
  for (size_t i = static_cast<size_t>(residency.resident_blocks); i < chain.size(); ++i) {
    const bool in_memory = arena_.Find(chain[i]) != nullptr;
    if (!in_memory && !stored_.Contains(chain[i])) break;
    ++residency.fetchable_blocks;
    if (in_memory) continue;
    // The estimate combines the longest queue and the lowest rate of the links that the prompt
    // needs.
    const auto links = stores_.LinksForReading(chain[i]);
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
  Preparation prep;
  prep.demand = std::move(demand);
  prep.runner = found->second;
  prep.started = SteadyNow();
  prep.epoch = prep.runner->residency.epoch();
  prep.resident = static_cast<size_t>(prep.runner->residency.LeadingBlocks(prep.demand.chain));
  const size_t wanted = prep.demand.chain.size() - prep.resident;
  if (wanted == 0) co_return prepared;
  co_await LocateBlocks(prep);
  const TimePoint now = SteadyNow();
  prep.plan = PlanFetch(prep, now);
  prep.deadline = now + prep.plan.wait_limit;
  co_await ImportBlocks(prep);
  ReleaseFetches(prep);
  CountRecomputed("no_copy", wanted - prep.located.size());
  CountRecomputed("slower", prep.located.size() - prep.plan.blocks);
  CountRecomputed(prep.failure, prep.plan.blocks - prep.imported);
  prepared.fetched_tokens = static_cast<int64_t>(prep.imported) * prep.demand.block_tokens;
  co_return prepared;
}

Awaitable<void> BlockMover::LocateBlocks(Preparation& prep) {
  const BlockDemand& demand = prep.demand;
  const size_t end = std::min(demand.chain.size(), prep.resident + kMaxPromptBlocks);
  std::vector<BlockId> wanted(demand.chain.begin() + static_cast<int64_t>(prep.resident),
                              demand.chain.begin() + static_cast<int64_t>(end));
  std::vector<BlockId> unknown;
  for (const BlockId& id : wanted) {
    if (arena_.Find(id) == nullptr) unknown.push_back(id);
  }
  std::map<BlockId, StoredCopy> copies;
  if (!unknown.empty()) {
    const auto tokens = static_cast<int64_t>(unknown.size()) * demand.block_tokens;
    const Duration recompute = PrefillTime(tokens, demand.prefill_tokens_per_second);
    const Duration timeout =
        std::clamp(recompute / kLookupDivisor, kMinLookupTimeout, kMaxLookupTimeout);
    const std::vector<std::optional<StoredCopy>> found = co_await stores_.Lookup(unknown, timeout);
    for (size_t i = 0; i < unknown.size(); ++i) {
      if (found[i]) {
        copies[unknown[i]] = *found[i];
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
      prep.located.push_back({id, header->length, std::nullopt});
    } else if (copy != copies.end()) {
      prep.located.push_back({id, copy->second.header.length, copy->second});
    } else {
      break;
    }
  }
}

LeadingFetch BlockMover::PlanFetch(const Preparation& prep, TimePoint now) const {
  const BlockDemand& demand = prep.demand;
  // Link 0 leads from the memory tier to the engine.
  std::vector<LinkState> links{{0, prep.runner->import_bytes_per_second, Duration(0)}};
  std::map<std::shared_ptr<StoreLink>, size_t> index;
  LeadingFetchRequest leading;
  for (const LocatedBlock& block : prep.located) {
    size_t link = 0;
    if (block.copy) {
      const auto [entry, added] = index.try_emplace(block.copy->link, links.size());
      if (added) links.push_back(block.copy->link->State(now));
      link = entry->second;
    }
    leading.copies.push_back({block.bytes, link});
  }
  const size_t blocks = prep.resident + prep.located.size();
  leading.block_tokens = demand.block_tokens;
  leading.rest_tokens = std::max<int64_t>(
      demand.prompt_tokens - static_cast<int64_t>(blocks) * demand.block_tokens, 0);
  const PrefillState prefill{demand.backlog_tokens,
                             static_cast<double>(demand.prefill_tokens_per_second)};
  return PlanLeadingFetch(leading, links, prefill, demand.time_left);
}

// Imports in chain order, because the engine uses a block only after all those before it.
Awaitable<void> BlockMover::ImportBlocks(Preparation& prep) {
  prep.tasks.resize(prep.plan.blocks);
  for (size_t i = 0; i < prep.plan.blocks && prep.failure.empty(); ++i) {
    StartFetches(prep, i);
    const std::shared_ptr<const std::string> bytes = co_await AwaitBytes(prep, i);
    if (bytes == nullptr) continue;
    const TimePoint import_start = SteadyNow();
    if (import_start >= prep.deadline) {
      prep.failure = "late";
      continue;
    }
    const EngineCall call = co_await prep.runner->engine->ImportBlock(
        ToHex(prep.located[i].id), *bytes, prep.deadline - import_start);
    if (call.outcome != CallOutcome::kDone || prep.epoch != prep.runner->residency.epoch()) {
      prep.failure = "import_failed";
      continue;
    }
    prep.runner->residency.Add(prep.located[i].id);
    prep.runner->RecordImport(prep.located[i].bytes, SteadyNow() - import_start);
    if (prep.tasks[i] != nullptr) prep.tasks[i]->used = true;
    const std::string source = prep.located[i].copy ? "store" : "memory";
    metrics_.Counter("fw_kv_fetched_blocks_total", "KV blocks imported", {{"source", source}})
        .Increment();
    metrics_.Counter("fw_kv_fetched_bytes_total", "KV bytes imported", {{"source", source}})
        .Increment(static_cast<double>(prep.located[i].bytes));
    ++prep.imported;
  }
  // An engine reset discards the blocks imported before it.
  if (prep.epoch != prep.runner->residency.epoch()) prep.imported = 0;
}

void BlockMover::StartFetches(Preparation& prep, size_t first) {
  const size_t end = std::min(first + kFetchWindowBlocks, prep.plan.blocks);
  for (size_t i = first; i < end; ++i) {
    LocatedBlock& block = prep.located[i];
    if (prep.tasks[i] != nullptr || !block.copy) continue;
    // Another prompt may have fetched the block since it was located.
    if (arena_.Find(block.id) != nullptr) {
      block.copy.reset();
    } else {
      prep.tasks[i] = JoinOrStartFetch(prep, i);
    }
  }
}

// Block ids include the team, so only prompts of the same team share a fetch.
std::shared_ptr<BlockMover::FetchTask> BlockMover::JoinOrStartFetch(Preparation& prep,
                                                                    size_t index) {
  const LocatedBlock& block = prep.located[index];
  const auto running = active_fetches_.find(block.id);
  if (running != active_fetches_.end()) {
    ++running->second->waiters;
    return running->second;
  }
  if (active_fetches_.size() >= kMaxConcurrentFetches) return nullptr;
  auto task = std::make_shared<FetchTask>();
  task->waiters = 1;
  active_fetches_[block.id] = task;
  const BlockDemand& demand = prep.demand;
  task->block = RetainedBlockOf(demand, prep.resident + index, block.bytes);
  const auto rest = static_cast<int64_t>(prep.plan.blocks - index);
  FetchOptions options;
  options.team = demand.team;
  options.deadline = prep.deadline;
  options.runner_available_at =
      prep.started + PrefillTime(demand.backlog_tokens, demand.prefill_tokens_per_second);
  options.prefill_left = PrefillTime(rest * demand.block_tokens, demand.prefill_tokens_per_second);
  options.wanted = [task]() { return task->waiters > 0; };
  Spawn(io_, "kv_fetch", [this, task, copy = *block.copy, options = std::move(options)]() {
    return RunFetch(task, copy, options);
  });
  return task;
}

Awaitable<void> BlockMover::RunFetch(std::shared_ptr<FetchTask> task, StoredCopy copy,
                                     FetchOptions options) {
  const BlockId id = copy.header.id;
  FetchResult result = co_await stores_.Fetch(std::move(copy), std::move(options));
  task->outcome = result.outcome;
  task->ended = true;
  active_fetches_.erase(id);
  int64_t wasted = result.wasted_bytes;
  if (result.outcome == FetchOutcome::kDone) {
    task->bytes = std::make_shared<const std::string>(std::move(result.bytes));
    if (task->waiters == 0) wasted = task->block.bytes;
    StoreInMemory(id, task->block, *task->bytes);
  } else if (result.outcome == FetchOutcome::kFailedCheck ||
             result.outcome == FetchOutcome::kGone) {
    stored_.Remove(id);
    CountFailedChecks("store", std::string(Name(result.outcome)), 1);
  }
  if (wasted > 0) {
    metrics_.Counter("fw_kv_wasted_bytes_total", "KV bytes fetched and not used")
        .Increment(static_cast<double>(wasted));
  }
  for (const auto& timer : task->timers) timer->cancel();
}

// Returns null and sets `failure` if the block is not available in time.
Awaitable<std::shared_ptr<const std::string>> BlockMover::AwaitBytes(Preparation& prep,
                                                                     size_t index) {
  const LocatedBlock& block = prep.located[index];
  if (!block.copy) {
    auto bytes = std::make_shared<std::string>();
    const int64_t failed = arena_.stats().failed_checks;
    const BlockFault fault = arena_.Read(block.id, *bytes);
    CountFailedChecks("memory", std::string(Name(fault)), arena_.stats().failed_checks - failed);
    if (fault == BlockFault::kNone) co_return bytes;
    ReportRemovals();
    prep.failure = fault == BlockFault::kAbsent ? "evicted" : "failed_check";
    co_return nullptr;
  }
  const std::shared_ptr<FetchTask> task = prep.tasks[index];
  if (task == nullptr) {
    prep.failure = "busy";
    co_return nullptr;
  }
  if (!task->ended) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(io_, prep.deadline);
    task->timers.push_back(timer);
    boost::system::error_code woken;
    co_await timer->async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, woken));
  }
  if (!task->ended) prep.failure = "late";
  if (task->ended && task->bytes == nullptr) prep.failure = std::string(Name(task->outcome));
  co_return task->bytes;
}

void BlockMover::ReleaseFetches(Preparation& prep) {
  for (const std::shared_ptr<FetchTask>& task : prep.tasks) {
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
  if (active_retains_ >= kMaxConcurrentRetains) return CountDropped("busy");
  ++active_retains_;
  Spawn(io_, "kv_retain", [this, demand = std::move(demand), runner = found->second]() {
    return RetainBlocks(demand, runner);
  });
}

Awaitable<void> BlockMover::RetainBlocks(BlockDemand demand, std::shared_ptr<RunnerState> runner) {
  if (demand.chain.size() > kMaxPromptBlocks) demand.chain.resize(kMaxPromptBlocks);
  bool engine_available = true;
  for (size_t i = 0; i < demand.chain.size(); ++i) {
    const BlockId& id = demand.chain[i];
    const bool reuse_expected = policy_.ReuseProbability(id, SteadyNow()) > 0;
    if (!engine_available || !reuse_expected || arena_.Find(id) != nullptr) continue;
    engine_available = co_await Export(demand, runner, i);
  }
  StartWriteBack(demand);
  --active_retains_;
}

// Returns false if the engine does not respond or was reset.
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
  StoreInMemory(id, RetainedBlockOf(demand, index, bytes), exported.bytes);
  co_return true;
}

void BlockMover::StoreInMemory(const BlockId& id, const RetainedBlock& block,
                               const std::string& bytes) {
  const TimePoint now = SteadyNow();
  const double value = policy_.AdmissionValue(id, block, now);
  if (value <= 0) return;
  const std::optional<BlockHandle> handle = arena_.Reserve(
      id, block.bytes, value,
      [&](const BlockId& stored) { return policy_.EvictionValue(stored, block.team, now); });
  ReportRemovals();
  if (!handle) return;
  arena_.Write(*handle, bytes);
  if (arena_.Seal(*handle)) policy_.OnStored(id, block);
}

void BlockMover::ReportRemovals() {
  for (const BlockId& id : arena_.TakeRemoved()) policy_.OnDropped(id);
}

void BlockMover::StartWriteBack(const BlockDemand& demand) {
  const TimePoint now = SteadyNow();
  std::vector<BlockId> candidates;
  double rate = std::numeric_limits<double>::infinity();
  for (const BlockId& id : demand.chain) {
    if (stored_.Contains(id) || active_write_backs_.Contains(id) || arena_.Find(id) == nullptr) {
      continue;
    }
    for (const auto& link : stores_.LinksForReading(id)) {
      if (!link->accepts_writes(now)) continue;
      rate = std::min(rate, link->State(now).bytes_per_second);
      candidates.push_back(id);
      break;
    }
  }
  for (const BlockId& id :
       policy_.ChooseWriteBack(candidates, {kMaxPromptWriteBackBytes, rate}, now)) {
    if (active_write_backs_.size() >= kMaxWriteBacks) return CountDropped("busy");
    active_write_backs_.Add(id);
    const int64_t bytes = arena_.Find(id)->length;
    Spawn(io_, "kv_write_back",
          [this, id, team = demand.team, bytes]() { return WriteBack(id, team, bytes); });
  }
}

Awaitable<void> BlockMover::WriteBack(BlockId id, std::string team, int64_t bytes) {
  WriteBackRequest request{id, std::move(team), bytes, nullptr};
  request.read = [this, id]() -> std::optional<std::string> {
    std::string copy;
    if (arena_.Read(id, copy) == BlockFault::kNone) return copy;
    ReportRemovals();
    return std::nullopt;
  };
  const WriteBackOutcome outcome = co_await stores_.WriteBack(std::move(request));
  active_write_backs_.Remove(id);
  if (outcome == WriteBackOutcome::kDone || outcome == WriteBackOutcome::kPresent) stored_.Add(id);
  if (outcome == WriteBackOutcome::kDone) {
    metrics_.Counter("fw_kv_write_back_bytes_total", "KV bytes written to stores")
        .Increment(static_cast<double>(bytes));
  } else if (outcome != WriteBackOutcome::kPresent) {
    CountDropped(std::string(Name(outcome)));
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
