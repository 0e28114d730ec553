#include "core/block_assembly.h"

#include <utility>

namespace fuchsiaweir {

BlockAssembly::BlockAssembly(const BlockId& wanted, const BlockHeader& announced,
                             int64_t max_length)
    : wanted_(wanted), announced_(announced), fault_(Check(announced)) {
  const bool fits = announced.length > 0 && announced.length <= max_length;
  if (fault_ == BlockFault::kNone && !fits) fault_ = BlockFault::kWrongLength;
}

BlockFault BlockAssembly::Check(const BlockHeader& header) const {
  if (header.state != BlockState::kSealed) return BlockFault::kNotSealed;
  if (header.id != wanted_) return BlockFault::kOtherBlock;
  if (header != announced_) return BlockFault::kReused;
  return BlockFault::kNone;
}

BlockFault BlockAssembly::Append(const BlockHeader& header, std::string_view bytes) {
  if (fault_ != BlockFault::kNone) return fault_;
  fault_ = Check(header);
  // Empty ranges would make no progress, and bytes beyond the announced length would be unbounded.
  const bool fits = !bytes.empty() && static_cast<int64_t>(bytes.size()) <= missing();
  if (fault_ == BlockFault::kNone && !fits) fault_ = BlockFault::kWrongLength;
  if (fault_ == BlockFault::kNone) bytes_.append(bytes);
  return fault_;
}

BlockFault BlockAssembly::Finish(const BlockHeader& after, std::string& out) {
  if (fault_ == BlockFault::kNone) fault_ = Check(after);
  if (fault_ == BlockFault::kNone) fault_ = VerifyBlock(announced_, wanted_, bytes_);
  if (fault_ == BlockFault::kNone) out = std::move(bytes_);
  return fault_;
}

}  // namespace fuchsiaweir
