#ifndef FUCHSIAWEIR_NET_COMMAND_APPLY_H_
#define FUCHSIAWEIR_NET_COMMAND_APPLY_H_

#include "net/operator_session.h"

namespace fuchsiaweir {

inline constexpr char kApplyHelp[] =
    "fuchsiaweir apply FILE\n"
    "Puts an inventory file into force as the next revision. A file written by \"show\" names its\n"
    "revision in the first line. Fails with a conflict if another revision is in force.\n"
    "  --base=REVISION           revision that the file is based on; overrides the first line\n"
    "  --platform=ADDRESS:PORT   object API of the platform\n"
    "  --settings=FILE           read the platform and peer addresses from a process's settings\n"
    "  --output=text|json\n"
    "  --who=NAME                name in the audit trail (default: $USER)\n"
    "  --wait                    wait until every live process reports the revision\n"
    "  --timeout=DURATION        maximum duration of the command, for example 30s\n"
    "exit codes: 0 done, 1 failed, 2 findings, 3 conflict, 4 not in force everywhere, 64 usage\n";

/// Runs `apply`: puts an inventory file into force.
ExitCode RunApply(const Operands& operands);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_COMMAND_APPLY_H_
