#include "core/peer_subset.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>

#include "property.h"

namespace fuchsiaweir {
namespace {

std::vector<std::string> Names(const std::string& prefix, int count) {
  std::vector<std::string> names;
  for (int i = 0; i < count; ++i) names.push_back(prefix + std::to_string(i));
  return names;
}

}  // namespace

TEST_GROUP(PeerSubset){};

// Guards against agents that no entry or too many entries connect to, and against open connections
// from every entry to every agent.
TEST(PeerSubset, CoversAllAgentsEvenly) {
  CheckProperty("subsets are bounded and cover counts differ by at most one", [] {
    const int entry_count = *rc::gen::inRange(1, 40);
    const int agent_count = *rc::gen::inRange(1, 100);
    const auto size = *rc::gen::inRange<size_t>(1, 30);
    const std::vector<std::string> entries = Names("e", entry_count);
    const std::vector<std::string> agents = Names("a", agent_count);
    std::map<std::string, int> cover;
    for (const std::string& agent : agents) cover[agent] = 0;
    for (const std::string& entry : entries) {
      const std::vector<std::string> subset = PeerSubset(entry, entries, agents, size);
      RC_ASSERT(subset.size() == std::min<size_t>(size, agents.size()));
      RC_ASSERT(std::set<std::string>(subset.begin(), subset.end()).size() == subset.size());
      for (const std::string& agent : subset) ++cover[agent];
    }
    RC_ASSERT(cover.size() == agents.size());
    const auto [least, most] =
        std::minmax_element(cover.begin(), cover.end(),
                            [](const auto& a, const auto& b) { return a.second < b.second; });
    RC_ASSERT(most->second - least->second <= 1);
  });
}

// Guards against processes that disagree because they list their peers in another order.
TEST(PeerSubset, OrderOfListsDoesNotMatter) {
  std::vector<std::string> entries = Names("e", 9);
  std::vector<std::string> agents = Names("a", 50);
  const auto subset = PeerSubset("e4", entries, agents, 7);
  std::reverse(entries.begin(), entries.end());
  std::reverse(agents.begin(), agents.end());
  agents.push_back("a3");
  CHECK(subset == PeerSubset("e4", entries, agents, 7));
  CHECK(PeerSubset("stranger", entries, agents, 7).empty());
  CHECK(PeerSubset("e4", entries, {}, 7).empty());
}

// Guards against reconnecting everything when one agent of the design size is replaced.
TEST(PeerSubset, ReplacedAgentMovesFewConnections) {
  const std::vector<std::string> entries = Names("e", 40);
  const std::vector<std::string> agents = Names("a", 300);
  std::vector<std::string> changed = agents;
  changed[17] = "new";
  int moved = 0;
  for (const std::string& entry : entries) {
    const auto before = PeerSubset(entry, entries, agents, 20);
    for (const std::string& agent : PeerSubset(entry, entries, changed, 20)) {
      moved += std::find(before.begin(), before.end(), agent) == before.end() ? 1 : 0;
    }
  }
  // 800 connections; a replacement shifts each of the 40 windows by at most one place.
  CHECK(moved <= 2 * 40);
}

}  // namespace fuchsiaweir
