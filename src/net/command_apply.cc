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

/// Removes the first line when `show` wrote it and returns the revision that it names.
std::optional<int64_t> TakeRevisionLine(std::string& text) {
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
  const std::optional<int64_t> base = TakeRevisionLine(*text);
  PlannedChange change;
  change.what = absl::StrCat("apply ", operands[0]);
  change.edit = [&text](const std::string&) { return Result<std::string>(*text); };
  return RunOperator([&](OperatorSession& session) {
    change.base = session.options().base;
    if (change.base < 0) change.base = base.value_or(-1);
    return CarryOut(session, change);
  });
}

}  // namespace fuchsiaweir
