#include "core/rendezvous.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>

#include "property.h"

namespace fuchsiaweir {
namespace {

std::vector<std::string> Nodes(int count) {
  std::vector<std::string> nodes;
  for (int i = 0; i < count; ++i) nodes.push_back("runner-" + std::to_string(i));
  return nodes;
}

}  // namespace

TEST_GROUP(Rendezvous){};

// Guards against a hash that moves unrelated keys when a node leaves, which would lose their
// blocks.
TEST(Rendezvous, RemovalMovesOnlyTheKeysOfTheRemovedNode) {
  CheckProperty("other keys keep their top nodes", [](const std::string& key) {
    std::vector<std::string> nodes = Nodes(*rc::gen::inRange(5, 40));
    const std::vector<std::string> before = RendezvousTop(key, nodes, 3);
    const auto removed = nodes.begin() + *rc::gen::inRange<int>(0, static_cast<int>(nodes.size()));
    const std::string name = *removed;
    nodes.erase(removed);
    std::vector<std::string> expected = before;
    std::erase(expected, name);
    const std::vector<std::string> after = RendezvousTop(key, nodes, 3);
    RC_ASSERT(std::equal(expected.begin(), expected.end(), after.begin()));
  });
}

// Guards against different results in processes that list the nodes in another order.
TEST(Rendezvous, OrderOfNodesDoesNotMatter) {
  CheckProperty("reversed nodes give the same top", [](const std::string& key) {
    std::vector<std::string> nodes = Nodes(*rc::gen::inRange(0, 30));
    const std::vector<std::string> forward = RendezvousTop(key, nodes, 4);
    std::reverse(nodes.begin(), nodes.end());
    RC_ASSERT(forward == RendezvousTop(key, nodes, 4));
    RC_ASSERT(forward.size() == std::min<size_t>(4, nodes.size()));
  });
}

// Guards against a biased score.
TEST(Rendezvous, KeysSpreadEvenly) {
  const std::vector<std::string> nodes = Nodes(20);
  std::map<std::string, int> homes;
  for (int i = 0; i < 20'000; ++i) ++homes[RendezvousTop("key" + std::to_string(i), nodes, 1)[0]];
  for (const std::string& node : nodes) {
    // 1,000 expected; five standard deviations are about 155.
    CHECK(homes[node] > 845);
    CHECK(homes[node] < 1155);
  }
}

}  // namespace fuchsiaweir
