#ifndef FUCHSIAWEIR_CORE_INI_BINDER_H_
#define FUCHSIAWEIR_CORE_INI_BINDER_H_

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <cmath>
#include <cstdint>
#include <limits>
#include <optional>
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

/// Parses an integer, also one that is written with a fraction of zero.
inline std::optional<int64_t> ParseWhole(const std::string& text) {
  constexpr double kMaxExact = 9'007'199'254'740'992.0;  // 2^53
  int64_t number = 0;
  if (absl::SimpleAtoi(text, &number)) return number;
  double fraction = 0;
  if (!absl::SimpleAtod(text, &fraction) || !(std::abs(fraction) <= kMaxExact)) return std::nullopt;
  if (std::trunc(fraction) != fraction) return std::nullopt;
  return static_cast<int64_t>(fraction);
}

template <typename Record>
struct Assign {
  Record& record;
  const IniKey<Record>& key;
  const IniEntry& entry;

  /// Each overload assigns the value to the member. If the value is invalid, it leaves the member
  /// as it is and returns a description of the allowed values, otherwise an empty string.
  std::string operator()(std::string Record::*member) const {
    if (entry.value.empty()) return "a non-empty text";
    record.*member = entry.value;
    return "";
  }
  std::string operator()(int64_t Record::*member) const {
    const std::optional<int64_t> number = ParseWhole(entry.value);
    if (number && *number >= key.minimum && *number <= key.maximum) {
      record.*member = *number;
      return "";
    }
    if (key.maximum == std::numeric_limits<int64_t>::max()) {
      return absl::StrCat("an integer of at least ", key.minimum);
    }
    return absl::StrCat("an integer from ", key.minimum, " to ", key.maximum);
  }
  std::string operator()(bool Record::*member) const {
    if (entry.value != "yes" && entry.value != "no") return "yes or no";
    record.*member = entry.value == "yes";
    return "";
  }
  std::string operator()(double Record::*member) const {
    double number = 0;
    const bool parsed = absl::SimpleAtod(entry.value, &number);
    if (!parsed || !(number >= static_cast<double>(key.minimum)) ||
        !(number <= static_cast<double>(key.maximum))) {
      return absl::StrCat("a number of at least ", key.minimum);
    }
    record.*member = number;
    return "";
  }
  std::string operator()(std::vector<std::string> Record::*member) const {
    const std::vector<std::string> items =
        absl::StrSplit(entry.value, absl::ByAnyChar(", "), absl::SkipEmpty());
    if (items.empty()) return "a list separated by commas";
    record.*member = items;
    return "";
  }
};

}  // namespace ini_internal

/// Fills a record from a section according to the key table. Unknown keys, missing required keys
/// and invalid values are reported as findings. Those that leave a default in force, of optional
/// and unknown keys, are added to `ignorable`, the others to `findings`; both may be one object.
template <typename Record, typename Table>
Record BindSection(const std::string& file, const IniSection& section, const Table& table,
                   Findings& findings, Findings& ignorable) {
  Record record;
  for (const IniEntry& entry : section.entries) {
    bool known = false;
    for (const IniKey<Record>& key : table) {
      if (key.key != entry.key) continue;
      known = true;
      const std::string allowed =
          std::visit(ini_internal::Assign<Record>{record, key, entry}, key.member);
      if (!allowed.empty()) {
        Findings& target = key.presence == Presence::kRequired ? findings : ignorable;
        target.Add(
            file, entry.line,
            absl::StrCat("\"", entry.key, "\" is \"", entry.value, "\"; allowed is ", allowed));
      }
    }
    if (!known) {
      ignorable.Add(file, entry.line,
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

/// Fills a record and reports all problems in `findings`.
template <typename Record, typename Table>
Record BindSection(const std::string& file, const IniSection& section, const Table& table,
                   Findings& findings) {
  return BindSection<Record>(file, section, table, findings, findings);
}

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_INI_BINDER_H_
