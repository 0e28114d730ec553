#include "net/command_restore.h"

#include "net/operator_change.h"

namespace fuchsiaweir {

ExitCode RunRestore(const Operands& operands) {
  return RunServiceChange(operands, /*in_service=*/true);
}

}  // namespace fuchsiaweir
