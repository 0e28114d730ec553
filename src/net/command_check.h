#ifndef FUCHSIAWEIR_NET_COMMAND_CHECK_H_
#define FUCHSIAWEIR_NET_COMMAND_CHECK_H_

#include "net/operator_session.h"

namespace fuchsiaweir {

inline constexpr char kCheckHelp[] =
    "fuchsiaweir check FILE\n"
    "Reports all findings of an inventory file. Nothing is contacted.\n"
    "  --output=text|json\n"
    "exit codes: 0 valid, 2 findings, 64 usage\n";

/// Checks an inventory file.
ExitCode RunCheck(const Operands& operands);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_COMMAND_CHECK_H_
