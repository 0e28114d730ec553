#include "core/runner_residency.h"

namespace fuchsiaweir {
namespace {

// Events are late by a fraction of a second. Additions from before a reset would otherwise be
// believed after it, and their blocks recomputed instead of fetched.
constexpr Duration kEventLag = Seconds(1);

}  // namespace

void RunnerResidency::Apply(bool gap, const std::vector<BlockId>& added,
                            const std::vector<BlockId>& evicted, TimePoint now) {
  if (gap) blocks_.Clear();
  if (now >= events_from_) {
    for (const BlockId& id : added) Add(id);
  }
  // A block both added and evicted in one batch has an unknown order; absent is the safe belief.
  for (const BlockId& id : evicted) Remove(id);
}

void RunnerResidency::Reset(TimePoint now) {
  blocks_.Clear();
  events_from_ = now + kEventLag;
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
