#include "core/inventory_edit.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <optional>

#include "core/findings.h"
#include "core/ini_document.h"
#include "core/inventory.h"

namespace fuchsiaweir {
namespace {

constexpr char kInServiceKey[] = "in_service";

struct ParsedText {
  IniDocument document;
  std::optional<Inventory> inventory;
  Findings findings;
};

ParsedText Parse(const std::string& text) {
  ParsedText parsed;
  parsed.document = ParseIni(text, "inventory", parsed.findings);
  parsed.inventory = ParseInventory(parsed.document, parsed.findings);
  if (!parsed.findings.empty()) parsed.inventory.reset();
  return parsed;
}

std::optional<bool> FindInService(const Inventory& inventory, ServiceScope scope,
                                  const std::string& name) {
  if (scope == ServiceScope::kHost) {
    const Host* host = FindByName(inventory.hosts, name);
    return host == nullptr ? std::nullopt : std::optional(host->in_service);
  }
  const DataCentre* data_centre = FindByName(inventory.data_centres, name);
  return data_centre == nullptr ? std::nullopt : std::optional(data_centre->in_service);
}

const IniSection* FindSection(const IniDocument& document, ServiceScope scope,
                              const std::string& name) {
  const std::string kind = scope == ServiceScope::kHost ? "host" : "data_centre";
  for (const IniSection& section : document.sections) {
    if (section.kind == kind && section.name == name) return &section;
  }
  return nullptr;
}

/// Returns the offset of the line with this number, counted from 1.
size_t LineOffset(const std::string& text, int line) {
  size_t begin = 0;
  for (int i = 1; i < line; ++i) begin = text.find('\n', begin) + 1;
  return begin;
}

// Replaces the value in an entry's line. An inline comment, which starts with whitespace and a
// semicolon, is preserved.
void ReplaceValue(std::string& text, const IniEntry& entry, const std::string& value) {
  const size_t separator = text.find_first_of("=:", LineOffset(text, entry.line));
  const size_t begin = text.find(entry.value, separator + 1);
  text.replace(begin, entry.value.size(), value);
}

// Adds a line after an entry, with the line ending of the text. If the line were added before the
// entry, an indented entry would become a continuation of the added value.
void AddLineAfter(std::string& text, const IniEntry& entry, const std::string& value) {
  const std::string line = absl::StrCat(kInServiceKey, " = ", value);
  const std::string ending = text.find("\r\n") == std::string::npos ? "\n" : "\r\n";
  const size_t newline = text.find('\n', LineOffset(text, entry.line));
  if (newline == std::string::npos) {
    text += ending + line;
  } else {
    text.insert(newline + 1, line + ending);
  }
}

}  // namespace

Result<std::string> SetInService(const std::string& inventory_ini, ServiceScope scope,
                                 const std::string& name, bool in_service) {
  const ParsedText before = Parse(inventory_ini);
  if (!before.inventory) {
    return Error{ErrorCode::kBadRequest, RunState::kNotRun, before.findings.ToString()};
  }
  const std::optional<bool> current = FindInService(*before.inventory, scope, name);
  if (!current) {
    return Error{ErrorCode::kNotFound, RunState::kNotRun,
                 absl::StrCat("the inventory does not name \"", name, "\"")};
  }
  if (*current == in_service) return inventory_ini;

  const std::string value = in_service ? "yes" : "no";
  const IniSection& section = *FindSection(before.document, scope, name);
  const auto entry = std::find_if(section.entries.begin(), section.entries.end(),
                                  [](const IniEntry& item) { return item.key == kInServiceKey; });
  std::string text = inventory_ini;
  if (entry != section.entries.end()) {
    ReplaceValue(text, *entry, value);
  } else {
    AddLineAfter(text, section.entries.back(), value);
  }
  const ParsedText after = Parse(text);
  if (!after.inventory || FindInService(*after.inventory, scope, name) != in_service) {
    return Error{ErrorCode::kInternal, RunState::kNotRun,
                 absl::StrCat("the edit of \"", name, "\" did not set in_service to ", value)};
  }
  return text;
}

}  // namespace fuchsiaweir
