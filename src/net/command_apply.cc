#include "net/command_apply.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <iostream>
#include <optional>
#include <string>
#include <utility>

#include "core/file_text.h"
#include "core/findings.h"
#include "core/ini_document.h"
#include "core/inventory.h"
#include "net/command_show.h"
#include "net/operator_change.h"

namespace fuchsiaweir {
namespace {

/// Removes the revision line that `show` writes and returns its revision. Returns nothing and
/// leaves the text unchanged if it does not begin with one.
std::optional<int64_t> StripRevisionLine(std::string& text) {
  const size_t newline = text.find('\n');
  if (newline == std::string::npos || !absl::StartsWith(text, kRevisionLine)) return std::nullopt;
  const size_t begin = std::string(kRevisionLine).size();
  int64_t revision = 0;
  if (!absl::SimpleAtoi(text.substr(begin, newline - begin), &revision)) return std::nullopt;
  text.erase(0, newline + 1);
  return revision;
}

}  // namespace

ExitCode RunApply(const Operands& operands) {
  if (operands.size() != 1) return ExitCode::kUsage;
  Findings findings;
  std::optional<std::string> text = ReadFileText(operands[0], findings);
  if (text) ParseInventory(ParseIni(*text, operands[0], findings), findings);
  if (!findings.empty()) {
    std::cerr << findings.ToString();
    return ExitCode::kFindings;
  }
  const std::optional<int64_t> shown_revision = StripRevisionLine(*text);
  PlannedChange change;
  change.what = absl::StrCat("apply ", operands[0]);
  change.edit = [&text](const std::string&) { return Result<std::string>(*text); };
  return RunInSession([&](OperatorSession& session) {
    change.base_revision = session.options().base_revision;
    if (change.base_revision < 0) change.base_revision = shown_revision.value_or(-1);
    return ExecuteChange(session, change);
  });
}

}  // namespace fuchsiaweir
