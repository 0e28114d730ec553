#ifndef FUCHSIAWEIR_CORE_DISPATCH_CHOICE_H_
#define FUCHSIAWEIR_CORE_DISPATCH_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/bid.h"

namespace fuchsiaweir {

/// How far a dispatch may deviate from the lowest estimate.
struct DispatchRules {
  Duration home_margin = Millis(50);  ///< Extra wait accepted for the home runner's blocks.
  double load_bound = 1.25;           ///< Home queue against the mean queue of the bids.
};

/// Picks the bid to dispatch to and returns its index; nothing when there is no bid. `home` names
/// the first candidate. A hot prefix is spread over the bids near the lowest estimate. `random`
/// settles ties.
std::optional<size_t> ChooseBid(const std::vector<Bid>& bids, const std::string& home, bool hot,
                                const DispatchRules& rules, uint64_t random);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_DISPATCH_CHOICE_H_
