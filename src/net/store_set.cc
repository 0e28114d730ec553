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

constexpr EnumNames<FetchEnd, 6> kFetchNames = {{
    {FetchEnd::kDone, "done"},
    {FetchEnd::kLate, "late"},
    {FetchEnd::kUnreachable, "unreachable"},
    {FetchEnd::kGone, "gone"},
    {FetchEnd::kFailedCheck, "failed_check"},
    {FetchEnd::kUnwanted, "unwanted"},
}};
constexpr EnumNames<WriteEnd, 6> kWriteNames = {{
    {WriteEnd::kDone, "done"},
    {WriteEnd::kPresent, "present"},
    {WriteEnd::kDropped, "dropped"},
    {WriteEnd::kFull, "full"},
    {WriteEnd::kUnreachable, "unreachable"},
    {WriteEnd::kEvicted, "evicted"},
}};

// A block is written to one of two stores, so that it finds a place while the other is down or
// full.
constexpr size_t kCandidates = 2;

// Progress is seen once per range, so a range is a small part of a block of some 100 MB.
constexpr int64_t kRangeBytes = 4'000'000;
// Small blocks still arrive in this many ranges, so that a slow link is noticed inside a block.
constexpr int64_t kRangesPerBlock = 4;
constexpr int64_t kMinRangeBytes = 4'096;

constexpr int64_t kMaxBlockBytes = 1'000'000'000;
constexpr Duration kWriteTimeout = Seconds(5);  ///< For each request of a write-back.
constexpr Duration kMaxWriteWait = Seconds(30);
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
  BlockFetch(StoredCopy copy, FetchTerms terms)
      : copy_(std::move(copy)),
        terms_(std::move(terms)),
        assembly_(copy_.header.id, copy_.header, kMaxBlockBytes) {}

  Awaitable<FetchResult> Run() {
    FetchResult result;
    bool going = true;
    while (going && assembly_.fault() == BlockFault::kNone && assembly_.missing() > 0) {
      going = co_await ReadRange();
    }
    if (going && assembly_.fault() == BlockFault::kNone) going = co_await ReadEnd(result.bytes);
    if (assembly_.fault() != BlockFault::kNone) {
      end_ = IsGone(assembly_.fault()) ? FetchEnd::kGone : FetchEnd::kFailedCheck;
    } else if (going) {
      end_ = FetchEnd::kDone;
    }
    result.end = end_;
    if (end_ != FetchEnd::kDone) result.wasted_bytes = received_;
    co_return result;
  }

 private:
  Awaitable<bool> ReadRange() {
    const TimePoint before = SteadyNow();
    if (!MayContinue(before)) co_return false;
    const int64_t size = std::min(RangeBytes(copy_.header.length), assembly_.missing());
    const StoreRange range = co_await copy_.link->client().Read(
        copy_.header.id, assembly_.received(), size, terms_.deadline - before);
    if (!Answered(range, before)) co_return false;
    received_ += static_cast<int64_t>(range.bytes.size());
    copy_.link->Progress(static_cast<int64_t>(range.bytes.size()));
    assembly_.Append(range.found ? range.header : BlockHeader{}, range.bytes);
    co_return true;
  }

  Awaitable<bool> ReadEnd(std::string& out) {
    const TimePoint before = SteadyNow();
    if (before >= terms_.deadline) {
      end_ = FetchEnd::kLate;
      co_return false;
    }
    const StoreRange after = co_await copy_.link->client().Read(
        copy_.header.id, copy_.header.length, 0, terms_.deadline - before);
    if (!Answered(after, before)) co_return false;
    assembly_.Finish(after.found ? after.header : BlockHeader{}, out);
    co_return true;
  }

  bool Answered(const StoreRange& range, TimePoint before) {
    const TimePoint now = SteadyNow();
    if (range.outcome == CallOutcome::kDone) {
      copy_.link->Succeed(now - before);
      return true;
    }
    const bool late = now >= terms_.deadline;
    end_ = late ? FetchEnd::kLate : FetchEnd::kUnreachable;
    // A store that sent something in time is slow; the link's rate tells how slow.
    if (!late || received_ == 0) copy_.link->Fail();
    return false;
  }

  bool MayContinue(TimePoint now) {
    FetchProgress progress;
    progress.bytes_left = assembly_.missing();
    progress.bytes_per_second = copy_.link->State(now).bytes_per_second;
    progress.prefill_left = terms_.prefill_left;
    progress.runner_available_in = terms_.slot - now;
    progress.prefill_start = terms_.deadline - now;
    const bool stop = now >= terms_.deadline || EvaluateFetch(progress) == FetchVerdict::kStop;
    if (stop) end_ = FetchEnd::kLate;
    if (!terms_.wanted()) end_ = FetchEnd::kUnwanted;
    return !stop && terms_.wanted();
  }

  StoredCopy copy_;
  FetchTerms terms_;
  BlockAssembly assembly_;
  int64_t received_ = 0;
  FetchEnd end_ = FetchEnd::kUnreachable;
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
    link->Progress(written);
  }
  const BlockHeader header{id, length, BlockChecksum(id, bytes), generation, BlockState::kSealed};
  const StoreCall sealed = co_await link->client().Seal(header, kWriteTimeout);
  co_return sealed.done();
}

/// Writes to one store. The caller has the link's turn.
Awaitable<WriteEnd> WriteTo(std::shared_ptr<StoreLink> link, BlockId id, std::string bytes) {
  const auto length = static_cast<int64_t>(bytes.size());
  const StoreCall reserved = co_await link->client().Reserve(id, length, kWriteTimeout);
  if (reserved.refusal == StoreRefusal::kPresent) co_return WriteEnd::kPresent;
  if (reserved.refusal == StoreRefusal::kFull) {
    link->MarkFull();
    co_return WriteEnd::kFull;
  }
  if (!reserved.done()) {
    link->Fail();
    co_return WriteEnd::kUnreachable;
  }
  const bool sealed = co_await WriteRanges(link, id, reserved.generation, std::move(bytes));
  if (sealed) {
    link->quarantine().Remove(id);
    co_return WriteEnd::kDone;
  }
  // The place may still be reserved, and a later write-back would find it taken.
  const StoreCall freed = co_await link->client().Free(id, reserved.generation, kFreeTimeout);
  if (freed.outcome != CallOutcome::kDone && freed.refusal == StoreRefusal::kNone) link->Fail();
  co_return WriteEnd::kUnreachable;
}

}  // namespace

std::string_view Name(FetchEnd end) { return NameIn(kFetchNames, end); }
std::string_view Name(WriteEnd end) { return NameIn(kWriteNames, end); }

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

std::vector<std::shared_ptr<StoreLink>> StoreSet::ByRank(const BlockId& id) const {
  std::vector<std::string> names;
  names.reserve(links_.size());
  for (const auto& [name, link] : links_) names.push_back(name);
  std::vector<std::shared_ptr<StoreLink>> ranked;
  for (const std::string& name : RendezvousTop(ToHex(id), names, kCandidates)) {
    ranked.push_back(links_.at(name));
  }
  return ranked;
}

std::vector<std::shared_ptr<StoreLink>> StoreSet::ForReading(const BlockId& id) const {
  std::vector<std::shared_ptr<StoreLink>> links = ByRank(id);
  std::stable_partition(links.begin(), links.end(), [this](const auto& link) {
    return link->store().data_centre == data_centre_;
  });
  return links;
}

namespace {

/// Answers of several stores that are asked at the same time.
struct LookupState {
  explicit LookupState(boost::asio::io_context& io) : done(io) {}
  boost::asio::steady_timer done;
  size_t open = 0;
  std::map<std::string, std::map<BlockId, BlockHeader>> found;
};

Awaitable<void> LookupIn(std::shared_ptr<LookupState> state, std::shared_ptr<StoreLink> link,
                         std::vector<BlockId> ids, Duration timeout) {
  const TimePoint before = SteadyNow();
  const StoreLookup lookup = co_await link->client().Lookup(ids, timeout);
  if (lookup.outcome == CallOutcome::kDone) {
    link->Succeed(SteadyNow() - before);
    for (size_t i = 0; i < ids.size(); ++i) {
      const std::optional<BlockHeader>& header = lookup.headers[i];
      if (header && header->state == BlockState::kSealed && header->id == ids[i]) {
        state->found[link->store().name][ids[i]] = *header;
      }
    }
  } else {
    link->Fail();
  }
  if (--state->open == 0) state->done.cancel();
}

}  // namespace

Awaitable<std::vector<std::optional<StoredCopy>>> StoreSet::Lookup(std::vector<BlockId> ids,
                                                                   Duration timeout) {
  const auto state = std::make_shared<LookupState>(io_);
  const TimePoint now = SteadyNow();
  std::map<std::shared_ptr<StoreLink>, std::vector<BlockId>> questions;
  for (const BlockId& id : ids) {
    for (const auto& link : ByRank(id)) {
      if (!link->down(now) && !link->quarantine().Contains(id)) questions[link].push_back(id);
    }
  }
  state->open = questions.size();
  for (const auto& [link, asked] : questions) {
    Spawn(io_, "kv_lookup", [state, link = link, asked = asked, timeout]() {
      return LookupIn(state, link, asked, timeout);
    });
  }
  if (state->open > 0) {
    boost::system::error_code woken;
    state->done.expires_after(timeout);
    co_await state->done.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, woken));
  }
  std::vector<std::optional<StoredCopy>> copies(ids.size());
  for (size_t i = 0; i < ids.size(); ++i) {
    for (const auto& link : ForReading(ids[i])) {
      const auto& held = state->found[link->store().name];
      const auto header = held.find(ids[i]);
      if (header == held.end() || copies[i]) continue;
      copies[i] = StoredCopy{link, header->second};
    }
  }
  co_return copies;
}

Awaitable<FetchResult> StoreSet::Fetch(StoredCopy copy, FetchTerms terms) {
  const std::shared_ptr<StoreLink> link = copy.link;
  const BlockHeader header = copy.header;
  Transfer transfer{0, terms.team, TransferKind::kFetch, header.length, terms.deadline};
  FetchResult result;
  result.end = FetchEnd::kLate;
  if (!co_await link->Enter(std::move(transfer))) co_return result;
  BlockFetch fetch(std::move(copy), std::move(terms));
  result = co_await fetch.Run();
  link->Leave();
  if (result.end != FetchEnd::kFailedCheck) co_return result;
  // The store's copy is bad: it is not read again, and freed so that it can be written anew.
  LogWarning("kv_block_failed_check", {{"store", link->store().name}, {"block", ToHex(header.id)}});
  link->quarantine().Add(header.id);
  Spawn(io_, "kv_free", [link, header]() -> Awaitable<void> {
    co_await link->client().Free(header.id, header.generation, kFreeTimeout);
  });
  co_return result;
}

Awaitable<WriteEnd> StoreSet::WriteBack(WriteBackOrder order) {
  WriteEnd end = WriteEnd::kUnreachable;
  for (const std::shared_ptr<StoreLink>& link : ByRank(order.id)) {
    const TimePoint now = SteadyNow();
    if (!link->accepts_writes(now)) continue;
    Transfer transfer{0, order.team, TransferKind::kWriteBack, order.bytes, now + kMaxWriteWait};
    if (!co_await link->Enter(std::move(transfer))) co_return WriteEnd::kDropped;
    std::optional<std::string> bytes = order.read();
    end = WriteEnd::kEvicted;
    // The store may have become full or dead while this transfer waited for its turn.
    const TimePoint started = SteadyNow();
    if (!link->accepts_writes(started)) {
      end = link->down(started) ? WriteEnd::kUnreachable : WriteEnd::kFull;
    } else if (bytes) {
      end = co_await WriteTo(link, order.id, std::move(*bytes));
    }
    link->Leave();
    if (end != WriteEnd::kFull && end != WriteEnd::kUnreachable) co_return end;
  }
  co_return end;
}

}  // namespace fuchsiaweir
