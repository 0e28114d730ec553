#include "core/inventory_edit.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

#include "core/inventory.h"
#include "property.h"

namespace fuchsiaweir {
namespace {

constexpr int kDataCentres = 3;  // With one host each.

/// Data centres and hosts have the same names, so that an edit of the wrong section is detected.
std::string ArbitraryInventory(const std::string& eol) {
  const auto filler = [&] {
    return *rc::gen::element<std::string>("", eol, "; in_service = no" + eol, "# [host p1]" + eol,
                                          "  ; indented" + eol);
  };
  const auto flag = [&] {
    return *rc::gen::element<std::string>("", "in_service = yes" + eol, "in_service=no" + eol,
                                          "in_service : yes ; no comment" + eol,
                                          "in_service\t=   no\t; in_service = no" + eol);
  };
  std::string text = filler();
  for (int i = 0; i < kDataCentres; ++i) {
    const std::string name = "p" + std::to_string(i);
    text += "[data_centre " + name + "]" + eol + filler() + flag();
    text += "region = r ; = in_service" + eol + filler();
    text += "[host " + name + "]" + eol + "  data_centre = " + name + eol + filler();
    text += "address = 127.0.0.1" + eol + "port = " + std::to_string(9000 + i) + eol;
    text += "role = agent" + eol + filler() + flag();
  }
  if (*rc::gen::arbitrary<bool>()) text.resize(text.find_last_not_of("\r\n") + 1);
  return text;
}

std::vector<bool> Flags(const std::string& text) {
  Findings findings;
  const auto inventory = ParseInventory(ParseIni(text, "inventory", findings), findings);
  RC_ASSERT(findings.ToString() == "");
  std::vector<bool> flags;
  for (const DataCentre& dc : inventory->data_centres) flags.push_back(dc.in_service);
  for (const Host& host : inventory->hosts) flags.push_back(host.in_service);
  return flags;
}

std::vector<std::string> Lines(const std::string& text) {
  std::vector<std::string> lines{""};
  for (const char c : text) {
    lines.back() += c;
    if (c == '\n') lines.emplace_back();
  }
  return lines;
}

/// Returns whether `after` is `before` with at most one line added or changed.
bool DiffersByOneLine(const std::vector<std::string>& before,
                      const std::vector<std::string>& after) {
  const auto front = std::mismatch(before.begin(), before.end(), after.begin(), after.end());
  const auto back = std::mismatch(before.rbegin(), before.rend(), after.rbegin(), after.rend());
  const auto same = (front.first - before.begin()) + (back.first - before.rbegin());
  return after.size() <= before.size() + 1 && same + 1 >= static_cast<ptrdiff_t>(before.size());
}

bool MixesLineEndings(const std::string& text) {
  const auto returns = std::count(text.begin(), text.end(), '\r');
  return returns != 0 && returns != std::count(text.begin(), text.end(), '\n');
}

}  // namespace

TEST_GROUP(InventoryEdit){};

// Guards against an edit that changes another data centre or host, loses a comment or line of the
// operator's file, or cannot be reverted.
TEST(InventoryEdit, ChangesOneFlagAndKeepsAllOtherLines) {
  CheckProperty("one flag and one line change", [] {
    const std::string eol = *rc::gen::element<std::string>("\n", "\r\n");
    const std::string text = ArbitraryInventory(eol);
    const int number = *rc::gen::inRange(0, kDataCentres);
    const bool whole_data_centre = *rc::gen::arbitrary<bool>();
    const bool in_service = *rc::gen::arbitrary<bool>();
    const ServiceScope scope = whole_data_centre ? ServiceScope::kDataCentre : ServiceScope::kHost;
    const std::string name = "p" + std::to_string(number);
    const size_t index = number + (whole_data_centre ? 0 : kDataCentres);

    const Result<std::string> edited = SetInService(text, scope, name, in_service);
    RC_ASSERT(edited.has_value());
    std::vector<bool> expected = Flags(text);
    if (expected[index] == in_service) RC_ASSERT(edited.value() == text);
    expected[index] = in_service;
    RC_ASSERT(Flags(edited.value()) == expected);
    // A last line that gains its missing newline counts as unchanged.
    const std::string padding = text.back() == '\n' ? "" : eol;
    RC_ASSERT(DiffersByOneLine(Lines(text + padding), Lines(edited.value() + padding)));
    RC_ASSERT(MixesLineEndings(edited.value()) == MixesLineEndings(text));
    RC_ASSERT(std::count(edited.value().begin(), edited.value().end(), ';') ==
              std::count(text.begin(), text.end(), ';'));

    const Result<std::string> again = SetInService(edited.value(), scope, name, !in_service);
    RC_ASSERT(again.has_value());
    const Result<std::string> back = SetInService(again.value(), scope, name, in_service);
    RC_ASSERT(back.has_value());
    RC_ASSERT(Flags(back.value()) == expected);
  });
}

// Guards against an edit that moves comments or changes formatting in a typical file.
TEST(InventoryEdit, DrainsADataCentre) {
  const std::string text =
      "; site file\n[data_centre dazaifu]\nregion = kyushu\nin_service = yes ; since May\n\n"
      "; second\n[data_centre yufuin]\nregion = kyushu\n\n; end\n";
  const auto drained = [&](const std::string& name) {
    const auto edited = SetInService(text, ServiceScope::kDataCentre, name, false);
    return edited.has_error() ? edited.error().message : edited.value();
  };
  STRCMP_EQUAL(
      "; site file\n[data_centre dazaifu]\nregion = kyushu\nin_service = no ; since May\n\n"
      "; second\n[data_centre yufuin]\nregion = kyushu\n\n; end\n",
      drained("dazaifu").c_str());
  STRCMP_EQUAL(
      "; site file\n[data_centre dazaifu]\nregion = kyushu\nin_service = yes ; since May\n\n"
      "; second\n[data_centre yufuin]\nregion = kyushu\nin_service = no\n\n; end\n",
      drained("yufuin").c_str());
}

// Guards against an edit of an invalid file, and against a misspelt name that is ignored silently.
TEST(InventoryEdit, UnknownNamesAndInvalidFilesAreRefused) {
  const auto refusal = [](const std::string& text, ServiceScope scope) {
    const Result<std::string> edited = SetInService(text, scope, "dazaifu", false);
    return std::string(edited.has_error() ? Name(edited.error().code) : "edited");
  };
  const std::string valid = "[data_centre dazaifu]\nregion = kyushu\n";
  STRCMP_EQUAL("edited", refusal(valid, ServiceScope::kDataCentre).c_str());
  STRCMP_EQUAL("not_found", refusal(valid, ServiceScope::kHost).c_str());
  STRCMP_EQUAL("bad_request", refusal(valid + "colour = red\n", ServiceScope::kDataCentre).c_str());
}

}  // namespace fuchsiaweir
