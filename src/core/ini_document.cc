#include "core/ini_document.h"

#include <absl/strings/str_cat.h>
#include <ini.h>

#include <algorithm>
#include <cstring>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace fuchsiaweir {
namespace {

constexpr char kWhitespace[] = " \t\r\n\v\f";

/// State of one parse. The packaged build of inih passes no line numbers to its handler, so the
/// line reader counts lines itself.
struct ParseState {
  std::string_view rest;
  int line = 0;
  std::optional<std::string> long_value;  ///< Value of the current line if too long for inih.
  IniDocument* document = nullptr;
  Findings* findings = nullptr;
  /// Index in the document by kind and name. With a linear search, parsing an inventory of 1,300
  /// sections took 27 ms.
  std::map<std::string, size_t> sections = {};
};

std::string_view NextLine(ParseState& state) {
  const size_t newline = state.rest.find('\n');
  const std::string_view line = state.rest.substr(0, newline);
  state.rest.remove_prefix(newline == std::string_view::npos ? line.size() : newline + 1);
  ++state.line;
  return line;
}

/// Returns the line without its inline comment, which starts with a semicolon after whitespace.
std::string_view WithoutComment(std::string_view line) {
  for (size_t i = 1; i < line.size(); ++i) {
    const bool after_whitespace = std::strchr(kWhitespace, line[i - 1]) != nullptr;
    if (line[i] == ';' && after_whitespace) return line.substr(0, i);
  }
  return line;
}

std::string_view Trim(std::string_view text) {
  const size_t begin = text.find_first_not_of(kWhitespace);
  if (begin == std::string_view::npos) return "";
  return text.substr(begin, text.find_last_not_of(kWhitespace) - begin + 1);
}

// Returns a replacement for a line that does not fit into inih's buffer of 200 bytes, which is
// fixed in the packaged library: inih would parse the rest as a separate line. The value of an
// entry is replaced by a placeholder, and `HandleEntry` restores it. Other lines, such as comments,
// are truncated.
std::string ShortenLine(std::string_view line, size_t capacity, ParseState& state) {
  const size_t first = std::min(line.find_first_not_of(kWhitespace), line.size() - 1);
  const bool is_entry = std::strchr(";#[", line[first]) == nullptr;
  const std::string_view text = WithoutComment(line);
  const size_t separator = text.find_first_of("=:");
  if (!is_entry || separator >= capacity - 2) return std::string(line.substr(0, capacity));
  state.long_value = std::string(Trim(text.substr(separator + 1)));
  return std::string(text.substr(0, separator + 1)) + "x";
}

char* ReadLine(char* buffer, int size, void* stream) {
  auto& state = *static_cast<ParseState*>(stream);
  if (state.rest.empty()) return nullptr;
  const auto capacity = static_cast<size_t>(size) - 1;
  std::string line(NextLine(state));
  state.long_value.reset();
  if (line.size() > capacity) line = ShortenLine(line, capacity, state);
  std::memcpy(buffer, line.c_str(), line.size() + 1);
  return buffer;
}

std::pair<std::string, std::string> SplitSectionName(std::string_view section) {
  const size_t space = section.find(' ');
  if (space == std::string_view::npos) return {std::string(section), ""};
  const size_t name = section.find_first_not_of(' ', space);
  return {std::string(section.substr(0, space)), std::string(section.substr(name))};
}

int HandleEntry(void* user, const char* section_name, const char* key, const char* value) {
  auto& state = *static_cast<ParseState*>(user);
  const auto [kind, name] = SplitSectionName(section_name);
  IniDocument& document = *state.document;
  const auto [found, added] =
      state.sections.try_emplace(absl::StrCat(kind, " ", name), document.sections.size());
  if (added) document.sections.push_back({kind, name, state.line, {}});
  IniSection* section = &document.sections[found->second];
  if (section != &document.sections.back()) {
    state.findings->Add(document.file, state.line,
                        absl::StrCat("section [", section_name, "] appears twice"));
  }
  for (const IniEntry& entry : section->entries) {
    if (entry.key == key) {
      state.findings->Add(document.file, state.line,
                          absl::StrCat("key \"", key, "\" appears twice in [", section_name, "]"));
    }
  }
  section->entries.push_back({key, state.long_value.value_or(value), state.line});
  return 1;
}

}  // namespace

IniDocument ParseIni(std::string_view text, const std::string& file, Findings& findings) {
  IniDocument document;
  document.file = file;
  if (text.find('\0') != std::string_view::npos) {
    findings.Add(file, 0, "file contains a NUL byte");
    return document;
  }
  ParseState state{text, 0, std::nullopt, &document, &findings};
  const int error_line = ini_parse_stream(&ReadLine, &state, &HandleEntry, &state);
  if (error_line > 0) {
    findings.Add(file, error_line, "expected \"[section]\" or \"key = value\"");
  } else if (error_line < 0) {
    findings.Add(file, 0, "file cannot be read");
  }
  return document;
}

}  // namespace fuchsiaweir
