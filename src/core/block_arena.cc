#include "core/block_arena.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

#include "core/enum_names.h"

namespace fuchsiaweir {
namespace {

constexpr EnumNames<BlockFault, 7> kFaultNames = {{
    {BlockFault::kNone, "none"},
    {BlockFault::kAbsent, "absent"},
    {BlockFault::kNotSealed, "not_sealed"},
    {BlockFault::kOtherBlock, "other_block"},
    {BlockFault::kReused, "reused"},
    {BlockFault::kWrongLength, "wrong_length"},
    {BlockFault::kCorrupt, "corrupt"},
}};

// Quarantined slots hold memory that may be faulty. When they exceed 1/8 of the capacity, the
// oldest are freed, because a software fault that corrupts many blocks must not disable the tier.
constexpr int64_t kQuarantineDivisor = 8;

}  // namespace

std::string_view Name(BlockFault fault) { return NameIn(kFaultNames, fault); }

uint64_t BlockChecksum(const BlockId& id, std::string_view bytes) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), id.high ^ id.low);
}

BlockFault VerifyBlock(const BlockHeader& header, const BlockId& wanted, std::string_view bytes) {
  if (header.state != BlockState::kSealed) return BlockFault::kNotSealed;
  if (header.id != wanted) return BlockFault::kOtherBlock;
  if (header.length != static_cast<int64_t>(bytes.size())) return BlockFault::kWrongLength;
  if (header.checksum != BlockChecksum(wanted, bytes)) return BlockFault::kCorrupt;
  return BlockFault::kNone;
}

std::optional<BlockHandle> BlockArena::Reserve(const BlockId& id, int64_t length, double value,
                                               BlockValue value_of) {
  if (length < 1 || index_.contains(id)) return std::nullopt;
  if (!EnsureSpace(length, value, value_of)) {
    ++stats_.refused;
    return std::nullopt;
  }
  if (free_slots_.empty()) {
    free_slots_.push_back(slots_.size());
    slots_.emplace_back();
  }
  const size_t slot = free_slots_.back();
  free_slots_.pop_back();
  slots_[slot].header = {id, length, 0, next_generation_++, BlockState::kReserved};
  slots_[slot].bytes.reserve(static_cast<size_t>(length));
  used_ += length;
  index_[id] = slot;
  return BlockHandle{slot, slots_[slot].header.generation};
}

bool BlockArena::EnsureSpace(int64_t length, double value, BlockValue value_of) {
  int64_t missing = used_ + length - capacity_;
  if (missing <= 0) return true;
  if (length > capacity_) return false;
  std::vector<std::pair<double, size_t>> victims;
  for (size_t slot = 0; slot < slots_.size(); ++slot) {
    if (slots_[slot].header.state != BlockState::kSealed) continue;
    const double kept_value = value_of(slots_[slot].header.id);
    if (kept_value < value) victims.emplace_back(kept_value, slot);
  }
  std::sort(victims.begin(), victims.end());
  size_t count = 0;
  while (missing > 0 && count < victims.size()) {
    missing -= slots_[victims[count++].second].header.length;
  }
  if (missing > 0) return false;
  for (size_t i = 0; i < count; ++i) {
    removed_.push_back(slots_[victims[i].second].header.id);
    Release(victims[i].second);
    ++stats_.evicted;
  }
  return true;
}

BlockArena::Slot* BlockArena::FindReserved(const BlockHandle& handle) {
  if (handle.slot >= slots_.size()) return nullptr;
  Slot& slot = slots_[handle.slot];
  const bool current = slot.header.generation == handle.generation;
  return current && slot.header.state == BlockState::kReserved ? &slot : nullptr;
}

bool BlockArena::Write(const BlockHandle& handle, std::string_view bytes) {
  Slot* slot = FindReserved(handle);
  if (slot == nullptr) return false;
  if (bytes.size() > static_cast<size_t>(slot->header.length) - slot->bytes.size()) return false;
  slot->bytes.append(bytes);
  return true;
}

bool BlockArena::Seal(const BlockHandle& handle, std::optional<uint64_t> expected) {
  Slot* slot = FindReserved(handle);
  if (slot == nullptr) return false;
  if (static_cast<int64_t>(slot->bytes.size()) != slot->header.length) return false;
  const uint64_t checksum = BlockChecksum(slot->header.id, slot->bytes);
  if (expected.has_value() && *expected != checksum) {
    ++stats_.failed_checks;
    Release(handle.slot);
    return false;
  }
  slot->header.checksum = checksum;
  slot->header.state = BlockState::kSealed;
  return true;
}

void BlockArena::Abandon(const BlockHandle& handle) {
  if (FindReserved(handle) != nullptr) Release(handle.slot);
}

bool BlockArena::Free(const BlockId& id) {
  const auto found = index_.find(id);
  if (found == index_.end()) return false;
  Release(found->second);
  return true;
}

void BlockArena::Release(size_t index) {
  Slot& slot = slots_[index];
  used_ -= slot.header.length;
  if (slot.header.state != BlockState::kQuarantined) index_.erase(slot.header.id);
  // The new generation invalidates all reads and handles of the old block.
  slot.header = {{}, 0, 0, next_generation_++, BlockState::kFree};
  std::string().swap(slot.bytes);
  free_slots_.push_back(index);
}

void BlockArena::Quarantine(size_t index) {
  BlockHeader& header = slots_[index].header;
  index_.erase(header.id);
  removed_.push_back(header.id);
  header.state = BlockState::kQuarantined;
  header.generation = next_generation_++;
  ++stats_.quarantined;
  quarantined_bytes_ += header.length;
  quarantine_.push_back(index);
  while (quarantined_bytes_ > capacity_ / kQuarantineDivisor) {
    const size_t oldest = quarantine_.front();
    quarantine_.pop_front();
    quarantined_bytes_ -= slots_[oldest].header.length;
    Release(oldest);
  }
}

BlockFault BlockArena::CountFault(BlockFault fault) {
  if (fault == BlockFault::kNone) return fault;
  // A reserved block that is not sealed yet counts as an ordinary miss.
  const bool miss = fault == BlockFault::kAbsent || fault == BlockFault::kNotSealed;
  ++(miss ? stats_.absent : stats_.failed_checks);
  return fault;
}

BlockFault BlockArena::BeginRead(const BlockId& id, BlockRead& read) {
  const auto found = index_.find(id);
  if (found == index_.end()) return CountFault(BlockFault::kAbsent);
  const Slot& slot = slots_[found->second];
  const BlockFault fault = VerifyBlock(slot.header, id, slot.bytes);
  if (fault == BlockFault::kNone) {
    read = {found->second, slot.header};
  } else if (fault != BlockFault::kNotSealed) {
    Quarantine(found->second);
  }
  return CountFault(fault);
}

std::string_view BlockArena::Peek(const BlockRead& read, int64_t offset, int64_t size) const {
  if (read.slot >= slots_.size() || offset < 0 || size < 0) return {};
  const std::string_view bytes = slots_[read.slot].bytes;
  if (static_cast<size_t>(offset) >= bytes.size()) return {};
  return bytes.substr(static_cast<size_t>(offset), static_cast<size_t>(size));
}

BlockFault BlockArena::FinishRead(const BlockRead& read, std::string_view copy) {
  // A reused slot holds another valid block, so it is not quarantined.
  if (read.slot >= slots_.size() || slots_[read.slot].header != read.header) {
    return CountFault(BlockFault::kReused);
  }
  const BlockFault fault = VerifyBlock(read.header, read.header.id, copy);
  if (fault == BlockFault::kNone) {
    ++stats_.hits;
  } else if (fault == BlockFault::kCorrupt) {
    Quarantine(read.slot);
  }
  return CountFault(fault);
}

BlockFault BlockArena::Read(const BlockId& id, std::string& out) {
  BlockRead read;
  const BlockFault before = BeginRead(id, read);
  if (before != BlockFault::kNone) return before;
  out.assign(Peek(read, 0, read.header.length));
  const BlockFault after = FinishRead(read, out);
  if (after != BlockFault::kNone) out.clear();
  return after;
}

const BlockHeader* BlockArena::Find(const BlockId& id) const {
  const auto found = index_.find(id);
  if (found == index_.end()) return nullptr;
  const BlockHeader& header = slots_[found->second].header;
  return header.state == BlockState::kSealed ? &header : nullptr;
}

}  // namespace fuchsiaweir
