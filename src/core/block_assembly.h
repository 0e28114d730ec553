#ifndef FUCHSIAWEIR_CORE_BLOCK_ASSEMBLY_H_
#define FUCHSIAWEIR_CORE_BLOCK_ASSEMBLY_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "core/block_arena.h"

namespace fuchsiaweir {

/// Assembles a block from ranges read from a store. Verifies the announced header before the first
/// range and the complete copy after the last one.
///
/// Each range comes with the header that the store had at the time of the read. A header that
/// differs from the announced one means that the slot was freed or reused, so the bytes are
/// discarded.
class BlockAssembly {
 public:
  /// `announced` is the header from the lookup. Check `fault()` before reading any range.
  BlockAssembly(const BlockId& wanted, const BlockHeader& announced, int64_t max_length);

  /// Appends the next range. Returns the first fault of the block, or kNone.
  BlockFault Append(const BlockHeader& header, std::string_view bytes);

  /// Verifies the complete copy, with `after`, the header in the store after the last range, and
  /// moves it to `out`.
  BlockFault Finish(const BlockHeader& after, std::string& out);

  BlockFault fault() const { return fault_; }
  int64_t received() const { return static_cast<int64_t>(bytes_.size()); }
  int64_t missing() const { return announced_.length - received(); }

 private:
  BlockFault Check(const BlockHeader& header) const;

  BlockId wanted_;
  BlockHeader announced_;
  BlockFault fault_ = BlockFault::kNone;
  std::string bytes_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_BLOCK_ASSEMBLY_H_
