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
  // The 1 lets the home accept a request while all queues are empty.
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
  // Copying a hot prefix to several runners is worth the wait, so the margin applies to all bids.
  const Duration limit = hot ? lowest + rules.home_margin : lowest;
  const std::vector<size_t> eligible = BidsUpTo(bids, limit);
  return eligible[random % eligible.size()];
}

}  // namespace fuchsiaweir
