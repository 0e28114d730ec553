#include "core/config_adoption.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "core/findings.h"
#include "core/ini_document.h"

namespace fuchsiaweir {
namespace {

bool HasEnoughAnswers(const StartAnswers& answers) {
  const bool platform_done = answers.platform.has_value() || answers.platform_failed;
  const size_t failed = std::min(answers.peers_failed, answers.peers_queried);
  const size_t awaited = std::min(kStartPeerAnswers, answers.peers_queried - failed);
  return platform_done && answers.peers.size() >= awaited;
}

}  // namespace

Adoption ConfigAdoption::Offer(const ConfigDocument& document) {
  if (!IsNewer(document.revision)) return Adoption::kNotNewer;
  Findings findings;
  const IniDocument ini =
      ParseIni(document.inventory_ini, absl::StrCat("revision ", document.revision), findings);
  std::optional<Inventory> inventory = ParseInventory(ini, findings);
  if (!findings.empty() || !inventory) {
    rejection_ = findings.ToString();
    return Adoption::kInvalid;
  }
  active_ =
      std::make_shared<const ActiveConfig>(ActiveConfig{document, std::move(inventory).value()});
  return Adoption::kAdopted;
}

const ConfigDocument* ChooseStartDocument(const StartAnswers& answers) {
  if (!answers.deadline_passed && !HasEnoughAnswers(answers)) return nullptr;
  const ConfigDocument* newest = answers.platform ? &*answers.platform : nullptr;
  for (const ConfigDocument& document : answers.peers) {
    if (newest == nullptr || document.revision > newest->revision) newest = &document;
  }
  return newest;
}

}  // namespace fuchsiaweir
