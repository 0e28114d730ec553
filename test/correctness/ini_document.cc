#include "core/ini_document.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "property.h"

namespace fuchsiaweir {
namespace {

constexpr char kWhitespace[] = " \t";

/// Returns the expected result for a value: without inline comment and surrounding whitespace.
std::string ExpectedValue(std::string value) {
  for (size_t i = 1; i < value.size(); ++i) {
    if (value[i] == ';' && (value[i - 1] == ' ' || value[i - 1] == '\t')) value.resize(i);
  }
  const size_t begin = value.find_first_not_of(kWhitespace);
  if (begin == std::string::npos) return "";
  return value.substr(begin, value.find_last_not_of(kWhitespace) - begin + 1);
}

std::string ArbitraryText(int max_length) {
  const auto length = *rc::gen::inRange(0, max_length);
  return *rc::gen::container<std::string>(length,
                                          rc::gen::elementOf(std::string("abcdefgh,  \t;#=:[]")));
}

}  // namespace

TEST_GROUP(IniDocument){};

// Guards against long lines of which inih parses the rest as a separate line, so that a value is
// truncated or a part of a value or comment becomes an entry. Values of up to about 190 bytes are
// parsed by inih alone and verify the expected results.
TEST(IniDocument, ParsesLinesOfAnyLength) {
  CheckProperty("a line is parsed the same way at every length", [] {
    const std::string eol = *rc::gen::element<std::string>("\n", "\r\n");
    const std::string value = " " + ArbitraryText(*rc::gen::element(190, 2000));
    const std::string comment = *rc::gen::element<std::string>("; ", "# ") + ArbitraryText(600);
    Findings findings;
    const IniDocument document =
        ParseIni("[kind name]" + eol + "key =" + value + eol + comment + eol + "next = 1" + eol,
                 "file", findings);
    RC_ASSERT(findings.ToString() == "");
    RC_ASSERT(document.sections.size() == 1);
    const std::vector<IniEntry>& entries = document.sections[0].entries;
    RC_ASSERT(entries.size() == 2);
    RC_ASSERT(entries[0].key == "key");
    RC_ASSERT(entries[0].value == ExpectedValue(value));
    RC_ASSERT(entries[0].line == 2);
    RC_ASSERT(entries[1].key == "next");
    RC_ASSERT(entries[1].line == 4);
  });
}

// Guards against a long line that is neither a section nor an entry and is accepted silently.
TEST(IniDocument, ReportsLongLinesWithoutKey) {
  for (const std::string& line : {"[" + std::string(400, 'x') + "]", std::string(400, 'x')}) {
    Findings findings;
    ParseIni("[kind]\n" + line + "\nkey = 1\n", "file", findings);
    LONGS_EQUAL(1, findings.items().size());
    LONGS_EQUAL(2, findings.items()[0].line);
  }
}

}  // namespace fuchsiaweir
