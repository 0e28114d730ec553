#include "core/part_directory.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>

#include "core/rendezvous.h"
#include "property.h"

namespace fuchsiaweir {
namespace {

CacheChanges Changes(int64_t epoch, int64_t next, std::vector<CacheChange> changes) {
  CacheChanges result;
  result.epoch = epoch;
  result.next = next;
  result.changes = std::move(changes);
  return result;
}

}  // namespace

TEST_GROUP(PartDirectory){};

// Guards against fetching parts that a store lost in a restart, or that it freed in changes that
// were missed.
TEST(PartDirectory, ARestartOrAGapClearsTheContents) {
  StoreContents contents;
  contents.Reset(Changes(7, 10, {{true, "s", "a", 100}}));
  LONGS_EQUAL(100, contents.TokensOf("s", "a"));
  CHECK_FALSE(contents.Apply(Changes(8, 11, {{true, "s", "b", 50}})));
  CHECK_FALSE(contents.known());
  LONGS_EQUAL(0, contents.TokensOf("s", "a"));
  contents.Reset(Changes(8, 11, {{true, "s", "b", 50}}));
  CacheChanges gap = Changes(8, 20, {});
  gap.gap = true;
  CHECK_FALSE(contents.Apply(gap));
  LONGS_EQUAL(0, contents.TokensOf("s", "b"));
}

// Guards against fetching KV cache of other weights or of an isolated team: the salt contains both.
TEST(PartDirectory, AnotherSaltFindsNothing) {
  StoreContents contents;
  contents.Reset(Changes(1, 1, {{true, "w1", "a", 100}}));
  const std::vector<StoreCandidate> stores = {{"10.0.0.1:1", 1000, &contents, "a", 0}};
  const std::vector<PromptPart> parts = {{"a", 100}, {"own", 10}};
  STRCMP_EQUAL("10.0.0.1:1", PlanParts(parts, "w1", stores, "a").fetch_from[0].c_str());
  CHECK(PlanParts(parts, "w2", stores, "a").fetch_from.empty());
  CHECK(PlanParts(parts, "w1.team", stores, "a").fetch_from.empty());
}

// Guards against fetching incomplete parts or parts after a missing one, and against saves beyond
// the capacity of a store or of the last part, which only one request uses.
TEST(PartDirectory, PlansOnlyCompleteLeadingPartsWithinCapacity) {
  CheckProperty("every plan agrees with the contents", [] {
    std::vector<StoreContents> contents(3);
    std::vector<StoreCandidate> stores;
    for (size_t i = 0; i < contents.size(); ++i) {
      CacheChanges all = Changes(1, 1, {});
      for (int part = 0; part < 6; ++part) {
        if (*rc::gen::inRange(0, 3) == 0) {
          all.changes.push_back({true, "s", "p" + std::to_string(part), *rc::gen::inRange(1, 200)});
        }
      }
      if (*rc::gen::inRange(0, 4) > 0) contents[i].Reset(all);
      stores.push_back({"10.0.0.1:" + std::to_string(i + 1), *rc::gen::inRange(100, 2000),
                        &contents[i], i == 0 ? "a" : "b", *rc::gen::inRange(0, 3) * 1e9});
    }
    std::vector<PromptPart> parts;
    const int count = *rc::gen::inRange(0, 6);
    for (int i = 0; i < count; ++i) parts.push_back({"p" + std::to_string(i), 100});
    const PartPlan plan = PlanParts(parts, "s", stores, "a");
    bool missing = false;
    for (size_t i = 0; i < parts.size(); ++i) {
      const std::string fetch = plan.fetch_from.empty() ? "" : plan.fetch_from[i];
      const std::string save = plan.save_to.empty() ? "" : plan.save_to[i];
      if (i + 1 == parts.size()) RC_ASSERT(fetch.empty() && save.empty());
      if (!fetch.empty()) {
        RC_ASSERT(!missing);
        for (const StoreCandidate& store : stores) {
          if (store.address == fetch) RC_ASSERT(store.contents->TokensOf("s", parts[i].id) >= 100);
        }
      }
      for (const StoreCandidate& store : stores) {
        if (store.address != save) continue;
        RC_ASSERT(store.contents->known());
        RC_ASSERT(store.contents->tokens() + 100 <= store.capacity_tokens);
      }
      missing = missing || fetch.empty();
    }
  });
}

// Load pattern: prompts return to runners in four data centres, whose stores differ in link rate
// and tenfold in capacity. Guards against parts that are spread by capacity alone, so that most
// of them cross data centres: the busiest link must carry at most 0.75 of the load under that
// scheme.
TEST(PartDirectory, PartsAreSavedNearTheRunnersThatReadThem) {
  const std::vector<std::string> centres{"a", "b", "c", "d"};
  StoreContents empty;
  empty.Reset(Changes(1, 1, {}));
  std::vector<StoreCandidate> stores;
  for (int i = 0; i < 4; ++i) {
    stores.push_back({"fast" + std::to_string(i), 200'000, &empty, centres[i], 38e9});
  }
  for (int i = 0; i < 2; ++i) {
    stores.push_back({"large" + std::to_string(i), 2'000'000, &empty, centres[2 * i], 16e9});
  }
  std::map<std::string, double> by_speed;
  std::map<std::string, double> by_capacity;
  for (int i = 0; i < 4'000; ++i) {
    const std::string& centre = centres[i % 4];
    const std::string id = "part" + std::to_string(i);
    const PartPlan plan = PlanParts({{id, 100}, {"own", 10}}, "s", stores, centre);
    double capacity_score = 0;
    const StoreCandidate* capacity_choice = nullptr;
    for (const StoreCandidate& store : stores) {
      const double seconds = (store.data_centre == centre ? 1 : 2) / store.bytes_per_second;
      if (store.address == plan.save_to[0]) by_speed[store.address] += seconds;
      const double unit =
          (static_cast<double>(RendezvousScore(id, store.address) >> 11) + 0.5) * 0x1.0p-53;
      const double score = -static_cast<double>(store.capacity_tokens) / std::log(unit);
      if (capacity_choice == nullptr || score > capacity_score) {
        capacity_choice = &store;
        capacity_score = score;
      }
    }
    by_capacity[capacity_choice->address] +=
        (capacity_choice->data_centre == centre ? 1 : 2) / capacity_choice->bytes_per_second;
  }
  const auto busiest = [](const std::map<std::string, double>& work) {
    double most = 0;
    for (const auto& [address, seconds] : work) most = std::max(most, seconds);
    return most;
  };
  CHECK(busiest(by_speed) <= 0.75 * busiest(by_capacity));
}

// Guards against saves of many gateways that exceed the capacity of a store, because its change
// events report each save only after a delay.
TEST(PartDirectory, PendingSavesCountTowardsTheCapacity) {
  StoreContents contents;
  contents.Reset(Changes(1, 1, {{true, "s", "other", 500}}));
  std::vector<StoreCandidate> stores{{"10.0.0.1:1", 1'000, &contents, "a", 1e9, 300}};
  const std::vector<PromptPart> parts{{"part", 100}, {"own", 10}};
  STRCMP_EQUAL("10.0.0.1:1", PlanParts(parts, "s", stores, "a").save_to[0].c_str());
  stores[0].pending_save_tokens = 400;
  CHECK(PlanParts(parts, "s", stores, "a").save_to.empty());
}

// Guards against saving a part to a second store after it was recomputed because the link of the
// first one is busy.
TEST(PartDirectory, BusyLinkGetsNoTransfer) {
  StoreContents holding;
  holding.Reset(Changes(1, 1, {{true, "s", "part", 100}}));
  StoreContents empty;
  empty.Reset(Changes(1, 1, {}));
  const std::vector<StoreCandidate> stores{{"10.0.0.1:1", 1'000, &holding, "a", 1e9, 0, false},
                                           {"10.0.0.2:1", 1'000, &empty, "a", 1e9, 0, true}};
  CHECK(PlanParts({{"part", 100}, {"own", 10}}, "s", stores, "a").empty());
  const PartPlan plan = PlanParts({{"new", 100}, {"own", 10}}, "s", stores, "a");
  STRCMP_EQUAL("10.0.0.2:1", plan.save_to[0].c_str());
}

// Guards against a token count that drifts from the contents, so that a store seems full or empty.
TEST(PartDirectory, TokensEqualTheSumOfTheParts) {
  CheckProperty("tokens follow the changes", [] {
    StoreContents contents;
    contents.Reset(Changes(1, 0, {}));
    std::map<std::string, int64_t> model;
    const int steps = *rc::gen::inRange(0, 60);
    for (int i = 0; i < steps; ++i) {
      const std::string id = std::to_string(*rc::gen::inRange(0, 5));
      const bool added = *rc::gen::arbitrary<bool>();
      const int64_t tokens = *rc::gen::inRange(0, 90);
      if (added && tokens > 0) {
        model[id] = tokens;
      } else {
        model.erase(id);
      }
      RC_ASSERT(contents.Apply(Changes(1, i + 1, {{added, "s", id, tokens}})));
      int64_t sum = 0;
      for (const auto& [key, value] : model) sum += value;
      RC_ASSERT(contents.tokens() == sum);
      RC_ASSERT(contents.size() == model.size());
    }
  });
}

}  // namespace fuchsiaweir
