#include "net/operator_change.h"

#include <absl/random/random.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>

#include <utility>
#include <vector>

#include "core/inventory_edit.h"
#include "net/config_editor.h"
#include "net/fleet_status.h"

namespace fuchsiaweir {
namespace {

std::string NewNonce() {
  absl::BitGen generator;
  return absl::StrCat(absl::Hex(absl::Uniform<uint64_t>(generator), absl::kZeroPad16),
                      absl::Hex(absl::Uniform<uint64_t>(generator), absl::kZeroPad16));
}

ConfigChange MakeChange(const OperatorOptions& options, const PlannedChange& planned,
                        int64_t revision, std::string inventory_ini) {
  ConfigChange change;
  change.base_revision = planned.base_revision < 0 ? revision : planned.base_revision;
  change.who = options.who;
  change.when = absl::FormatTime(absl::RFC3339_sec, absl::Now(), absl::UTCTimeZone());
  change.what = planned.what;
  change.nonce = NewNonce();
  change.inventory_ini = std::move(inventory_ini);
  return change;
}

void PrintRevision(const OperatorSession& session, int64_t revision, bool changed) {
  const std::string text = changed ? absl::StrCat("revision ", revision, " accepted\n")
                                   : absl::StrCat("nothing to change in revision ", revision, "\n");
  session.Print(text, {{"revision", revision}, {"changed", changed}});
}

Error NotInForceError(int64_t revision, const std::vector<ProcessStatus>& lagging) {
  std::string message = absl::StrCat("revision ", revision, " is accepted but not in force in");
  for (const ProcessStatus& status : lagging) {
    absl::StrAppend(&message, " ", status.host,
                    status.answers ? absl::StrCat(" (revision ", status.revision, ")")
                                   : std::string(" (no answer)"));
  }
  return {ErrorCode::kTimeout, RunState::kRan, message, Duration{0}};
}

Awaitable<ExitCode> WaitUntilInForce(OperatorSession& session, std::string inventory_ini,
                                     int64_t revision, TimePoint deadline) {
  ConfigDocument document;
  document.revision = revision;
  document.inventory_ini = std::move(inventory_ini);
  const Result<Inventory> inventory = ParseDocumentInventory(document);
  if (!inventory) co_return session.ReportError(inventory.error());
  const std::vector<ProcessStatus> lagging =
      co_await WaitForRevision(session, inventory.value().hosts, revision, deadline);
  if (lagging.empty()) co_return ExitCode::kDone;
  session.ReportError(NotInForceError(revision, lagging));
  co_return ExitCode::kNotInForce;
}

}  // namespace

Awaitable<ExitCode> ExecuteChange(OperatorSession& session, PlannedChange planned) {
  const OperatorOptions& options = session.options();
  const TimePoint deadline = SteadyNow() + options.timeout;
  Result<VersionedConfig> config = co_await session.ReadPlatformConfig();
  if (!config) co_return session.ReportError(config.error());
  const ConfigDocument& current = config.value().document;
  const Result<std::string> edited = planned.edit(current.inventory_ini);
  if (!edited) co_return session.ReportError(edited.error());

  int64_t revision = current.revision;
  const bool changed = revision == 0 || edited.value() != current.inventory_ini;
  if (changed) {
    SubmitOptions submit;
    submit.timeout = options.timeout;
    ConfigChange change = MakeChange(options, planned, revision, edited.value());
    const Result<int64_t> accepted = co_await SubmitChange(
        session.objects(), current, config.value().version, std::move(change), submit);
    if (!accepted) co_return session.ReportError(accepted.error());
    revision = accepted.value();
  }
  PrintRevision(session, revision, changed);
  if (!options.wait) co_return ExitCode::kDone;
  co_return co_await WaitUntilInForce(session, edited.value(), revision, deadline);
}

std::optional<NamedScope> ParseNamedScope(const Operands& operands) {
  if (operands.size() != 2) return std::nullopt;
  if (operands[0] == "dc") return NamedScope{ServiceScope::kDataCentre, operands[1]};
  if (operands[0] == "host") return NamedScope{ServiceScope::kHost, operands[1]};
  return std::nullopt;
}

ExitCode RunServiceChange(const Operands& operands, bool in_service) {
  const std::optional<NamedScope> named_scope = ParseNamedScope(operands);
  if (!named_scope) return ExitCode::kUsage;
  PlannedChange change;
  change.what =
      absl::StrCat(in_service ? "restore " : "drain ", operands[0], " ", named_scope->name);
  change.edit = [named_scope, in_service](const std::string& inventory_ini) {
    return SetInService(inventory_ini, named_scope->scope, named_scope->name, in_service);
  };
  return RunInSession([&](OperatorSession& session) { return ExecuteChange(session, change); });
}

}  // namespace fuchsiaweir
