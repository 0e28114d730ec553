#ifndef FUCHSIAWEIR_CORE_RUNNER_RESIDENCY_H_
#define FUCHSIAWEIR_CORE_RUNNER_RESIDENCY_H_

#include <cstdint>
#include <vector>

#include "core/block_chain.h"
#include "core/block_set.h"
#include "core/clock.h"

namespace fuchsiaweir {

/// The agent's view of the blocks resident in the accelerator memory of one runner.
///
/// The view is built from cache events, which may be late or have gaps, and from the agent's own
/// imports. The engine itself checks each block when a run starts, so an outdated view costs time,
/// not correctness.
class RunnerResidency {
 public:
  /// Tracks at most `max_blocks`; the least recently confirmed are removed first.
  explicit RunnerResidency(size_t max_blocks) : blocks_(max_blocks) {}

  /// Applies one batch of events. With a gap, clears all earlier blocks first, because evictions
  /// may have been missed.
  void Apply(bool gap, const std::vector<BlockId>& added, const std::vector<BlockId>& evicted,
             TimePoint now);

  void Add(const BlockId& id) { blocks_.Add(id); }
  void Remove(const BlockId& id) { blocks_.Remove(id); }

  /// Clears all blocks. For the maximum delay of cache events, `Apply` ignores their additions,
  /// which may predate the reset.
  void Reset(TimePoint now);

  /// Returns the number of leading blocks of the chain that are resident.
  int64_t LeadingBlocks(const std::vector<BlockId>& chain) const;

  /// Changes with each reset, to detect imports that began before it.
  uint64_t epoch() const { return epoch_; }
  size_t size() const { return blocks_.size(); }

 private:
  BlockSet blocks_;
  uint64_t epoch_ = 0;
  TimePoint accept_additions_from_{};
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_RUNNER_RESIDENCY_H_
