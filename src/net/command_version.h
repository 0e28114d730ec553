#ifndef FUCHSIAWEIR_NET_COMMAND_VERSION_H_
#define FUCHSIAWEIR_NET_COMMAND_VERSION_H_

#include "net/operator_session.h"

namespace fuchsiaweir {

inline constexpr char kVersionHelp[] =
    "fuchsiaweir version\n"
    "Prints the version.\n";

/// Runs `version`: prints the version.
ExitCode RunVersion(const Operands& operands);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_COMMAND_VERSION_H_
