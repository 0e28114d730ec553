#include <CppUTest/TestHarness.h>

#include "core/inventory.h"
#include "property.h"

namespace fuchsiaweir {
namespace {

constexpr char kFaulty[] =
    "[data_centre yanagawa]\n"
    "region = kyushu\n"
    "\n"
    "[host h1]\n"
    "data_centre = yanagawa\n"
    "address = 127.0.0.1\n"
    "port = 70000\n"
    "role = agent\n"
    "[runner r1]\n"
    "host = h2\n"
    "model = m\n"
    "address = 127.0.0.1\n"
    "port = 9000\n"
    "colour = red\n";

}  // namespace

TEST_GROUP(InventoryFindings){};

// Guards against a report that ends with the first problem or has a wrong line number.
TEST(InventoryFindings, ReportsAllProblemsWithTheirLines) {
  Findings findings;
  const IniDocument document = ParseIni(kFaulty, "site.ini", findings);
  CHECK_FALSE(ParseInventory(document, findings).has_value());
  STRCMP_EQUAL(
      "site.ini:7: \"port\" is \"70000\"; allowed is an integer from 1 to 65535\n"
      "site.ini:10: [runner r1] names the unknown host \"h2\"\n"
      "site.ini:10: [runner r1] names the unknown model \"m\"\n"
      "site.ini:14: unknown key \"colour\" in [runner]\n",
      findings.ToString().c_str());
}

// Guards against a parser that crashes or that accepts a file after it reported problems.
TEST(InventoryFindings, ArbitraryTextIsParsedOrReported) {
  CheckProperty("arbitrary text gives an inventory or findings", [](const std::string& text) {
    Findings findings;
    const IniDocument document = ParseIni(text, "site.ini", findings);
    const bool clean_syntax = findings.empty();
    const bool parsed = ParseInventory(document, findings).has_value();
    RC_ASSERT(!clean_syntax || parsed == findings.empty());
  });
}

}  // namespace fuchsiaweir
