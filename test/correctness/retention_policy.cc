#include "core/retention_policy.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>
#include <utility>

#include "core/block_arena.h"
#include "property.h"

namespace fuchsiaweir {
namespace {

constexpr int64_t kBytes = 16;

/// Block arena managed by the retention policy, as in the agent.
struct Tier {
  explicit Tier(int64_t blocks) : arena(blocks * kBytes), policy({.capacity = blocks * kBytes}) {}

  void Visit(const std::string& team, const BlockId& id, Duration recompute = Millis(100)) {
    policy.Observe(team, "class", {id}, now);
    Store(id, {team, kBytes, recompute, {}});
  }

  /// Stores the blocks of a prompt in order. Counts evictions of blocks whose followers stay.
  void VisitChain(const std::string& team, const std::vector<BlockId>& chain) {
    policy.Observe(team, "class", chain, now);
    RetainedBlock block{team, kBytes, Millis(100), {}};
    for (const BlockId& id : chain) {
      if (block.previous) next.insert({*block.previous, id});
      Store(id, block);
      block.previous = id;
    }
  }

  void Store(const BlockId& id, const RetainedBlock& block) {
    const std::string& team = block.team;
    const auto handle =
        arena.Reserve(id, kBytes, policy.AdmissionValue(id, block, now),
                      [&](const BlockId& kept) { return policy.EvictionValue(kept, team, now); });
    for (const BlockId& evicted : arena.TakeRemoved()) {
      policy.OnDropped(evicted);
      for (const auto& [head, follower] : next) {
        holes += head == evicted && arena.Find(follower) != nullptr ? 1 : 0;
      }
    }
    if (!handle) return;
    arena.Write(*handle, std::string(kBytes, 'x'));
    arena.Seal(*handle);
    policy.OnStored(id, block);
  }

  TimePoint now{Seconds(1'000'000)};
  BlockArena arena;
  RetentionPolicy policy;
  uint64_t one_offs = 0;
  std::set<std::pair<BlockId, BlockId>> next;  ///< Pairs of consecutive blocks of a prompt.
  int holes = 0;

  BlockId OneOff() { return {2, ++one_offs}; }
};

Duration ArbitraryGap() {
  return Seconds(*rc::gen::element<int64_t>(120, 1'800, 14'400, 72'000, 172'800));
}

}  // namespace

TEST_GROUP(RetentionPolicy){};

// Guards against a flood of one-off prompts that evicts returning prompts of the same team and
// class, at gaps from minutes to days.
TEST(RetentionPolicy, OneOffFloodEvictsNoReturningPrompt) {
  CheckProperty("returning prompts stay through a flood of one-offs", [] {
    Tier tier(8);
    const Duration gap = ArbitraryGap();
    const int flood = *rc::gen::inRange(20, 60);
    for (int visit = 0; visit < 5; ++visit) {
      for (uint64_t prompt = 0; prompt < 4; ++prompt) tier.Visit("team", {1, prompt});
      for (int i = 0; i < flood; ++i) {
        tier.now += gap / flood;
        tier.Visit("team", tier.OneOff());
        for (uint64_t prompt = 0; visit > 1 && prompt < 4; ++prompt) {
          RC_ASSERT(tier.arena.Find({1, prompt}) != nullptr);
        }
      }
    }
  });
}

// Guards against evicting a block before its followers in the prompt, which cannot be used without
// it. Chains share prefixes, and blocks are stored again after other evictions.
TEST(RetentionPolicy, EvictionLeavesNoHoleInAChain) {
  CheckProperty("every evicted block has no stored follower", [] {
    Tier tier(12);
    for (int visit = 0; visit < 60; ++visit) {
      tier.now += Seconds(*rc::gen::inRange(5, 4000));
      const uint64_t head = *rc::gen::inRange<uint64_t>(0, 3);
      const uint64_t tail = *rc::gen::inRange<uint64_t>(0, 6);
      std::vector<BlockId> chain;
      for (uint64_t i = 0; i < 2; ++i) chain.push_back({10 + head, i});
      for (uint64_t i = 0; i < *rc::gen::inRange<uint64_t>(1, 5); ++i) {
        chain.push_back({100 + head * 10 + tail, i});
      }
      tier.VisitChain("team", chain);
      RC_ASSERT(tier.holes == 0);
    }
  });
}

// Guards against counting a retry of a one-off prompt as reuse.
TEST(RetentionPolicy, RetryIsNoReuse) {
  Tier tier(8);
  const BlockId once = tier.OneOff();
  const BlockId retried = tier.OneOff();
  tier.Visit("team", once);
  tier.Visit("team", retried);
  tier.now += Seconds(2);
  tier.Visit("team", retried);
  DOUBLES_EQUAL(tier.policy.ReuseProbability(once, tier.now),
                tier.policy.ReuseProbability(retried, tier.now), 1e-9);
}

// Guards against a reuse probability that ignores the observed gaps or the one-off prompts.
TEST(RetentionPolicy, EstimatesReuseFromGapsAndOneOffs) {
  CheckProperty("the reuse probability is high until the usual gap and low after it", [] {
    ReusePredictor reuse(10'000);
    TimePoint now(Seconds(1'000'000));
    const Duration gap = ArbitraryGap();
    for (int visit = 0; visit < 40; ++visit) {
      for (uint64_t i = 0; i < 10; ++i) reuse.Observe("team", "class", {{1, i}}, now);
      for (uint64_t i = 0; i < 10; ++i) {
        reuse.Observe("team", "once", {{2, static_cast<uint64_t>(visit) * 10 + i}}, now);
      }
      now += gap;
    }
    const TimePoint last = now - gap;
    RC_ASSERT(reuse.Probability({1, 1}, gap * 2, last) > 0.8);
    RC_ASSERT(reuse.Probability({1, 1}, gap * 2, last + gap * 2) < 0.4);
    RC_ASSERT(reuse.Probability({1, 1}, gap / 8, last) < 0.4);
    RC_ASSERT(reuse.Probability({2, 391}, gap * 2, last) < 0.1);
  });
}

// Guards against evicting blocks of a team within its share for more valuable blocks of another
// team, and against a team that keeps its share although it no longer uses the blocks.
TEST(RetentionPolicy, TeamWithinItsShareLosesNothingToOthers) {
  CheckProperty("a team within its share keeps the blocks in use", [] {
    Tier tier(8);
    for (int i = 0; i < 40; ++i) {
      for (uint64_t kept = 0; kept < 4; ++kept) tier.Visit("small", {1, kept}, Micros(10));
      // At most half of the shortest turnover, 60 s.
      tier.now += Seconds(*rc::gen::inRange(11, 30));
      tier.Visit("large", {3, *rc::gen::inRange<uint64_t>(0, 10)}, Seconds(10));
      for (uint64_t kept = 0; kept < 4; ++kept) {
        RC_ASSERT(tier.arena.Find({1, kept}) != nullptr);
      }
    }
    // Blocks unused for half a turnover are evicted in favour of the active team.
    tier.now += tier.policy.turnover() / 2;
    for (uint64_t i = 0; i < 18; ++i) tier.Visit("large", {4, i}, Seconds(10));
    RC_ASSERT(tier.arena.Find({1, 0}) == nullptr);
  });
}

// Guards against write-back of one-off prompts and of blocks that are faster to recompute.
TEST(RetentionPolicy, WritesBackReturningBlocksWithinTheBudget) {
  Tier tier(200);
  for (int visit = 0; visit < 4; ++visit) {
    for (const char* team : {"a", "b"}) {
      for (uint64_t i = 0; i < 3; ++i) tier.Visit(team, {static_cast<uint64_t>(*team), i});
    }
    for (int i = 0; i < 30; ++i) tier.Visit("a", tier.OneOff());
    tier.now += Seconds(600);
  }
  const BlockId once = tier.OneOff();
  tier.Visit("a", once);
  const std::vector<BlockId> all = {{'a', 0}, {'a', 1}, {'a', 2}, {'b', 0}, {'b', 1}, once};
  const auto chosen = tier.policy.ChooseWriteBack(all, {4 * kBytes, 1e6}, tier.now);
  LONGS_EQUAL(4, chosen.size());
  LONGS_EQUAL(2, std::count_if(chosen.begin(), chosen.end(),
                               [](const BlockId& id) { return id.high == 'a'; }));
  const auto rest = tier.policy.ChooseWriteBack(all, {100 * kBytes, 1e6}, tier.now);
  CHECK(tier.arena.Find(once) != nullptr);
  LONGS_EQUAL(5, rest.size());
  CHECK(std::find(rest.begin(), rest.end(), once) == rest.end());
  CHECK(tier.policy.ChooseWriteBack(all, {100 * kBytes, 100.0}, tier.now).empty());
}

}  // namespace fuchsiaweir
