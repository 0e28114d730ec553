#ifndef FUCHSIAWEIR_NET_COMMAND_SHOW_H_
#define FUCHSIAWEIR_NET_COMMAND_SHOW_H_

#include "net/operator_session.h"

namespace fuchsiaweir {

inline constexpr char kShowHelp[] =
    "fuchsiaweir show\n"
    "Prints the inventory in force. Its first line has the revision, which \"apply\" checks.\n"
    "  --platform=ADDRESS:PORT   object API of the platform\n"
    "  --settings=FILE           read the platform and peer addresses from a process's settings\n"
    "  --output=text|json\n"
    "  --peers=ADDRESS:PORT,...  processes to query when the platform does not answer\n"
    "exit codes: 0 done, 1 failed, 64 usage\n";

/// Prefix of the first output line; the revision follows. The line is a comment in the inventory
/// format.
inline constexpr char kRevisionLine[] = "; fuchsiaweir revision ";

/// Runs `show`: prints the inventory in force.
ExitCode RunShow(const Operands& operands);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_COMMAND_SHOW_H_
