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

/// Metadata of a stored block, stored beside its bytes in the arena and on the store hosts.
struct BlockHeader {
  BlockId id;
  int64_t length = 0;       ///< Bytes of the complete block.
  uint64_t checksum = 0;    ///< `BlockChecksum` of the bytes; set when the block is sealed.
  uint64_t generation = 0;  ///< Increases whenever the slot is freed or reused.
  BlockState state = BlockState::kFree;

  bool operator==(const BlockHeader&) const = default;
};

/// Reason why stored bytes must not be used.
enum class BlockFault {
  kNone,
  kAbsent,
  kNotSealed,
  kOtherBlock,
  kReused,  ///< The slot was freed or reused since the read began.
  kWrongLength,
  kCorrupt,
};

/// Returns the name of the fault in logs and metrics, for example "not_sealed".
std::string_view Name(BlockFault fault);

/// Returns the 64-bit XXH3 hash of the bytes, seeded with the id to detect bytes of another block.
uint64_t BlockChecksum(const BlockId& id, std::string_view bytes);

/// Verifies local or received bytes against the header and the wanted block.
BlockFault VerifyBlock(const BlockHeader& header, const BlockId& wanted, std::string_view bytes);

/// Refers to a reserved block that is being written. Operations on a stale handle have no effect.
struct BlockHandle {
  size_t slot = 0;
  uint64_t generation = 0;
};

/// A read in progress. It does not pin the block; `FinishRead` detects that it was freed or reused.
struct BlockRead {
  size_t slot = 0;
  BlockHeader header;  ///< As verified when the read began.
};

/// Counters since the start of the process.
struct ArenaStats {
  int64_t hits = 0;
  int64_t absent = 0;
  int64_t failed_checks = 0;  ///< Failed verifications and reads of a reused slot.
  int64_t quarantined = 0;
  int64_t evicted = 0;
  int64_t refused = 0;  ///< Reservations rejected for lack of space.
};

/// Value of keeping a sealed block; infinity forbids its eviction.
using BlockValue = absl::FunctionRef<double(const BlockId& id)>;

/// Memory tier of retained KV blocks within one process. Not thread-safe.
class BlockArena {
 public:
  /// `capacity` is the maximum of reserved, sealed and quarantined bytes together.
  explicit BlockArena(int64_t capacity) : capacity_(capacity) {}

  /// Reserves a slot of `length` > 0 bytes. Evicts sealed blocks whose value is below `value`,
  /// lowest first, but only if that frees enough space. Returns nullopt for lack of space or when
  /// the block is already reserved or sealed.
  std::optional<BlockHandle> Reserve(const BlockId& id, int64_t length, double value,
                                     BlockValue value_of);

  /// Appends bytes to a reserved block. Returns false for a stale handle or too many bytes.
  bool Write(const BlockHandle& handle, std::string_view bytes);

  /// Makes a completely written block readable. Frees the slot if the checksum differs from
  /// `expected`, the checksum from the sender. Returns whether the block is readable.
  bool Seal(const BlockHandle& handle, std::optional<uint64_t> expected = std::nullopt);

  /// Frees a reserved block.
  void Abandon(const BlockHandle& handle);

  /// Frees a sealed or reserved block. Returns false when it is absent.
  bool Free(const BlockId& id);

  /// Copies the block to `out` and verifies the copy. Returns the reason for a miss, or kNone.
  BlockFault Read(const BlockId& id, std::string& out);

  /// Verifies the block and begins a read that may take several `Peek` calls.
  BlockFault BeginRead(const BlockId& id, BlockRead& read);

  /// Returns up to `size` bytes of the slot. They are unverified until `FinishRead`.
  std::string_view Peek(const BlockRead& read, int64_t offset, int64_t size) const;

  /// Verifies the slot and the copy. The copy must be discarded unless this returns kNone.
  BlockFault FinishRead(const BlockRead& read, std::string_view copy);

  /// Returns the header of a sealed block, or nullptr.
  const BlockHeader* Find(const BlockId& id) const;

  /// Returns the ids evicted or quarantined since the last call, for `RetentionPolicy::OnDropped`.
  std::vector<BlockId> TakeRemoved() { return std::exchange(removed_, {}); }

  int64_t capacity() const { return capacity_; }
  int64_t used() const { return used_; }
  const ArenaStats& stats() const { return stats_; }

 private:
  struct Slot {
    BlockHeader header;
    std::string bytes;
  };

  Slot* FindReserved(const BlockHandle& handle);
  bool EnsureSpace(int64_t length, double value, BlockValue value_of);
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
  std::vector<BlockId> removed_;
  ArenaStats stats_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_BLOCK_ARENA_H_
