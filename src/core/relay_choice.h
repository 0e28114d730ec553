#ifndef FUCHSIAWEIR_CORE_RELAY_CHOICE_H_
#define FUCHSIAWEIR_CORE_RELAY_CHOICE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"

namespace fuchsiaweir {

/// Returns the gateway from which the process `self` reads objects of `kind`, or nothing if it
/// reads the store itself. `gateways` are the live gateways of its data centre, including itself if
/// it is one. Processes with equal lists agree on the few gateways that read the store.
///
/// `first` are those of them that are chosen before the others.
///
/// Load pattern: the store's request rates grow more slowly than the fleet.
std::optional<std::string> PreferredRelay(std::string_view kind, const std::string& self,
                                          const std::vector<std::string>& gateways,
                                          const std::vector<std::string>& first = {});

/// Returns the gateways whose link has at least half of the bandwidth of the fastest one. `mbps`
/// has the bandwidth of each gateway's link, 0 if unknown.
///
/// Load pattern: a relay reads each large object whole from the store when it changes. Over a link
/// of 10 Mbit/s, 1,400 routes take 0.2 s, in which its callers' answers wait.
std::vector<std::string> FastestGateways(const std::map<std::string, double>& mbps);

/// A gateway that can be asked while the usual source of a kind fails.
struct FallbackRelay {
  std::string name;
  std::optional<Duration> state_age;  ///< Age of its desired state; nothing if it told none.
};

/// Returns the gateway to ask in turn number `turn`: each of those whose desired state is younger
/// than `max_age` in turn, or each of all if there is none. Returns nothing without gateways.
///
/// Load pattern: the store rejects most hosts of a large fleet. A gateway that asked all others in
/// turn would mostly ask gateways that know no more than itself.
std::optional<std::string> ChooseFallbackRelay(const std::vector<FallbackRelay>& gateways,
                                               Duration max_age, size_t turn);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_RELAY_CHOICE_H_
