#include "core/dispatch_choice.h"

#include <algorithm>

namespace fuchsiaweir {
namespace {

Duration LowestEstimate(const std::vector<Bid>& bids) {
  return std::min_element(bids.begin(), bids.end(),
                          [](const Bid& a, const Bid& b) { return a.estimate < b.estimate; })
      ->estimate;
}

bool WithinLoadBound(const std::vector<Bid>& bids, const Bid& home, double bound) {
  double total = 0;
  for (const Bid& bid : bids) total += static_cast<double>(bid.queue);
  const double mean = total / static_cast<double>(bids.size());
  // The 1 lets an idle home take a request while all queues are empty.
  return static_cast<double>(home.queue) <= bound * mean + 1;
}

std::vector<size_t> BidsUpTo(const std::vector<Bid>& bids, Duration estimate) {
  std::vector<size_t> found;
  for (size_t i = 0; i < bids.size(); ++i) {
    if (bids[i].estimate <= estimate) found.push_back(i);
  }
  return found;
}

}  // namespace

std::optional<size_t> ChooseBid(const std::vector<Bid>& bids, const std::string& home, bool hot,
                                const DispatchRules& rules, uint64_t random) {
  if (bids.empty()) return std::nullopt;
  const Duration lowest = LowestEstimate(bids);
  if (!hot) {
    for (size_t i = 0; i < bids.size(); ++i) {
      if (bids[i].runner != home || bids[i].estimate > lowest + rules.home_margin) continue;
      if (WithinLoadBound(bids, bids[i], rules.load_bound)) return i;
    }
  }
  // A copy of a hot prefix on several runners is worth the margin that the home is worth otherwise.
  const Duration limit = hot ? lowest + rules.home_margin : lowest;
  const std::vector<size_t> equal = BidsUpTo(bids, limit);
  return equal[random % equal.size()];
}

}  // namespace fuchsiaweir
