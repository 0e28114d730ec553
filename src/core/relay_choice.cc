#include "core/relay_choice.h"

#include <algorithm>
#include <utility>

#include "core/rendezvous.h"

namespace fuchsiaweir {
namespace {

/// Number of gateways in a data centre for each additional relay.
constexpr size_t kGatewaysPerRelay = 8;

}  // namespace

std::optional<std::string> PreferredRelay(std::string_view kind, const std::string& self,
                                          const std::vector<std::string>& gateways,
                                          const std::vector<std::string>& first) {
  if (gateways.empty()) return std::nullopt;
  const size_t count = 1 + gateways.size() / kGatewaysPerRelay;
  const std::string key(kind);
  std::vector<std::string> relays = RendezvousTop(key, first, count);
  std::vector<std::string> others = gateways;
  std::erase_if(others, [&](const std::string& name) {
    return std::find(first.begin(), first.end(), name) != first.end();
  });
  for (std::string& name : RendezvousTop(key, others, count - relays.size())) {
    relays.push_back(std::move(name));
  }
  if (std::find(relays.begin(), relays.end(), self) != relays.end()) return std::nullopt;
  return RendezvousTop(self, relays, 1).front();
}

std::vector<std::string> FastestGateways(const std::map<std::string, double>& mbps) {
  double fastest = 0;
  for (const auto& [name, bandwidth] : mbps) fastest = std::max(fastest, bandwidth);
  std::vector<std::string> names;
  for (const auto& [name, bandwidth] : mbps) {
    if (bandwidth * 2 >= fastest) names.push_back(name);
  }
  return names;
}

std::optional<std::string> ChooseFallbackRelay(const std::vector<FallbackRelay>& gateways,
                                               Duration max_age, size_t turn) {
  std::vector<std::string> names;
  for (const FallbackRelay& gateway : gateways) {
    if (gateway.state_age && *gateway.state_age < max_age) names.push_back(gateway.name);
  }
  if (names.empty()) {
    for (const FallbackRelay& gateway : gateways) names.push_back(gateway.name);
  }
  if (names.empty()) return std::nullopt;
  return names[turn % names.size()];
}

}  // namespace fuchsiaweir
