#include "core/watcher_choice.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>
#include <utility>

namespace fuchsiaweir {
namespace {

/// Sorts by descending score. Equal scores are ordered by name, so that all processes agree.
void SortByScore(std::vector<std::string>& names, const std::string& key, const NodeScore& score) {
  std::vector<std::pair<uint64_t, std::string>> scored;
  scored.reserve(names.size());
  for (const std::string& name : names) scored.emplace_back(~score(key, name), name);
  std::sort(scored.begin(), scored.end());
  names.clear();
  for (const auto& [inverted_score, name] : scored) names.push_back(name);
}

std::vector<std::string> HostNames(const std::vector<ListedHost>& hosts,
                                   const std::string& data_centre, bool leaving) {
  std::set<std::string> names;
  for (const ListedHost& host : hosts) {
    if (host.data_centre == data_centre && host.leaving == leaving) names.insert(host.name);
  }
  return {names.begin(), names.end()};
}

}  // namespace

std::vector<std::string> ChooseWatchers(const std::vector<ListedHost>& hosts,
                                        const std::string& data_centre, const NodeScore& score) {
  const std::string key = absl::StrCat("watch/", data_centre);
  std::vector<std::string> watchers;
  for (const bool leaving : {false, true}) {
    std::vector<std::string> names = HostNames(hosts, data_centre, leaving);
    SortByScore(names, key, score);
    watchers.insert(watchers.end(), names.begin(), names.end());
  }
  watchers.resize(std::min(watchers.size(), kWatchersPerDataCentre));
  return watchers;
}

bool ShouldWatch(const std::vector<ListedHost>& hosts, const std::string& data_centre,
                 const std::string& self, const NodeScore& score) {
  const std::vector<std::string> watchers = ChooseWatchers(hosts, data_centre, score);
  return watchers.empty() || std::find(watchers.begin(), watchers.end(), self) != watchers.end();
}

std::vector<std::string> PollTargets(const std::vector<ListedHost>& hosts,
                                     const std::string& data_centre, const std::string& self,
                                     const NodeScore& score) {
  std::set<std::string> others;
  for (const ListedHost& host : hosts) others.insert(host.data_centre);
  others.erase(data_centre);

  const std::string key = absl::StrCat("poll/", self);
  std::vector<std::string> targets = ChooseWatchers(hosts, data_centre, score);
  SortByScore(targets, key, score);
  std::vector<std::string> remote;
  for (const std::string& other : others) {
    const std::vector<std::string> watchers = ChooseWatchers(hosts, other, score);
    remote.insert(remote.end(), watchers.begin(), watchers.end());
  }
  SortByScore(remote, key, score);
  targets.insert(targets.end(), remote.begin(), remote.end());
  targets.erase(std::remove(targets.begin(), targets.end(), self), targets.end());
  return targets;
}

}  // namespace fuchsiaweir
