#ifndef FUCHSIAWEIR_NET_COMMAND_DRAIN_H_
#define FUCHSIAWEIR_NET_COMMAND_DRAIN_H_

#include "net/operator_session.h"

namespace fuchsiaweir {

inline constexpr char kDrainHelp[] =
    "fuchsiaweir drain dc|host NAME\n"
    "Takes a data centre or host out of service: it gets no new requests; running ones finish.\n"
    "  --platform=ADDRESS:PORT   object API of the platform\n"
    "  --settings=FILE           read the platform and peer addresses from a process's settings\n"
    "  --output=text|json\n"
    "  --who=NAME                name in the audit trail (default: $USER)\n"
    "  --wait                    wait until every live process reports the revision\n"
    "  --timeout=DURATION        maximum duration of the command, for example 30s\n"
    "exit codes: 0 done, 1 failed, 2 findings, 3 conflict, 4 not in force everywhere, 64 usage\n";

/// Runs `drain`: takes a data centre or host out of service.
ExitCode RunDrain(const Operands& operands);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_COMMAND_DRAIN_H_
