#ifndef FUCHSIAWEIR_GATEWAY_GATEWAY_DAEMON_H_
#define FUCHSIAWEIR_GATEWAY_GATEWAY_DAEMON_H_

#include <string>

#include "gateway/gateway_settings.h"

namespace fuchsiaweir {

/// Runs a gateway or a sidecar until SIGTERM and returns its exit code. SIGHUP, or a change of the
/// file, loads the settings again.
int RunGatewayOrSidecar(PlatformRole role, const std::string& settings_file);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_GATEWAY_DAEMON_H_
