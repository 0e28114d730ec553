#ifndef FUCHSIAWEIR_NET_COMMAND_CHECK_H_
#define FUCHSIAWEIR_NET_COMMAND_CHECK_H_

#include "net/operator_session.h"

namespace fuchsiaweir {

inline constexpr char kCheckHelp[] =
    "fuchsiaweir check FILE\n"
    "Reports all errors in a file with their lines. Makes no network calls.\n"
    "  --as=inventory|entry|agent|gateway|sidecar   file type (default: inventory); all\n"
    "                                               others are settings of a process\n"
    "  --output=text|json\n"
    "exit codes: 0 valid, 2 findings, 64 usage\n";

/// Runs `check`: validates an inventory file or the settings of a process.
ExitCode RunCheck(const Operands& operands);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_COMMAND_CHECK_H_
