#ifndef FUCHSIAWEIR_NET_COMMAND_CHECK_H_
#define FUCHSIAWEIR_NET_COMMAND_CHECK_H_

#include "net/operator_session.h"

namespace fuchsiaweir {

inline constexpr char kCheckHelp[] =
    "fuchsiaweir check FILE\n"
    "Reports all findings of a file with their lines. Nothing is contacted.\n"
    "  --as=inventory|entry|agent|gateway|sidecar   what the file is (default: inventory); all "
    "but\n"
    "                                               the inventory are settings of a process\n"
    "  --output=text|json\n"
    "exit codes: 0 valid, 2 findings, 64 usage\n";

/// Checks an inventory file or the settings of a process.
ExitCode RunCheck(const Operands& operands);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_COMMAND_CHECK_H_
