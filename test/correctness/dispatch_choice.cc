#include "core/dispatch_choice.h"

#include <CppUTest/TestHarness.h>

#include <set>

#include "property.h"

namespace fuchsiaweir {
namespace {

const DispatchRules kRules;

std::vector<Bid> AnyBids() {
  std::vector<Bid> bids;
  const int count = *rc::gen::inRange(1, 6);
  for (int i = 0; i < count; ++i) {
    bids.push_back({"r" + std::to_string(i), Millis(*rc::gen::inRange(0, 200)), 0, 0,
                    *rc::gen::inRange(0, 20)});
  }
  return bids;
}

}  // namespace

TEST_GROUP(DispatchChoice){};

// Guards against a choice that is slower than the best bid by more than the margin.
TEST(DispatchChoice, StaysWithinTheMarginOfTheBestBid) {
  CheckProperty("estimate <= lowest + margin", [](bool hot, uint64_t random) {
    const std::vector<Bid> bids = AnyBids();
    const auto chosen = ChooseBid(bids, "r0", hot, kRules, random);
    RC_ASSERT(chosen.has_value());
    for (const Bid& bid : bids) {
      RC_ASSERT(bids.at(*chosen).estimate <= bid.estimate + kRules.home_margin);
    }
  });
  CHECK(!ChooseBid({}, "r0", false, kRules, 1));
}

// Guards against a home runner that builds up a queue while other runners are idle.
TEST(DispatchChoice, LoadOfTheHomeIsBounded) {
  CheckProperty("a home above the bound wins only with the lowest estimate", [](uint64_t random) {
    const std::vector<Bid> bids = AnyBids();
    const auto chosen = ChooseBid(bids, "r0", false, kRules, random);
    double total = 0;
    bool lowest = true;
    for (const Bid& bid : bids) total += static_cast<double>(bid.queue);
    for (const Bid& bid : bids) lowest = lowest && bids[0].estimate <= bid.estimate;
    const double bound = kRules.load_bound * total / static_cast<double>(bids.size()) + 1;
    if (*chosen == 0 && !lowest) RC_ASSERT(static_cast<double>(bids[0].queue) <= bound);
  });
}

// Guards against leaving the home and its blocks for a gain of a few milliseconds.
TEST(DispatchChoice, HomeWinsWithinTheMargin) {
  const std::vector<Bid> bids{{"r0", Millis(100)}, {"r1", Millis(140)}, {"r2", Millis(200)}};
  for (uint64_t random = 0; random < 20; ++random) {
    LONGS_EQUAL(1, *ChooseBid(bids, "r1", false, kRules, random));
    LONGS_EQUAL(0, *ChooseBid(bids, "r2", false, kRules, random));
  }
}

// Guards against a hot prefix that only one runner serves, and against ties that all entries break
// in favour of the same runner.
TEST(DispatchChoice, SpreadsHotPrefixesAndTies) {
  const std::vector<Bid> bids{{"r0", Millis(100)}, {"r1", Millis(140)}, {"r2", Millis(200)}};
  const std::vector<Bid> ties{{"r0", Millis(9)}, {"r1", Millis(9)}, {"r2", Millis(9)}};
  std::set<size_t> hot;
  std::set<size_t> tied;
  for (uint64_t random = 0; random < 20; ++random) {
    hot.insert(*ChooseBid(bids, "r0", true, kRules, random));
    tied.insert(*ChooseBid(ties, "elsewhere", false, kRules, random));
  }
  CHECK((hot == std::set<size_t>{0, 1}));
  CHECK((tied == std::set<size_t>{0, 1, 2}));
}

}  // namespace fuchsiaweir
