#ifndef FUCHSIAWEIR_CORE_WEIGHT_SLOTS_H_
#define FUCHSIAWEIR_CORE_WEIGHT_SLOTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace fuchsiaweir {

/// Content of the platform object that limits concurrent weight loads in the fleet: the expiry of
/// each holder's slot as Unix time in milliseconds.
using WeightSlots = std::map<std::string, int64_t>;

struct WeightSlotRules {
  size_t slots = 2;
  int64_t lease_ms = 30'000;       ///< A load must end or renew its slot within this time.
  int64_t clock_error_ms = 2'000;  ///< Maximum difference between two hosts' clocks.
};

/// Acquires or renews a slot for `holder` in `slots`, which the caller then writes conditionally.
/// Returns false when all slots are in use.
bool AcquireWeightSlot(WeightSlots& slots, const std::string& holder, const WeightSlotRules& rules,
                       int64_t unix_ms);

/// Whether `holder` may load according to the `slots` that it wrote. Must be checked at each step
/// of a load.
bool HoldsWeightSlot(const WeightSlots& slots, const std::string& holder, int64_t unix_ms);

void ReleaseWeightSlot(WeightSlots& slots, const std::string& holder);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_WEIGHT_SLOTS_H_
