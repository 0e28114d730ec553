#include "net/command_check.h"

#include <iostream>
#include <optional>
#include <string>
#include <utility>

#include "core/file_text.h"
#include "core/findings.h"
#include "core/ini_document.h"
#include "core/inventory.h"

namespace fuchsiaweir {
namespace {

boost::json::object FindingsToJson(const Findings& findings) {
  boost::json::array items;
  for (const Finding& finding : findings.items()) {
    items.push_back(boost::json::object{
        {"file", finding.file}, {"line", finding.line}, {"message", finding.message}});
  }
  return {{"findings", std::move(items)}};
}

}  // namespace

ExitCode RunCheck(const Operands& operands) {
  if (operands.size() != 1) return ExitCode::kUsage;
  Findings findings;
  if (const std::optional<std::string> text = ReadFileText(operands[0], findings)) {
    ParseInventory(ParseIni(*text, operands[0], findings), findings);
  }
  if (JsonOutput()) {
    std::cout << boost::json::serialize(FindingsToJson(findings)) << "\n";
  } else {
    std::cout << findings.ToString();
  }
  return findings.empty() ? ExitCode::kDone : ExitCode::kFindings;
}

}  // namespace fuchsiaweir
