#ifndef FUCHSIAWEIR_NET_COMMAND_TIGHTEN_H_
#define FUCHSIAWEIR_NET_COMMAND_TIGHTEN_H_

#include "net/operator_session.h"

namespace fuchsiaweir {

inline constexpr char kTightenHelp[] =
    "fuchsiaweir tighten dc|host NAME --seconds=N\n"
    "Instructs every process directly to send a data centre or host no new requests for N\n"
    "seconds. Works without the platform: the inventory then comes from the peers. Cannot\n"
    "shorten or undo a drain.\n"
    "  --seconds=N               validity, up to 3600\n"
    "  --peers=ADDRESS:PORT,...  processes to query when the platform does not answer\n"
    "  --platform=ADDRESS:PORT   object API of the platform\n"
    "  --settings=FILE           read the platform and peer addresses from a process's settings\n"
    "  --output=text|json\n"
    "exit codes: 0 done, 1 failed, 2 findings, 4 not confirmed by the processes named, 64 usage\n";

/// Runs `tighten`: instructs all processes to send a data centre or host no new requests.
ExitCode RunTighten(const Operands& operands);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_COMMAND_TIGHTEN_H_
