#ifndef FUCHSIAWEIR_NET_COMMAND_SHOW_H_
#define FUCHSIAWEIR_NET_COMMAND_SHOW_H_

#include "net/operator_session.h"

namespace fuchsiaweir {

inline constexpr char kShowHelp[] =
    "fuchsiaweir show\n"
    "Prints the inventory in force. Its first line names the revision for \"apply\".\n"
    "  --platform=ADDRESS:PORT   object API of the platform\n"
    "  --settings=FILE           take the platform and peers from a process's settings\n"
    "  --output=text|json\n"
    "  --peers=ADDRESS:PORT,...  processes to ask while the platform does not answer\n"
    "exit codes: 0 done, 1 failed, 64 usage\n";

/// First line of the output, before the revision. It is a comment of the inventory format.
inline constexpr char kRevisionLine[] = "; fuchsiaweir revision ";

/// Prints the inventory in force.
ExitCode RunShow(const Operands& operands);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_COMMAND_SHOW_H_
