#ifndef FUCHSIAWEIR_NET_COMMAND_TRACE_H_
#define FUCHSIAWEIR_NET_COMMAND_TRACE_H_

#include "net/operator_session.h"

namespace fuchsiaweir {

inline constexpr char kTraceHelp[] =
    "fuchsiaweir trace REQUEST-ID [FILE...]\n"
    "Traces one request through log files, or through standard input if no file is given.\n"
    "Prints each step, the events of its processes and runners around that time, and a\n"
    "conclusion. Makes no network calls.\n"
    "  --output=text|json\n"
    "exit codes: 0 found, 1 no record has the id, 2 a file cannot be read, 64 usage\n";

/// Runs `trace`: traces one request through log files.
ExitCode RunTrace(const Operands& operands);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_COMMAND_TRACE_H_
