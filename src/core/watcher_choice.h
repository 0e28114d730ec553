#ifndef FUCHSIAWEIR_CORE_WATCHER_CHOICE_H_
#define FUCHSIAWEIR_CORE_WATCHER_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/listed_host.h"

namespace fuchsiaweir {

/// Processes per data centre that watch the configuration object. Three would keep two common
/// watchers when two host lists differ by a host, but at the two-year size each of three sends a
/// change to 27 processes, 12 KB/s over a day, which is the whole budget of a daemon.
inline constexpr size_t kWatchersPerDataCentre = 6;

/// Rendezvous score of a node for a key, the same in every process.
using NodeScore = std::function<uint64_t(const std::string& key, const std::string& node)>;

/// Returns the hosts of a data centre that watch the configuration object, by descending score.
/// Leaving hosts are chosen only when too few others are listed.
std::vector<std::string> ChooseWatchers(const std::vector<ListedHost>& hosts,
                                        const std::string& data_centre, const NodeScore& score);

/// Tells whether the process on host `self` watches the platform. It also does so while the list
/// shows no host in its data centre.
bool ShouldWatch(const std::vector<ListedHost>& hosts, const std::string& data_centre,
                 const std::string& self, const NodeScore& score);

/// Returns the watchers that host `self` long-polls, in order of preference: those of its own data
/// centre first, then those of the others. The order differs between hosts to spread the polls.
std::vector<std::string> PollTargets(const std::vector<ListedHost>& hosts,
                                     const std::string& data_centre, const std::string& self,
                                     const NodeScore& score);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_WATCHER_CHOICE_H_
