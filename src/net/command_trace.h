#ifndef FUCHSIAWEIR_NET_COMMAND_TRACE_H_
#define FUCHSIAWEIR_NET_COMMAND_TRACE_H_

#include "net/operator_session.h"

namespace fuchsiaweir {

inline constexpr char kTraceHelp[] =
    "fuchsiaweir trace REQUEST-ID [FILE...]\n"
    "Follows one request through the logs of all processes, or through standard input: each step,\n"
    "what its processes and runners were known to do around it, and a conclusion. Nothing is\n"
    "contacted.\n"
    "  --output=text|json\n"
    "exit codes: 0 found, 1 no record has the id, 2 a file cannot be read, 64 usage\n";

/// Follows one request through log files.
ExitCode RunTrace(const Operands& operands);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_COMMAND_TRACE_H_
