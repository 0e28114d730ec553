#include "net/store_set.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "core/block_assembly.h"
#include "core/enum_names.h"
#include "core/rendezvous.h"
#include "net/log.h"

namespace fuchsiaweir {
namespace {

constexpr EnumNames<FetchOutcome, 6> kFetchOutcomeNames = {{
    {FetchOutcome::kDone, "done"},
    {FetchOutcome::kLate, "late"},
    {FetchOutcome::kUnreachable, "unreachable"},
    {FetchOutcome::kGone, "gone"},
    {FetchOutcome::kFailedCheck, "failed_check"},
    {FetchOutcome::kUnwanted, "unwanted"},
}};
constexpr EnumNames<WriteBackOutcome, 6> kWriteBackOutcomeNames = {{
    {WriteBackOutcome::kDone, "done"},
    {WriteBackOutcome::kPresent, "present"},
    {WriteBackOutcome::kDropped, "dropped"},
    {WriteBackOutcome::kFull, "full"},
    {WriteBackOutcome::kUnreachable, "unreachable"},
    {WriteBackOutcome::kEvicted, "evicted"},
}};

// Each block has two candidate stores, so that it can be written while one of them is down or full.
constexpr size_t kStoresPerBlock = 2;

// Progress is recorded once per range, so a range is a small part of a block of about 100 MB.
constexpr int64_t kRangeBytes = 4'000'000;
// Smaller blocks are also split, so that a slow link is detected within a block.
constexpr int64_t kRangesPerBlock = 4;
constexpr int64_t kMinRangeBytes = 4'096;

constexpr int64_t kMaxBlockBytes = 1'000'000'000;
constexpr Duration kWriteTimeout = Seconds(5);  ///< Time limit of each request of a write-back.
constexpr Duration kMaxWriteBackQueueTime = Seconds(30);
constexpr Duration kFreeTimeout = Seconds(1);

int64_t RangeBytes(int64_t length) {
  return std::clamp(length / kRangesPerBlock + 1, kMinRangeBytes, kRangeBytes);
}

bool IsGone(BlockFault fault) {
  return fault == BlockFault::kAbsent || fault == BlockFault::kReused ||
         fault == BlockFault::kNotSealed;
}

/// One read of a block from a store.
class BlockFetch {
 public:
  BlockFetch(StoredCopy copy, FetchOptions options)
      : copy_(std::move(copy)),
        options_(std::move(options)),
        assembly_(copy_.header.id, copy_.header, kMaxBlockBytes) {}

  Awaitable<FetchResult> Run() {
    FetchResult result;
    bool ongoing = true;
    while (ongoing && assembly_.fault() == BlockFault::kNone && assembly_.missing() > 0) {
      ongoing = co_await ReadRange();
    }
    if (ongoing && assembly_.fault() == BlockFault::kNone) {
      ongoing = co_await VerifyHeader(result.bytes);
    }
    if (assembly_.fault() != BlockFault::kNone) {
      outcome_ = IsGone(assembly_.fault()) ? FetchOutcome::kGone : FetchOutcome::kFailedCheck;
    } else if (ongoing) {
      outcome_ = FetchOutcome::kDone;
    }
    result.outcome = outcome_;
    if (outcome_ != FetchOutcome::kDone) result.wasted_bytes = received_;
    co_return result;
  }

 private:
  Awaitable<bool> ReadRange() {
    const TimePoint request_start = SteadyNow();
    if (!ShouldContinue(request_start)) co_return false;
    const int64_t size = std::min(RangeBytes(copy_.header.length), assembly_.missing());
    const StoreRange range = co_await copy_.link->client().Read(
        copy_.header.id, assembly_.received(), size, options_.deadline - request_start);
    if (!RecordResponse(range, request_start)) co_return false;
    received_ += static_cast<int64_t>(range.bytes.size());
    copy_.link->RecordProgress(static_cast<int64_t>(range.bytes.size()));
    assembly_.Append(range.found ? range.header : BlockHeader{}, range.bytes);
    co_return true;
  }

  Awaitable<bool> VerifyHeader(std::string& out) {
    const TimePoint request_start = SteadyNow();
    if (request_start >= options_.deadline) {
      outcome_ = FetchOutcome::kLate;
      co_return false;
    }
    const StoreRange after = co_await copy_.link->client().Read(
        copy_.header.id, copy_.header.length, 0, options_.deadline - request_start);
    if (!RecordResponse(after, request_start)) co_return false;
    assembly_.Finish(after.found ? after.header : BlockHeader{}, out);
    co_return true;
  }

  bool RecordResponse(const StoreRange& range, TimePoint request_start) {
    const TimePoint now = SteadyNow();
    if (range.outcome == CallOutcome::kDone) {
      copy_.link->RecordSuccess(now - request_start);
      return true;
    }
    const bool late = now >= options_.deadline;
    outcome_ = late ? FetchOutcome::kLate : FetchOutcome::kUnreachable;
    // A store that sent data before the deadline is slow, not down; the link's rate accounts for
    // that.
    if (!late || received_ == 0) copy_.link->RecordFailure();
    return false;
  }

  bool ShouldContinue(TimePoint now) {
    FetchProgress progress;
    progress.bytes_left = assembly_.missing();
    progress.bytes_per_second = copy_.link->State(now).bytes_per_second;
    progress.prefill_left = options_.prefill_left;
    progress.runner_available_in = options_.runner_available_at - now;
    progress.prefill_start = options_.deadline - now;
    const bool stop = now >= options_.deadline || EvaluateFetch(progress) == FetchVerdict::kStop;
    if (stop) outcome_ = FetchOutcome::kLate;
    if (!options_.wanted()) outcome_ = FetchOutcome::kUnwanted;
    return !stop && options_.wanted();
  }

  StoredCopy copy_;
  FetchOptions options_;
  BlockAssembly assembly_;
  int64_t received_ = 0;
  FetchOutcome outcome_ = FetchOutcome::kUnreachable;
};

/// Writes a reserved block in ranges and seals it. Returns whether the store sealed it.
Awaitable<bool> WriteRanges(std::shared_ptr<StoreLink> link, BlockId id, uint64_t generation,
                            std::string bytes) {
  const auto length = static_cast<int64_t>(bytes.size());
  const int64_t size = RangeBytes(length);
  for (int64_t offset = 0; offset < length; offset += size) {
    std::string range = bytes.substr(static_cast<size_t>(offset), static_cast<size_t>(size));
    const auto written = static_cast<int64_t>(range.size());
    const StoreCall call =
        co_await link->client().Write(id, generation, offset, std::move(range), kWriteTimeout);
    if (!call.done()) co_return false;
    link->RecordProgress(written);
  }
  const BlockHeader header{id, length, BlockChecksum(id, bytes), generation, BlockState::kSealed};
  const StoreCall sealed = co_await link->client().Seal(header, kWriteTimeout);
  co_return sealed.done();
}

/// Writes to one store. The caller has begun a transfer on the link.
Awaitable<WriteBackOutcome> WriteTo(std::shared_ptr<StoreLink> link, BlockId id,
                                    std::string bytes) {
  const auto length = static_cast<int64_t>(bytes.size());
  const StoreCall reserved = co_await link->client().Reserve(id, length, kWriteTimeout);
  if (reserved.refusal == StoreRefusal::kPresent) co_return WriteBackOutcome::kPresent;
  if (reserved.refusal == StoreRefusal::kFull) {
    link->MarkFull();
    co_return WriteBackOutcome::kFull;
  }
  if (!reserved.done()) {
    link->RecordFailure();
    co_return WriteBackOutcome::kUnreachable;
  }
  const bool sealed = co_await WriteRanges(link, id, reserved.generation, std::move(bytes));
  if (sealed) {
    link->quarantine().Remove(id);
    co_return WriteBackOutcome::kDone;
  }
  // The slot may still be reserved, and a later write-back would then be refused as present.
  const StoreCall freed = co_await link->client().Free(id, reserved.generation, kFreeTimeout);
  if (freed.outcome != CallOutcome::kDone && freed.refusal == StoreRefusal::kNone) {
    link->RecordFailure();
  }
  co_return WriteBackOutcome::kUnreachable;
}

}  // namespace

std::string_view Name(FetchOutcome outcome) { return NameIn(kFetchOutcomeNames, outcome); }
std::string_view Name(WriteBackOutcome outcome) { return NameIn(kWriteBackOutcomeNames, outcome); }

StoreSet::StoreSet(boost::asio::io_context& io, HttpClient& client, std::string data_centre)
    : io_(io), client_(client), data_centre_(std::move(data_centre)) {}

void StoreSet::ApplyInventory(const Inventory& inventory) {
  std::map<std::string, std::shared_ptr<StoreLink>> links;
  for (const Store& store : inventory.stores) {
    const auto old = links_.find(store.name);
    const bool same = old != links_.end() && old->second->store().address == store.address &&
                      old->second->store().port == store.port &&
                      old->second->store().link_bytes_per_second == store.link_bytes_per_second;
    links[store.name] = same ? old->second : std::make_shared<StoreLink>(io_, store, client_);
    for (const Team& team : inventory.teams) {
      links[store.name]->schedule().SetTeamWeight(team.name, static_cast<double>(team.weight));
    }
  }
  links_ = std::move(links);
}

std::vector<std::shared_ptr<StoreLink>> StoreSet::LinksByRank(const BlockId& id) const {
  std::vector<std::string> names;
  names.reserve(links_.size());
  for (const auto& [name, link] : links_) names.push_back(name);
  std::vector<std::shared_ptr<StoreLink>> ranked;
  for (const std::string& name : RendezvousTop(ToHex(id), names, kStoresPerBlock)) {
    ranked.push_back(links_.at(name));
  }
  return ranked;
}

std::vector<std::shared_ptr<StoreLink>> StoreSet::LinksForReading(const BlockId& id) const {
  std::vector<std::shared_ptr<StoreLink>> links = LinksByRank(id);
  std::stable_partition(links.begin(), links.end(), [this](const auto& link) {
    return link->store().data_centre == data_centre_;
  });
  return links;
}

namespace {

/// Results of concurrent lookups in several stores.
struct LookupState {
  explicit LookupState(boost::asio::io_context& io) : done(io) {}
  boost::asio::steady_timer done;
  size_t pending = 0;
  std::map<std::string, std::map<BlockId, BlockHeader>> found;
};

Awaitable<void> LookupIn(std::shared_ptr<LookupState> state, std::shared_ptr<StoreLink> link,
                         std::vector<BlockId> ids, Duration timeout) {
  const TimePoint request_start = SteadyNow();
  const StoreLookup lookup = co_await link->client().Lookup(ids, timeout);
  if (lookup.outcome == CallOutcome::kDone) {
    link->RecordSuccess(SteadyNow() - request_start);
    for (size_t i = 0; i < ids.size(); ++i) {
      const std::optional<BlockHeader>& header = lookup.headers[i];
      if (header && header->state == BlockState::kSealed && header->id == ids[i]) {
        state->found[link->store().name][ids[i]] = *header;
      }
    }
  } else {
    link->RecordFailure();
  }
  if (--state->pending == 0) state->done.cancel();
}

}  // namespace

Awaitable<std::vector<std::optional<StoredCopy>>> StoreSet::Lookup(std::vector<BlockId> ids,
                                                                   Duration timeout) {
  const auto state = std::make_shared<LookupState>(io_);
  const TimePoint now = SteadyNow();
  std::map<std::shared_ptr<StoreLink>, std::vector<BlockId>> queries;
  for (const BlockId& id : ids) {
    for (const auto& link : LinksByRank(id)) {
      if (!link->down(now) && !link->quarantine().Contains(id)) queries[link].push_back(id);
    }
  }
  state->pending = queries.size();
  for (const auto& [link, block_ids] : queries) {
    Spawn(io_, "kv_lookup", [state, link = link, block_ids = block_ids, timeout]() {
      return LookupIn(state, link, block_ids, timeout);
    });
  }
  if (state->pending > 0) {
    boost::system::error_code woken;
    state->done.expires_after(timeout);
    co_await state->done.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, woken));
  }
  std::vector<std::optional<StoredCopy>> copies(ids.size());
  for (size_t i = 0; i < ids.size(); ++i) {
    for (const auto& link : LinksForReading(ids[i])) {
      const auto& headers = state->found[link->store().name];
      const auto header = headers.find(ids[i]);
      if (header == headers.end() || copies[i]) continue;
      copies[i] = StoredCopy{link, header->second};
    }
  }
  co_return copies;
}

Awaitable<FetchResult> StoreSet::Fetch(StoredCopy copy, FetchOptions options) {
  const std::shared_ptr<StoreLink> link = copy.link;
  const BlockHeader header = copy.header;
  Transfer transfer{0, options.team, TransferKind::kFetch, header.length, options.deadline};
  FetchResult result;
  result.outcome = FetchOutcome::kLate;
  if (!co_await link->BeginTransfer(std::move(transfer))) co_return result;
  BlockFetch fetch(std::move(copy), std::move(options));
  result = co_await fetch.Run();
  link->EndTransfer();
  if (result.outcome != FetchOutcome::kFailedCheck) co_return result;
  // The store's copy is corrupt: it is not read again, and freed so that the block can be
  // rewritten.
  LogWarning("kv_block_failed_check", {{"store", link->store().name}, {"block", ToHex(header.id)}});
  link->quarantine().Add(header.id);
  Spawn(io_, "kv_free", [link, header]() -> Awaitable<void> {
    co_await link->client().Free(header.id, header.generation, kFreeTimeout);
  });
  co_return result;
}

Awaitable<WriteBackOutcome> StoreSet::WriteBack(WriteBackRequest request) {
  WriteBackOutcome outcome = WriteBackOutcome::kUnreachable;
  for (const std::shared_ptr<StoreLink>& link : LinksByRank(request.id)) {
    const TimePoint now = SteadyNow();
    if (!link->accepts_writes(now)) continue;
    Transfer transfer{0, request.team, TransferKind::kWriteBack, request.bytes,
                      now + kMaxWriteBackQueueTime};
    if (!co_await link->BeginTransfer(std::move(transfer))) co_return WriteBackOutcome::kDropped;
    std::optional<std::string> bytes = request.read();
    outcome = WriteBackOutcome::kEvicted;
    // The store may have become full or unavailable while this transfer was queued.
    const TimePoint started = SteadyNow();
    if (!link->accepts_writes(started)) {
      outcome = link->down(started) ? WriteBackOutcome::kUnreachable : WriteBackOutcome::kFull;
    } else if (bytes) {
      outcome = co_await WriteTo(link, request.id, std::move(*bytes));
    }
    link->EndTransfer();
    if (outcome != WriteBackOutcome::kFull && outcome != WriteBackOutcome::kUnreachable) {
      co_return outcome;
    }
  }
  co_return outcome;
}

}  // namespace fuchsiaweir
