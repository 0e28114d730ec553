#ifndef FUCHSIAWEIR_CORE_INI_DOCUMENT_H_
#define FUCHSIAWEIR_CORE_INI_DOCUMENT_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/findings.h"

namespace fuchsiaweir {

/// An entry `key = value`.
struct IniEntry {
  std::string key;
  std::string value;
  int line = 0;
};

/// A section `[kind name]` or `[kind]` with its entries in file order.
struct IniSection {
  std::string kind;
  std::string name;
  int line = 0;  ///< Line of the section's first entry.
  std::vector<IniEntry> entries;
};

/// A parsed INI file.
struct IniDocument {
  std::string file;
  std::vector<IniSection> sections;
};

/// Parses INI text. Syntax errors, duplicate sections and duplicate keys are reported as findings
/// for `file`.
IniDocument ParseIni(std::string_view text, const std::string& file, Findings& findings);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_INI_DOCUMENT_H_
