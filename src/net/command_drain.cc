#include "net/command_drain.h"

#include "net/operator_change.h"

namespace fuchsiaweir {

ExitCode RunDrain(const Operands& operands) {
  return RunServiceChange(operands, /*in_service=*/false);
}

}  // namespace fuchsiaweir
