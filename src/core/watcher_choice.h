#ifndef FUCHSIAWEIR_CORE_WATCHER_CHOICE_H_
#define FUCHSIAWEIR_CORE_WATCHER_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/listed_host.h"

namespace fuchsiaweir {

/// Number of processes per data centre that watch the configuration object. Three would be enough
/// to keep two common watchers between host lists that differ by one host, but at the planned size
/// each of three would send every change to 27 processes: 12 KB/s averaged over a day, the entire
/// bandwidth budget of a daemon.
inline constexpr size_t kWatchersPerDataCentre = 6;

/// Rendezvous-hashing score of a node for a key; every process must use the same function.
using NodeScore = std::function<uint64_t(const std::string& key, const std::string& node)>;

/// Returns the hosts of a data centre that watch the configuration object, by descending score.
/// Hosts that are leaving are chosen only when too few others are listed.
std::vector<std::string> ChooseWatchers(const std::vector<ListedHost>& hosts,
                                        const std::string& data_centre, const NodeScore& score);

/// Returns whether the process on host `self` watches the platform. This is also the case while no
/// host of its data centre is listed.
bool ShouldWatch(const std::vector<ListedHost>& hosts, const std::string& data_centre,
                 const std::string& self, const NodeScore& score);

/// Returns the watchers that host `self` long-polls, in order of preference: those of its own data
/// centre first, then those of the others. The order differs between hosts to spread the load.
std::vector<std::string> PollTargets(const std::vector<ListedHost>& hosts,
                                     const std::string& data_centre, const std::string& self,
                                     const NodeScore& score);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_WATCHER_CHOICE_H_
