#include "core/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace fuchsiaweir {

uint64_t RendezvousHash(const std::string& text) { return XXH3_64bits(text.data(), text.size()); }

uint64_t RendezvousScore(const std::string& key, const std::string& node) {
  return RendezvousMix(RendezvousHash(key), RendezvousHash(node));
}

std::vector<std::string> RendezvousTop(const std::string& key,
                                       const std::vector<std::string>& nodes, size_t count) {
  const uint64_t key_hash = RendezvousHash(key);
  std::vector<std::pair<uint64_t, const std::string*>> scored;
  scored.reserve(nodes.size());
  for (const std::string& node : nodes) {
    scored.emplace_back(RendezvousMix(key_hash, RendezvousHash(node)), &node);
  }
  const size_t top_count = std::min(count, scored.size());
  // Names break ties between equal scores, so that every process orders the nodes alike.
  std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(top_count),
                    scored.end(), [](const auto& a, const auto& b) {
                      return a.first != b.first ? a.first > b.first : *a.second < *b.second;
                    });
  std::vector<std::string> top;
  top.reserve(top_count);
  for (size_t i = 0; i < top_count; ++i) top.push_back(*scored[i].second);
  return top;
}

}  // namespace fuchsiaweir
