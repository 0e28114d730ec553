#ifndef FUCHSIAWEIR_NET_COMMAND_STATUS_H_
#define FUCHSIAWEIR_NET_COMMAND_STATUS_H_

#include "net/operator_session.h"

namespace fuchsiaweir {

inline constexpr char kStatusHelp[] =
    "fuchsiaweir status\n"
    "Prints the revision and service state of the process on every host of the inventory.\n"
    "  --platform=ADDRESS:PORT   object API of the platform\n"
    "  --settings=FILE           read the platform and peer addresses from a process's settings\n"
    "  --output=text|json\n"
    "  --peers=ADDRESS:PORT,...  processes to query when the platform does not answer\n"
    "  --metrics=ADDRESS:PORT,...  metrics addresses of gateways and sidecars, whose state is\n"
    "                              printed instead\n"
    "exit codes: 0 done, 1 failed or a process does not answer, 64 usage\n";

/// Runs `status`: prints the state of every process.
ExitCode RunStatus(const Operands& operands);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_COMMAND_STATUS_H_
