#include "net/command_check.h"

#include <absl/flags/flag.h>

#include <iostream>
#include <optional>
#include <string>
#include <utility>

#include "core/file_text.h"
#include "core/findings.h"
#include "core/ini_document.h"
#include "core/inventory.h"
#include "core/settings.h"
#include "gateway/gateway_settings.h"

ABSL_FLAG(std::string, as, "inventory",
          "type of the file: inventory, entry, agent, gateway or sidecar");

namespace fuchsiaweir {
namespace {

struct FileType {
  const char* name;
  void (*check)(const IniDocument& document, Findings& findings);
};

constexpr FileType kFileTypes[] = {
    {"inventory",
     [](const IniDocument& document, Findings& findings) { ParseInventory(document, findings); }},
    {"entry",
     [](const IniDocument& document, Findings& findings) { ParseSettings(document, findings); }},
    {"agent",
     [](const IniDocument& document, Findings& findings) { ParseSettings(document, findings); }},
    {"gateway",
     [](const IniDocument& document, Findings& findings) {
       ParseGatewaySettings(document, PlatformRole::kGateway, findings, findings);
     }},
    {"sidecar",
     [](const IniDocument& document, Findings& findings) {
       ParseGatewaySettings(document, PlatformRole::kSidecar, findings, findings);
     }},
};

const FileType* FindFileType(const std::string& name) {
  for (const FileType& type : kFileTypes) {
    if (name == type.name) return &type;
  }
  return nullptr;
}

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
  const FileType* type = FindFileType(absl::GetFlag(FLAGS_as));
  if (operands.size() != 1 || type == nullptr) return ExitCode::kUsage;
  Findings findings;
  if (const std::optional<std::string> text = ReadFileText(operands[0], findings)) {
    type->check(ParseIni(*text, operands[0], findings), findings);
  }
  if (JsonOutput()) {
    std::cout << boost::json::serialize(FindingsToJson(findings)) << "\n";
  } else {
    std::cout << findings.ToString();
  }
  return findings.empty() ? ExitCode::kDone : ExitCode::kFindings;
}

}  // namespace fuchsiaweir
