#include "core/candidate_choice.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>

#include "property.h"

namespace fuchsiaweir {
namespace {

/// Returns `runners` runners, two on each host, with the hosts spread over three data centres.
Inventory Fleet(int runners) {
  Inventory inventory;
  for (int i = 0; i < 3; ++i) inventory.data_centres.push_back({"dc" + std::to_string(i), "r"});
  for (int i = 0; i < runners; ++i) {
    const std::string host = "h" + std::to_string(i / 2);
    if (i % 2 == 0) inventory.hosts.push_back({host, "dc" + std::to_string(i / 2 % 3), "", 1, ""});
    Runner runner;
    runner.name = "r" + std::to_string(i);
    runner.host = host;
    runner.model = "m";
    inventory.runners.push_back(runner);
  }
  return inventory;
}

std::vector<std::string> Names(const std::vector<const CandidateRunner*>& runners) {
  std::vector<std::string> names;
  for (const CandidateRunner* runner : runners) names.push_back(runner->name);
  return names;
}

}  // namespace

TEST_GROUP(CandidateChoice){};

// Guards against new requests to a runner, host or data centre that is out of service.
TEST(CandidateChoice, NeverChoosesARunnerOutOfService) {
  CheckProperty("no candidate is out of service or excluded", [](const std::string& prefix) {
    Inventory inventory = Fleet(30);
    inventory.data_centres[*rc::gen::inRange<size_t>(0, 3)].in_service = false;
    for (Host& host : inventory.hosts) host.in_service = *rc::gen::inRange(0, 3) > 0;
    CandidateTable table(inventory);
    const std::string direct = "r" + std::to_string(*rc::gen::inRange(0, 30));
    const std::string excluded = "r" + std::to_string(*rc::gen::inRange(0, 30));
    table.SetInService(direct, false);
    for (const CandidateRunner* runner : table.Choose({"t", "m", prefix, 4, {excluded}})) {
      const Host& host = *FindByName(inventory.hosts, runner->host);
      RC_ASSERT(host.in_service);
      RC_ASSERT(FindByName(inventory.data_centres, host.data_centre)->in_service);
      RC_ASSERT(runner->name != direct);
      RC_ASSERT(runner->name != excluded);
    }
  });
}

// Guards against moving the homes of all prompts when one runner leaves and returns.
TEST(CandidateChoice, HomesMoveOnlyWithTheirRunner) {
  CheckProperty("a runner that leaves moves only its own prompts", [](const std::string& prefix) {
    CandidateTable table(Fleet(40));
    const CandidateQuery query{"t", "m", prefix, 3, {}};
    const std::vector<std::string> before = Names(table.Choose(query));
    const std::string gone = "r" + std::to_string(*rc::gen::inRange(0, 40));
    table.SetInService(gone, false);
    const std::vector<std::string> after = Names(table.Choose(query));
    if (before.front() != gone) RC_ASSERT(after.front() == before.front());
    if (std::find(before.begin(), before.end(), gone) != before.end()) {
      RC_ASSERT(std::find(after.begin(), after.end(), gone) == after.end());
    }
    table.SetInService(gone, true);
    RC_ASSERT(Names(table.Choose(query)) == before);
  });
}

// Guards against bid requests to a single agent, whose failure would leave no bid.
TEST(CandidateChoice, CandidatesAreOnDifferentHosts) {
  CheckProperty("three candidates have three hosts", [](const std::string& prefix) {
    const CandidateTable table(Fleet(40));
    std::set<std::string> hosts;
    for (const auto* runner : table.Choose({"t", "m", prefix, 3, {}})) hosts.insert(runner->host);
    RC_ASSERT(hosts.size() == 3U);
  });
  LONGS_EQUAL(2, CandidateTable(Fleet(2)).Choose({"t", "m", "p", 3, {}}).size());
  CHECK(CandidateTable(Fleet(2)).Choose({"t", "other", "p", 3, {}}).empty());
}

// Guards against a partial sort that returns candidates out of order when several of the best
// runners share a host.
TEST(CandidateChoice, FollowsTheWholeRanking) {
  CheckProperty("candidates are the first of each host in the ranking", [](const std::string& p) {
    const CandidateTable table(Fleet(12));
    const size_t count = *rc::gen::inRange<size_t>(1, 7);
    std::vector<std::string> expected;
    std::set<std::string> hosts;
    std::vector<std::string> ranked;
    for (int i = 0; i < 12; ++i) {
      const CandidateRunner& home = *table.Choose({"t", "m", p, 1, ranked}).front();
      ranked.push_back(home.name);
      if (expected.size() < count && hosts.insert(home.host).second) expected.push_back(home.name);
    }
    RC_ASSERT(Names(table.Choose({"t", "m", p, count, {}})) == expected);
  });
}

// Guards against teams whose prompts share homes because the key joins its parts without
// separators.
TEST(CandidateChoice, PartsOfTheKeyAreKeptApart) {
  const CandidateTable table(Fleet(600));
  int equal = 0;
  for (int i = 0; i < 100; ++i) {
    const std::string digits = std::to_string(i);
    const auto a = table.Choose({"t", "m", "m" + digits, 1, {}});
    const auto b = table.Choose({"tm", "m", digits, 1, {}});
    equal += a == b ? 1 : 0;
  }
  CHECK(equal <= 5);
}

}  // namespace fuchsiaweir
