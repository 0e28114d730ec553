#include "core/weight_slots.h"

namespace fuchsiaweir {

bool AcquireWeightSlot(WeightSlots& slots, const std::string& holder, const WeightSlotRules& rules,
                       int64_t unix_ms) {
  // A holder with a slower clock still loads until its own clock reaches the end of the lease.
  std::erase_if(slots,
                [&](const auto& slot) { return slot.second + rules.clock_error_ms <= unix_ms; });
  if (!slots.contains(holder) && slots.size() >= rules.slots) return false;
  slots[holder] = unix_ms + rules.lease_ms;
  return true;
}

bool HoldsWeightSlot(const WeightSlots& slots, const std::string& holder, int64_t unix_ms) {
  const auto slot = slots.find(holder);
  return slot != slots.end() && unix_ms < slot->second;
}

void ReleaseWeightSlot(WeightSlots& slots, const std::string& holder) { slots.erase(holder); }

}  // namespace fuchsiaweir
