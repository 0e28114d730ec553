#ifndef FUCHSIAWEIR_CORE_DISPATCH_CHOICE_H_
#define FUCHSIAWEIR_CORE_DISPATCH_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/bid.h"

namespace fuchsiaweir {

/// Limits for a dispatch to a bid other than the lowest estimate.
struct DispatchRules {
  Duration home_margin = Millis(50);  ///< Additional wait accepted to reuse the home's blocks.
  double load_bound = 1.25;           ///< Maximum ratio of the home's queue to the mean queue.
};

/// Returns the index of the bid to dispatch to, or nothing if there is no bid. `home` is the name
/// of the first candidate. A hot prefix is spread over all bids within the margin of the lowest
/// estimate. `random` breaks ties.
std::optional<size_t> ChooseBid(const std::vector<Bid>& bids, const std::string& home, bool hot,
                                const DispatchRules& rules, uint64_t random);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_DISPATCH_CHOICE_H_
