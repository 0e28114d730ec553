#ifndef FUCHSIAWEIR_NET_DAEMON_H_
#define FUCHSIAWEIR_NET_DAEMON_H_

#include <string>

namespace fuchsiaweir {

/// An entry serves callers; an agent serves the targets of one host.
enum class Role { kEntry, kAgent };

/// Runs a daemon until SIGTERM or SIGINT, then lets running requests finish and shuts down. Returns
/// the process's exit code: 0 after a shutdown, 1 if the start failed, 2 if the settings have
/// findings.
int RunDaemon(Role role, const std::string& settings_file);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_DAEMON_H_
