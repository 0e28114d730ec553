#include "core/runner_residency.h"

#include <iterator>

namespace fuchsiaweir {
namespace {

// Events are late by a fraction of a second. Additions from before a reset would otherwise be
// believed after it, and their blocks recomputed instead of fetched.
constexpr Duration kEventLag = Seconds(1);

}  // namespace

void RunnerResidency::Apply(bool gap, const std::vector<BlockId>& added,
                            const std::vector<BlockId>& evicted, TimePoint now) {
  if (gap) {
    order_.clear();
    index_.clear();
  }
  if (now >= events_from_) {
    for (const BlockId& id : added) Add(id);
  }
  // A block both added and evicted in one batch has an unknown order; absent is the safe belief.
  for (const BlockId& id : evicted) Remove(id);
}

void RunnerResidency::Add(const BlockId& id) {
  Remove(id);
  if (max_blocks_ == 0) return;
  order_.push_back(id);
  index_[id] = std::prev(order_.end());
  if (index_.size() > max_blocks_) Remove(BlockId(order_.front()));
}

void RunnerResidency::Remove(const BlockId& id) {
  const auto found = index_.find(id);
  if (found == index_.end()) return;
  order_.erase(found->second);
  index_.erase(found);
}

void RunnerResidency::Reset(TimePoint now) {
  order_.clear();
  index_.clear();
  events_from_ = now + kEventLag;
  ++epoch_;
}

int64_t RunnerResidency::LeadingBlocks(const std::vector<BlockId>& chain) const {
  int64_t count = 0;
  for (const BlockId& id : chain) {
    if (!index_.contains(id)) break;
    ++count;
  }
  return count;
}

}  // namespace fuchsiaweir
