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

// Guards against reads of parts that a store lost at its restart, or that were freed in changes
// which did not arrive.
TEST(PartDirectory, ARestartOrAGapForgetsEverything) {
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

// Guards against a read of kept cache of other weights or of an isolated team: both are in the
// salt.
TEST(PartDirectory, AnotherSaltFindsNothing) {
  StoreContents contents;
  contents.Reset(Changes(1, 1, {{true, "w1", "a", 100}}));
  const std::vector<StoreCandidate> stores = {{"10.0.0.1:1", 1000, &contents, "a", 0}};
  const std::vector<PromptPart> parts = {{"a", 100}, {"own", 10}};
  STRCMP_EQUAL("10.0.0.1:1", PlanParts(parts, "w1", stores, "a").fetch_from[0].c_str());
  CHECK(PlanParts(parts, "w2", stores, "a").fetch_from.empty());
  CHECK(PlanParts(parts, "w1.team", stores, "a").fetch_from.empty());
}

// Guards against reads of parts that are not whole, reads behind a part that is missing, saves
// beyond a store's room and saves of the part that belongs to one request.
TEST(PartDirectory, PlansOnlyWhatIsWholeLeadingAndFits) {
  CheckProperty("every plan keeps to the contents", [] {
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

// Replays prompts that return to runners in four data centres, whose stores differ tenfold in room
// and in the speed of their links. Guards against links that carry most parts twice, because these
// were spread by room alone: the busiest link has at most 0.75 of the work that it had then.
TEST(PartDirectory, PartsLieNearTheRunnersThatReadThem) {
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
  std::map<std::string, double> now;
  std::map<std::string, double> by_room;
  for (int i = 0; i < 4'000; ++i) {
    const std::string& centre = centres[i % 4];
    const std::string id = "part" + std::to_string(i);
    const PartPlan plan = PlanParts({{id, 100}, {"own", 10}}, "s", stores, centre);
    double room_score = 0;
    const StoreCandidate* room_choice = nullptr;
    for (const StoreCandidate& store : stores) {
      const double seconds = (store.data_centre == centre ? 1 : 2) / store.bytes_per_second;
      if (store.address == plan.save_to[0]) now[store.address] += seconds;
      const double unit =
          (static_cast<double>(RendezvousScore(id, store.address) >> 11) + 0.5) * 0x1.0p-53;
      const double score = -static_cast<double>(store.capacity_tokens) / std::log(unit);
      if (room_choice == nullptr || score > room_score) {
        room_choice = &store;
        room_score = score;
      }
    }
    by_room[room_choice->address] +=
        (room_choice->data_centre == centre ? 1 : 2) / room_choice->bytes_per_second;
  }
  const auto busiest = [](const std::map<std::string, double>& work) {
    double most = 0;
    for (const auto& [address, seconds] : work) most = std::max(most, seconds);
    return most;
  };
  CHECK(busiest(now) <= 0.75 * busiest(by_room));
}

// Guards against saves of many gateways that find no room, because a store's changes tell of them
// only later.
TEST(PartDirectory, RoomForSavesOnTheirWayIsKept) {
  StoreContents contents;
  contents.Reset(Changes(1, 1, {{true, "s", "other", 500}}));
  std::vector<StoreCandidate> stores{{"10.0.0.1:1", 1'000, &contents, "a", 1e9, 300}};
  const std::vector<PromptPart> parts{{"part", 100}, {"own", 10}};
  STRCMP_EQUAL("10.0.0.1:1", PlanParts(parts, "s", stores, "a").save_to[0].c_str());
  stores[0].arriving_tokens = 400;
  CHECK(PlanParts(parts, "s", stores, "a").save_to.empty());
}

// Guards against a part that is computed because its store's link is busy, and then saved to
// another store as well.
TEST(PartDirectory, ABusyLinkIsLeftAlone) {
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

// Guards against a count of kept tokens that drifts, after which a store seems full or empty.
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
