#include "core/runner_residency.h"

namespace fuchsiaweir {
namespace {

// Upper bound of the delay of cache events, which is a fraction of a second. Additions from before
// a reset that arrive later would mark blocks as resident that are not, so that they are recomputed
// instead of fetched.
constexpr Duration kMaxEventDelay = Seconds(1);

}  // namespace

void RunnerResidency::Apply(bool gap, const std::vector<BlockId>& added,
                            const std::vector<BlockId>& evicted, TimePoint now) {
  if (gap) blocks_.Clear();
  if (now >= accept_additions_from_) {
    for (const BlockId& id : added) Add(id);
  }
  // The order of an addition and an eviction in one batch is unknown, so the block counts as
  // absent.
  for (const BlockId& id : evicted) Remove(id);
}

void RunnerResidency::Reset(TimePoint now) {
  blocks_.Clear();
  accept_additions_from_ = now + kMaxEventDelay;
  ++epoch_;
}

int64_t RunnerResidency::LeadingBlocks(const std::vector<BlockId>& chain) const {
  int64_t count = 0;
  for (const BlockId& id : chain) {
    if (!blocks_.Contains(id)) break;
    ++count;
  }
  return count;
}

}  // namespace fuchsiaweir
