#ifndef FUCHSIAWEIR_CORE_INI_BINDER_H_
#define FUCHSIAWEIR_CORE_INI_BINDER_H_

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <cstdint>
#include <limits>
#include <string>
#include <variant>
#include <vector>

#include "core/findings.h"
#include "core/ini_document.h"

namespace fuchsiaweir {

/// Whether a key may be absent from its section.
enum class Presence { kRequired, kOptional };

/// One row of a section's key table: the key, the member that it sets and, for numbers, the allowed
/// range. Lists are comma-separated.
template <typename Record>
struct IniKey {
  const char* key;
  std::variant<std::string Record::*, int64_t Record::*, bool Record::*, double Record::*,
               std::vector<std::string> Record::*>
      member;
  Presence presence = Presence::kOptional;
  int64_t minimum = 0;
  int64_t maximum = std::numeric_limits<int64_t>::max();
};

namespace ini_internal {

template <typename Record>
struct Assign {
  Record& record;
  const IniKey<Record>& key;
  const IniEntry& entry;

  /// Each overload assigns the value to the member. If the value is invalid, it returns a
  /// description of the allowed values, otherwise an empty string.
  std::string operator()(std::string Record::*member) const {
    record.*member = entry.value;
    return entry.value.empty() ? "a non-empty text" : "";
  }
  std::string operator()(int64_t Record::*member) const {
    const bool parsed = absl::SimpleAtoi(entry.value, &(record.*member));
    if (parsed && record.*member >= key.minimum && record.*member <= key.maximum) return "";
    if (key.maximum == std::numeric_limits<int64_t>::max()) {
      return absl::StrCat("an integer of at least ", key.minimum);
    }
    return absl::StrCat("an integer from ", key.minimum, " to ", key.maximum);
  }
  std::string operator()(bool Record::*member) const {
    record.*member = entry.value == "yes";
    return entry.value == "yes" || entry.value == "no" ? "" : "yes or no";
  }
  std::string operator()(double Record::*member) const {
    const bool parsed = absl::SimpleAtod(entry.value, &(record.*member));
    const bool allowed = parsed && record.*member >= static_cast<double>(key.minimum) &&
                         record.*member <= static_cast<double>(key.maximum);
    return allowed ? "" : absl::StrCat("a number of at least ", key.minimum);
  }
  std::string operator()(std::vector<std::string> Record::*member) const {
    record.*member = absl::StrSplit(entry.value, absl::ByAnyChar(", "), absl::SkipEmpty());
    return (record.*member).empty() ? "a list separated by commas" : "";
  }
};

}  // namespace ini_internal

/// Fills a record from a section according to the key table. Unknown keys, missing required keys
/// and invalid values are reported as findings.
template <typename Record, typename Table>
Record BindSection(const std::string& file, const IniSection& section, const Table& table,
                   Findings& findings) {
  Record record;
  for (const IniEntry& entry : section.entries) {
    bool known = false;
    for (const IniKey<Record>& key : table) {
      if (key.key != entry.key) continue;
      known = true;
      const std::string allowed =
          std::visit(ini_internal::Assign<Record>{record, key, entry}, key.member);
      if (!allowed.empty()) {
        findings.Add(
            file, entry.line,
            absl::StrCat("\"", entry.key, "\" is \"", entry.value, "\"; allowed is ", allowed));
      }
    }
    if (!known) {
      findings.Add(file, entry.line,
                   absl::StrCat("unknown key \"", entry.key, "\" in [", section.kind, "]"));
    }
  }
  for (const IniKey<Record>& key : table) {
    if (key.presence == Presence::kOptional) continue;
    bool present = false;
    for (const IniEntry& entry : section.entries) present = present || entry.key == key.key;
    if (!present) {
      findings.Add(
          file, section.line,
          absl::StrCat("[", section.kind, " ", section.name, "] lacks the key \"", key.key, "\""));
    }
  }
  return record;
}

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_INI_BINDER_H_
