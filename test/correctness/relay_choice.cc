#include "core/relay_choice.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>

#include "property.h"

namespace fuchsiaweir {
namespace {

constexpr Duration kMaxAge = Seconds(2);

std::vector<std::string> Names(int count) {
  std::vector<std::string> names;
  for (int i = 0; i < count; ++i) names.push_back("gateway-" + std::to_string(i));
  return names;
}

}  // namespace

TEST_GROUP(RelayChoice){};

// Guards against a fleet in which each gateway reads from another one and none from the store.
TEST(RelayChoice, AFewAgreedGatewaysReadTheStore) {
  CheckProperty("chosen relays read the store themselves", [] {
    const std::vector<std::string> names = Names(*rc::gen::inRange(1, 60));
    size_t readers = 0;
    for (const std::string& name : names) {
      const std::optional<std::string> relay = PreferredRelay("kind", name, names);
      readers += !relay;
      if (relay) RC_ASSERT(!PreferredRelay("kind", *relay, names));
    }
    RC_ASSERT(readers == std::min(names.size(), 1 + names.size() / 8));
  });
}

// Guards against relays on the slowest links while others are alive: each change of a large object
// occupies such a link for a large part of a second.
TEST(RelayChoice, GatewaysWithFastLinksRelayBeforeOthers) {
  CheckProperty("a relay is slow only where too few links are fast", [] {
    std::map<std::string, double> mbps;
    size_t fast = 0;
    const std::vector<std::string> names = Names(*rc::gen::inRange(1, 40));
    for (const std::string& name : names) {
      const bool is_fast = *rc::gen::inRange(0, 4) == 0;
      fast += is_fast ? 1 : 0;
      mbps[name] = is_fast ? 200 : 10;
    }
    if (fast == 0) fast = names.size();
    const std::vector<std::string> first = FastestGateways(mbps);
    RC_ASSERT(first.size() == fast);
    size_t readers = 0;
    size_t fast_readers = 0;
    for (const std::string& name : names) {
      const std::optional<std::string> relay = PreferredRelay("kind", name, names, first);
      readers += !relay;
      fast_readers += !relay && std::count(first.begin(), first.end(), name) > 0;
      if (relay) RC_ASSERT(!PreferredRelay("kind", *relay, names, first));
    }
    RC_ASSERT(readers == 1 + names.size() / 8);
    RC_ASSERT(fast_readers == std::min(readers, fast));
  });
}

// Guards against a gateway without the store that keeps asking others without the store while one
// is current, and against one that never asks some of the current ones.
TEST(RelayChoice, CurrentGatewaysAreAskedInTurnBeforeOthers) {
  CheckProperty("each current gateway is asked once in a round", [] {
    std::vector<FallbackRelay> gateways;
    std::set<std::string> current;
    for (const std::string& name : Names(*rc::gen::inRange(1, 40))) {
      FallbackRelay gateway{name, std::nullopt};
      if (*rc::gen::inRange(0, 2) == 1) gateway.state_age = Millis(*rc::gen::inRange(0, 4'000));
      if (gateway.state_age && *gateway.state_age < kMaxAge) current.insert(name);
      gateways.push_back(gateway);
    }
    if (current.empty()) {
      for (const FallbackRelay& gateway : gateways) current.insert(gateway.name);
    }
    std::set<std::string> asked;
    for (size_t turn = 0; turn < current.size(); ++turn) {
      asked.insert(*ChooseFallbackRelay(gateways, kMaxAge, turn));
    }
    RC_ASSERT(asked == current);
  });
}

}  // namespace fuchsiaweir
