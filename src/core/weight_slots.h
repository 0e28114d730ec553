#ifndef FUCHSIAWEIR_CORE_WEIGHT_SLOTS_H_
#define FUCHSIAWEIR_CORE_WEIGHT_SLOTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace fuchsiaweir {

/// Content of the platform object that bounds concurrent weight loads in the fleet: the Unix time
/// in milliseconds until which each holder has a slot.
using WeightSlots = std::map<std::string, int64_t>;

/// Bounds of the slots.
struct WeightSlotRules {
  size_t slots = 2;
  int64_t lease_ms = 30'000;       ///< A load must end, or renew, within this time.
  int64_t clock_error_ms = 2'000;  ///< Two hosts' clocks differ by at most this.
};

/// Takes or renews a slot for `holder` in the content that is then written conditionally. Returns
/// false, without a slot, when all are taken.
bool AcquireWeightSlot(WeightSlots& slots, const std::string& holder, const WeightSlotRules& rules,
                       int64_t unix_ms);

/// Whether `holder` may load by this written content. To be asked at each step of a load.
bool HoldsWeightSlot(const WeightSlots& slots, const std::string& holder, int64_t unix_ms);

/// Returns the slot.
void ReleaseWeightSlot(WeightSlots& slots, const std::string& holder);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_WEIGHT_SLOTS_H_
