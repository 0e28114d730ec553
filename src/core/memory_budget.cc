#include "core/memory_budget.h"

#include <utility>

namespace fuchsiaweir {

MemoryBudget::Share::Share(MemoryBudget& budget, std::function<void()> on_evicted)
    : budget_(budget), on_evicted_(std::move(on_evicted)) {
  budget_.shares_.insert(this);
}

MemoryBudget::Share::~Share() {
  budget_.used_bytes_ -= bytes_;
  budget_.shares_.erase(this);
}

// Load pattern: one faulty runner sends without end on many connections, beside sound runners. The
// endless messages are the largest, so that evicting these lets the sound ones go on.
bool MemoryBudget::Share::Resize(int64_t bytes) {
  if (evicted_) return false;
  budget_.used_bytes_ += bytes - bytes_;
  bytes_ = bytes;
  while (budget_.used_bytes_ > budget_.limit_bytes_) {
    Share* const largest = budget_.Largest();
    if (largest == nullptr) break;
    budget_.used_bytes_ -= std::exchange(largest->bytes_, 0);
    largest->evicted_ = true;
    ++budget_.evictions_;
    largest->on_evicted_();
  }
  return !evicted_;
}

MemoryBudget::Share* MemoryBudget::Largest() const {
  Share* largest = nullptr;
  for (Share* share : shares_) {
    if (share->complete_ || share->bytes_ == 0) continue;
    if (largest == nullptr || share->bytes_ > largest->bytes_) largest = share;
  }
  return largest;
}

}  // namespace fuchsiaweir
