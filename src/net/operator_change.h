#ifndef FUCHSIAWEIR_NET_OPERATOR_CHANGE_H_
#define FUCHSIAWEIR_NET_OPERATOR_CHANGE_H_

#include <functional>
#include <optional>
#include <string>

#include "core/service_state.h"
#include "net/operator_session.h"

namespace fuchsiaweir {

/// A change that an operator requested, before the configuration has been read.
struct PlannedChange {
  std::string what;            ///< Description for the audit trail.
  int64_t base_revision = -1;  ///< Revision that the change is based on; -1: the one in force.
  /// Returns the changed inventory, given the one in force.
  std::function<Result<std::string>(const std::string& inventory_ini)> edit;
};

/// Reads the configuration, submits the change, prints the revision and, with --wait, waits until
/// it is in force everywhere. Writes nothing if the edit leaves the inventory unchanged.
Awaitable<ExitCode> ExecuteChange(OperatorSession& session, PlannedChange change);

/// A data centre or host.
struct NamedScope {
  ServiceScope scope = ServiceScope::kHost;
  std::string name;
};

/// Parses the operands `dc NAME` or `host NAME`; returns nullopt for any others.
std::optional<NamedScope> ParseNamedScope(const Operands& operands);

/// Runs `drain` (`in_service` false) or `restore` (true).
ExitCode RunServiceChange(const Operands& operands, bool in_service);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_OPERATOR_CHANGE_H_
