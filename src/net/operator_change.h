#ifndef FUCHSIAWEIR_NET_OPERATOR_CHANGE_H_
#define FUCHSIAWEIR_NET_OPERATOR_CHANGE_H_

#include <functional>
#include <optional>
#include <string>

#include "core/service_state.h"
#include "net/operator_session.h"

namespace fuchsiaweir {

/// An operator's change before the configuration has been read.
struct PlannedChange {
  std::string what;   ///< For the audit trail.
  int64_t base = -1;  ///< Revision that it is based on; -1: the one that is read.
  /// Returns the new inventory for the one in force.
  std::function<Result<std::string>(const std::string& inventory_ini)> edit;
};

/// Reads the configuration, applies the change, reports the revision, and with --wait waits until
/// it is in force everywhere. An edit that changes nothing writes nothing.
Awaitable<ExitCode> CarryOut(OperatorSession& session, PlannedChange change);

/// A data centre or host named by the operands `dc NAME` or `host NAME`.
struct Place {
  ServiceScope scope = ServiceScope::kHost;
  std::string name;
};
std::optional<Place> ParsePlace(const Operands& operands);

/// Runs `drain` and `restore`.
ExitCode ChangeService(const Operands& operands, bool in_service);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_OPERATOR_CHANGE_H_
