#ifndef FUCHSIAWEIR_CORE_RENDEZVOUS_H_
#define FUCHSIAWEIR_CORE_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fuchsiaweir {

/// Hash of a key or node name; callers may cache it.
uint64_t RendezvousHash(const std::string& text);

/// Score of a node for a key, from their hashes; the node with the highest score wins. Uses the
/// finalizer of SplitMix64. Inline, because a routing decision calls it for every runner of a
/// model.
inline uint64_t RendezvousMix(uint64_t key_hash, uint64_t node_hash) {
  uint64_t x = node_hash + key_hash * 0x9E3779B97F4A7C15;
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EB;
  return x ^ (x >> 31);
}

/// Equals `RendezvousMix(RendezvousHash(key), RendezvousHash(node))`.
uint64_t RendezvousScore(const std::string& key, const std::string& node);

/// Returns the `count` nodes with the highest scores, best first; all nodes if there are fewer.
/// The result does not depend on the order of `nodes`.
std::vector<std::string> RendezvousTop(const std::string& key,
                                       const std::vector<std::string>& nodes, size_t count);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_RENDEZVOUS_H_
