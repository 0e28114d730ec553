#include "net/command_restore.h"

#include "net/operator_change.h"

namespace fuchsiaweir {

ExitCode RunRestore(const Operands& operands) { return ChangeService(operands, true); }

}  // namespace fuchsiaweir
