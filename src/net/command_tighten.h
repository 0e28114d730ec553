#ifndef FUCHSIAWEIR_NET_COMMAND_TIGHTEN_H_
#define FUCHSIAWEIR_NET_COMMAND_TIGHTEN_H_

#include "net/operator_session.h"

namespace fuchsiaweir {

inline constexpr char kTightenHelp[] =
    "fuchsiaweir tighten dc|host NAME --seconds=N\n"
    "Orders every process directly to give a data centre or host no new work for N seconds. It "
    "needs no\n"
    "platform: the inventory then comes from the peers. It cannot shorten or undo a drain.\n"
    "  --seconds=N               validity, up to 3600\n"
    "  --peers=ADDRESS:PORT,...  processes to ask while the platform does not answer\n"
    "  --platform=ADDRESS:PORT   object API of the platform\n"
    "  --settings=FILE           take the platform and peers from a process's settings\n"
    "  --output=text|json\n"
    "exit codes: 0 done, 1 failed, 2 findings, 4 not confirmed by the processes named, 64 usage\n";

/// Orders all processes to send a place no new work.
ExitCode RunTighten(const Operands& operands);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_COMMAND_TIGHTEN_H_
