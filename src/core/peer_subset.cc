#include "core/peer_subset.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "core/rendezvous.h"

namespace fuchsiaweir {
namespace {

/// Names in the order of their hash, each once, so that neighbours in the ring are unrelated hosts.
std::vector<std::string> Ring(const std::vector<std::string>& names) {
  std::vector<std::pair<uint64_t, std::string>> hashed;
  hashed.reserve(names.size());
  for (const std::string& name : names) hashed.emplace_back(RendezvousHash(name), name);
  std::sort(hashed.begin(), hashed.end());
  hashed.erase(std::unique(hashed.begin(), hashed.end()), hashed.end());
  std::vector<std::string> ring;
  ring.reserve(hashed.size());
  for (auto& [hash, name] : hashed) ring.push_back(std::move(name));
  return ring;
}

}  // namespace

std::vector<std::string> PeerSubset(const std::string& entry,
                                    const std::vector<std::string>& entries,
                                    const std::vector<std::string>& agents, size_t size) {
  const std::vector<std::string> entry_ring = Ring(entries);
  const std::vector<std::string> agent_ring = Ring(agents);
  const auto position = std::find(entry_ring.begin(), entry_ring.end(), entry);
  if (position == entry_ring.end()) return {};
  const size_t kept = std::min(size, agent_ring.size());
  // The entries' windows lie end to end around the ring, which covers the agents evenly.
  const size_t start = static_cast<size_t>(position - entry_ring.begin()) * kept;
  std::vector<std::string> subset;
  subset.reserve(kept);
  for (size_t i = 0; i < kept; ++i) subset.push_back(agent_ring[(start + i) % agent_ring.size()]);
  return subset;
}

}  // namespace fuchsiaweir
