#ifndef FUCHSIAWEIR_CORE_BLOCK_ARENA_H_
#define FUCHSIAWEIR_CORE_BLOCK_ARENA_H_

#include <absl/container/flat_hash_map.h>
#include <absl/functional/function_ref.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/block_chain.h"

namespace fuchsiaweir {

enum class BlockState { kFree, kReserved, kSealed, kQuarantined };

/// Describes stored bytes. The arena and the store hosts keep one beside each block.
struct BlockHeader {
  BlockId id;
  int64_t length = 0;       ///< Bytes of the whole block.
  uint64_t checksum = 0;    ///< `BlockChecksum` of the bytes; set by sealing.
  uint64_t generation = 0;  ///< Grows whenever the place holds another block.
  BlockState state = BlockState::kFree;

  bool operator==(const BlockHeader&) const = default;
};

/// Why stored bytes must not be used.
enum class BlockFault {
  kNone,
  kAbsent,
  kNotSealed,
  kOtherBlock,
  kReused,  ///< The place was freed or reused since the read began.
  kWrongLength,
  kCorrupt,
};

/// Returns the fault's name for logs and metrics, for example "not_sealed".
std::string_view Name(BlockFault fault);

/// XXH3 (64 bit) of the bytes, seeded with the id so that bytes of another block never match.
uint64_t BlockChecksum(const BlockId& id, std::string_view bytes);

/// Checks bytes, held here or received from a store, against the header and the wanted block.
BlockFault VerifyBlock(const BlockHeader& header, const BlockId& wanted, std::string_view bytes);

/// A place under construction. A stale handle has no effect.
struct BlockHandle {
  size_t slot = 0;
  uint64_t generation = 0;
};

/// A read in progress. It does not keep the block in place; `FinishRead` detects its loss.
struct BlockRead {
  size_t slot = 0;
  BlockHeader header;  ///< As verified when the read began.
};

/// Counters since the start.
struct ArenaStats {
  int64_t hits = 0;
  int64_t absent = 0;
  int64_t failed_checks = 0;  ///< Reads turned into misses by `VerifyBlock` or a reused place.
  int64_t quarantined = 0;
  int64_t evicted = 0;
  int64_t refused = 0;  ///< Reservations without room.
};

/// Value of keeping a sealed block; infinity forbids its eviction.
using BlockValue = absl::FunctionRef<double(const BlockId& id)>;

/// Memory tier of retained KV blocks within one process. Not thread-safe.
class BlockArena {
 public:
  /// `capacity` in bytes bounds the reserved, sealed and quarantined blocks together.
  explicit BlockArena(int64_t capacity) : capacity_(capacity) {}

  /// Takes a place for `length` > 0 bytes, evicting sealed blocks whose value is below `value`,
  /// least first. Evicts nothing unless the block then fits. Returns nothing when there is no room
  /// or the block is already present or under construction.
  std::optional<BlockHandle> Reserve(const BlockId& id, int64_t length, double value,
                                     BlockValue value_of);

  /// Appends bytes to a reserved block. Returns false for a stale handle or too many bytes.
  bool Write(const BlockHandle& handle, std::string_view bytes);

  /// Makes a completely written block readable. When the sender's checksum is given and differs,
  /// the place is freed. Returns whether the block is readable.
  bool Seal(const BlockHandle& handle, std::optional<uint64_t> expected = std::nullopt);

  /// Gives up a block under construction.
  void Abandon(const BlockHandle& handle);

  /// Frees a sealed block or one under construction. Returns false when it is absent.
  bool Free(const BlockId& id);

  /// Returns a verified copy, or the reason of the miss.
  BlockFault Read(const BlockId& id, std::string& out);

  /// Verifies the block and starts a copy that may take several steps.
  BlockFault BeginRead(const BlockId& id, BlockRead& read);

  /// Returns up to `size` bytes from the place. They are untrusted until `FinishRead`.
  std::string_view Peek(const BlockRead& read, int64_t offset, int64_t size) const;

  /// Verifies the place and the copy. The copy must be discarded unless this returns kNone.
  BlockFault FinishRead(const BlockRead& read, std::string_view copy);

  /// Returns the header of a readable block, or null.
  const BlockHeader* Find(const BlockId& id) const;

  /// Ids evicted or quarantined since the last call, for `RetentionPolicy::OnDropped`.
  std::vector<BlockId> TakeRemoved() { return std::exchange(lost_, {}); }

  int64_t capacity() const { return capacity_; }
  int64_t used() const { return used_; }
  const ArenaStats& stats() const { return stats_; }

 private:
  struct Slot {
    BlockHeader header;
    std::string bytes;
  };

  Slot* UnderConstruction(const BlockHandle& handle);
  bool MakeRoom(int64_t length, double value, BlockValue value_of);
  void Release(size_t slot);
  void Quarantine(size_t slot);
  BlockFault CountFault(BlockFault fault);

  int64_t capacity_;
  int64_t used_ = 0;
  int64_t quarantined_bytes_ = 0;
  uint64_t next_generation_ = 1;
  std::vector<Slot> slots_;
  std::vector<size_t> free_slots_;
  std::deque<size_t> quarantine_;
  absl::flat_hash_map<BlockId, size_t> index_;
  std::vector<BlockId> lost_;
  ArenaStats stats_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_BLOCK_ARENA_H_
