#ifndef FUCHSIAWEIR_NET_DAEMON_H_
#define FUCHSIAWEIR_NET_DAEMON_H_

#include <string>

namespace fuchsiaweir {

/// The two daemon roles.
enum class Role { kEntry, kAgent };

/// Runs a daemon until SIGTERM or SIGINT, then shuts it down without cutting requests. Returns the
/// process's exit code: 0 after a shutdown, 2 when the settings have findings.
int RunDaemon(Role role, const std::string& settings_file);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_DAEMON_H_
