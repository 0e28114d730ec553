#ifndef FUCHSIAWEIR_CORE_RUNNER_RESIDENCY_H_
#define FUCHSIAWEIR_CORE_RUNNER_RESIDENCY_H_

#include <cstdint>
#include <vector>

#include "core/block_chain.h"
#include "core/block_set.h"
#include "core/clock.h"

namespace fuchsiaweir {

/// What an agent believes to be in one runner's accelerator memory.
///
/// The belief comes from cache events, which are late and have gaps, and from own imports. The
/// engine itself checks each block when a run starts, so a wrong belief costs time, not
/// correctness.
class RunnerResidency {
 public:
  /// At most `max_blocks` are remembered; the longest unconfirmed are forgotten first.
  explicit RunnerResidency(size_t max_blocks) : blocks_(max_blocks) {}

  /// Applies one batch of events. A gap may have hidden evictions, so it forgets all older
  /// knowledge.
  void Apply(bool gap, const std::vector<BlockId>& added, const std::vector<BlockId>& evicted,
             TimePoint now);

  void Add(const BlockId& id) { blocks_.Add(id); }
  void Remove(const BlockId& id) { blocks_.Remove(id); }

  /// Forgets everything, and ignores additions by events until the events from before the reset
  /// have passed.
  void Reset(TimePoint now);

  /// Returns how many leading blocks of the chain are believed to be resident.
  int64_t LeadingBlocks(const std::vector<BlockId>& chain) const;

  /// Changes with each reset, so that an import which began before one is not recorded after it.
  uint64_t epoch() const { return epoch_; }
  size_t size() const { return blocks_.size(); }

 private:
  BlockSet blocks_;
  uint64_t epoch_ = 0;
  TimePoint events_from_{};
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_RUNNER_RESIDENCY_H_
