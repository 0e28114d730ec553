#ifndef FUCHSIAWEIR_NET_COMMAND_AUDIT_H_
#define FUCHSIAWEIR_NET_COMMAND_AUDIT_H_

#include "net/operator_session.h"

namespace fuchsiaweir {

inline constexpr char kAuditHelp[] =
    "fuchsiaweir audit\n"
    "Prints the audit trail: one record per accepted change, oldest first.\n"
    "  --platform=ADDRESS:PORT   object API of the platform\n"
    "  --settings=FILE           read the platform and peer addresses from a process's settings\n"
    "  --output=text|json\n"
    "exit codes: 0 done, 1 failed, 64 usage\n";

/// Runs `audit`: prints the audit trail.
ExitCode RunAudit(const Operands& operands);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_COMMAND_AUDIT_H_
