#ifndef FUCHSIAWEIR_CORE_PEER_SUBSET_H_
#define FUCHSIAWEIR_CORE_PEER_SUBSET_H_

#include <cstddef>
#include <string>
#include <vector>

namespace fuchsiaweir {

/// Returns the agents that `entry` keeps connections to: `size` of them, or all when there are
/// fewer. Every process computes the same subsets from the same lists, in any order, and the
/// numbers of entries per agent differ by at most one. Empty when `entry` is not among `entries`.
std::vector<std::string> PeerSubset(const std::string& entry,
                                    const std::vector<std::string>& entries,
                                    const std::vector<std::string>& agents, size_t size);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_PEER_SUBSET_H_
