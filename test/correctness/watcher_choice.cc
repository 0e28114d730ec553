#include "core/watcher_choice.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "property.h"

namespace fuchsiaweir {
namespace {

uint64_t TestScore(const std::string& key, const std::string& node) {
  return std::hash<std::string>()(key + "|" + node);
}

std::vector<ListedHost> ArbitraryHosts() {
  std::vector<ListedHost> hosts;
  const int count = *rc::gen::inRange(0, 40);
  for (int i = 0; i < count; ++i) {
    hosts.push_back({"h" + std::to_string(i), "dc" + std::to_string(*rc::gen::inRange(0, 3)),
                     *rc::gen::inRange(0, 4) == 0});
  }
  return hosts;
}

size_t CountHosts(const std::vector<ListedHost>& hosts, const std::string& data_centre,
                  bool with_leaving) {
  return std::count_if(hosts.begin(), hosts.end(), [&](const ListedHost& host) {
    return host.data_centre == data_centre && (with_leaving || !host.leaving);
  });
}

}  // namespace

TEST_GROUP(WatcherChoice){};

// Guards against a data centre without a watcher, against more watchers than the object API is
// sized for, and against processes that disagree because their lists are ordered differently.
TEST(WatcherChoice, EveryDataCentreHasAFewAgreedWatchers) {
  CheckProperty("watchers are few, present and independent of the order", [] {
    std::vector<ListedHost> hosts = ArbitraryHosts();
    for (const char* dc : {"dc0", "dc1", "dc2"}) {
      const std::vector<std::string> watchers = ChooseWatchers(hosts, dc, TestScore);
      RC_ASSERT(watchers.size() == std::min<size_t>(6, CountHosts(hosts, dc, true)));
      size_t leaving = 0;
      for (const ListedHost& host : hosts) {
        const bool watches =
            std::find(watchers.begin(), watchers.end(), host.name) != watchers.end();
        leaving += watches && host.leaving;
        if (watches) RC_ASSERT(host.data_centre == dc);
        if (host.data_centre == dc) {
          RC_ASSERT(ShouldWatch(hosts, dc, host.name, TestScore) == watches);
        }
      }
      if (CountHosts(hosts, dc, false) >= 6) RC_ASSERT(leaving == 0u);
      RC_ASSERT(ShouldWatch(hosts, dc, "unlisted", TestScore) == watchers.empty());
      std::reverse(hosts.begin(), hosts.end());
      RC_ASSERT(ChooseWatchers(hosts, dc, TestScore) == watchers);
    }
  });
}

// Guards against a change of all watchers at once when the lists of two processes differ by a host.
TEST(WatcherChoice, OneHostReplacesAtMostOneWatcher) {
  CheckProperty("removing a host keeps the other watchers", [] {
    std::vector<ListedHost> hosts = ArbitraryHosts();
    if (hosts.empty()) return;
    const std::vector<std::string> before = ChooseWatchers(hosts, "dc0", TestScore);
    const std::string removed = hosts.back().name;
    hosts.pop_back();
    const std::vector<std::string> after = ChooseWatchers(hosts, "dc0", TestScore);
    for (const std::string& name : before) {
      if (name == removed) continue;
      RC_ASSERT(std::find(after.begin(), after.end(), name) != after.end());
    }
  });
}

// Guards against a process that polls itself or only remote watchers while its own data centre has
// some, and against a process without a fallback to other data centres.
TEST(WatcherChoice, PollsOwnDataCentreFirst) {
  CheckProperty("targets are all watchers but oneself, own data centre first", [] {
    const std::vector<ListedHost> hosts = ArbitraryHosts();
    const std::string self = "h" + std::to_string(*rc::gen::inRange(0, 40));
    const std::vector<std::string> targets = PollTargets(hosts, "dc0", self, TestScore);
    std::set<std::string> expected;
    std::set<std::string> own;
    for (const char* dc : {"dc0", "dc1", "dc2"}) {
      for (const std::string& name : ChooseWatchers(hosts, dc, TestScore)) {
        if (name == self) continue;
        expected.insert(name);
        if (dc == std::string("dc0")) own.insert(name);
      }
    }
    RC_ASSERT(std::set<std::string>(targets.begin(), targets.end()) == expected);
    RC_ASSERT(targets.size() == expected.size());
    RC_ASSERT(std::set<std::string>(targets.begin(),
                                    targets.begin() + static_cast<ptrdiff_t>(own.size())) == own);
  });
}

// Guards against one watcher that serves the polls of its whole data centre.
TEST(WatcherChoice, FirstTargetsAreSpreadOverTheWatchers) {
  std::vector<ListedHost> hosts;
  for (int i = 0; i < 300; ++i) hosts.push_back({"h" + std::to_string(i), "dc0", false});
  std::map<std::string, int> polls;
  for (const ListedHost& host : hosts) {
    ++polls[PollTargets(hosts, "dc0", host.name, TestScore).front()];
  }
  CHECK_EQUAL(kWatchersPerDataCentre, polls.size());
  for (const auto& [watcher, count] : polls) CHECK_COMPARE(count, >, 25);  // Half of the mean.
}

}  // namespace fuchsiaweir
