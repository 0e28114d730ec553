#include "capacity/page.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <boost/json.hpp>
#include <cmath>
#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>

#include "capacity/formula.h"
#include "core/ini_document.h"

namespace fuchsiaweir::capacity {
namespace {

namespace json = boost::json;

std::string ReadFile(const std::string& name) {
  std::ifstream file(name);
  if (!file) throw std::runtime_error("cannot read " + name);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string Value(const IniSection& section, const std::string& key) {
  for (const IniEntry& entry : section.entries) {
    if (entry.key == key) return entry.value;
  }
  return "";
}

/// Three significant digits; whole numbers from 1,000 on have separators.
std::string Format(double value) {
  if (std::abs(value) < 1000) return absl::StrFormat("%.3g", value);
  const double scale = std::pow(10.0, std::floor(std::log10(std::abs(value))) - 2);
  std::string digits = absl::StrFormat("%.0f", std::round(value / scale) * scale);
  for (auto at = static_cast<int64_t>(digits.size()) - 3; at > (value < 0 ? 1 : 0); at -= 3) {
    digits.insert(static_cast<size_t>(at), ",");
  }
  return digits;
}

/// The inputs and formulas together with the slopes that they refer to.
class Model {
 public:
  explicit Model(const PageFiles& files) : slopes_(json::parse(ReadFile(files.slopes))) {
    Findings findings;
    document_ = ParseIni(ReadFile(files.model), files.model, findings);
    if (!findings.empty()) throw std::runtime_error(findings.ToString());
  }

  std::string Table(const std::string& name) const {
    if (name == "inputs") return Inputs();
    if (name == "slopes") return Slopes();
    if (name == "budgets") return Budgets();
    return Figures(name);
  }

 private:
  double Compute(const std::string& formula) const {
    return Evaluate(formula, [this](const std::string& name) { return Lookup(name); });
  }

  double Lookup(const std::string& name) const {
    for (const IniSection& section : document_.sections) {
      if (section.name != name) continue;
      return Compute(Value(section, section.kind == "input" ? "value" : "formula"));
    }
    const size_t dot = name.find('.');
    const json::value* slope = slopes_.as_object().if_contains(name.substr(0, dot));
    if (slope == nullptr || dot == std::string::npos) {
      throw std::runtime_error("unknown name \"" + name + "\" in a formula");
    }
    const std::string part = name.substr(dot + 1);
    if (part == "last") return slope->at("points").as_array().back().at(1).to_number<double>();
    if (slope->at("bends").as_bool()) {
      throw std::runtime_error("the points of \"" + name + "\" bend; use .last or measure again");
    }
    return slope->at(part).to_number<double>();
  }

  std::string Inputs() const {
    std::string text = "| input | value | kind | reading |\n|---|---|---|---|\n";
    for (const IniSection& section : document_.sections) {
      if (section.kind != "input") continue;
      absl::StrAppend(&text, "| `", section.name, "` | ", Format(Compute(Value(section, "value"))),
                      " ", Value(section, "unit"), " | ", Value(section, "kind"), " | ",
                      Value(section, "note"), " |\n");
    }
    return text;
  }

  std::string Slopes() const {
    std::string text =
        "| slope | per | of | slope | intercept | residual | points | run (seed, date) |\n"
        "|---|---|---|---|---|---|---|---|\n";
    for (const auto& [name, slope] : slopes_.as_object()) {
      const json::array& points = slope.at("points").as_array();
      const bool bends = slope.at("bends").as_bool();
      const auto number = [&slope = slope](const char* key) {
        return Format(slope.at(key).to_number<double>());
      };
      absl::StrAppend(
          &text, "| `", std::string(name), "` | ", std::string(slope.at("x").as_string()), " | ",
          std::string(slope.at("y").as_string()), " | ", bends ? "bends" : number("slope"), " | ",
          bends ? "-" : number("intercept"), " | ", number("residual"), " | ");
      absl::StrAppend(&text, Format(points.front().at(0).to_number<double>()), " to ",
                      Format(points.back().at(0).to_number<double>()), " | ");
      const std::string command(slope.at("command").as_string());
      absl::StrAppend(&text, "`", command.substr(command.rfind('=') + 1), "` (",
                      slope.at("seed").to_number<int64_t>(), ", ",
                      std::string(slope.at("date").as_string()), ") |\n");
    }
    return text;
  }

  std::string Figures(const std::string& name) const {
    std::string text = "| figure | value | formula | mechanism |\n|---|---|---|---|\n";
    bool found = false;
    for (const IniSection& section : document_.sections) {
      if (section.kind != "figure" || Value(section, "table") != name) continue;
      found = true;
      const std::string formula = Value(section, "formula");
      absl::StrAppend(&text, "| ", Value(section, "label"), " | ", Format(Compute(formula)), " ",
                      Value(section, "unit"), " | `", section.name, " = ", formula, "` | ",
                      Value(section, "mechanism"), " |\n");
    }
    if (!found) throw std::runtime_error("no figure belongs to table \"" + name + "\"");
    return text;
  }

  std::string Budgets() const {
    std::string text =
        "| budget | figure | limit | margin | what breaks first past it |\n|---|---|---|---|---|\n";
    for (const IniSection& section : document_.sections) {
      const std::string limit = Value(section, "budget");
      if (limit.empty()) continue;
      const std::string unit = Value(section, "unit");
      const double figure = Compute(Value(section, "formula"));
      const double allowed = Compute(limit);
      const std::string margin =
          figure <= allowed ? absl::StrCat("holds, ", Format(allowed / figure), " times")
                            : absl::StrCat("**fails, ", Format(figure / allowed), " times over**");
      absl::StrAppend(&text, "| ", Value(section, "label"), " | ", Format(figure), " ", unit, " | ",
                      Format(allowed), " ", unit, " | ", margin, " | ", Value(section, "breaks"),
                      " |\n");
    }
    return text;
  }

  json::value slopes_;
  IniDocument document_;
};

}  // namespace

int UpdatePage(const PageFiles& files) {
  const Model model(files);
  const std::string old = ReadFile(files.page);
  const std::string begin_mark = "<!-- table ";
  const std::string end_mark = "<!-- end -->";
  std::string page;
  size_t at = 0;
  for (size_t mark = 0; (mark = old.find(begin_mark, at)) != std::string::npos;) {
    const size_t name_at = mark + begin_mark.size();
    const size_t name_end = old.find(" -->\n", name_at);
    const size_t end = old.find(end_mark, name_at);
    if (name_end == std::string::npos || end == std::string::npos) {
      throw std::runtime_error("a table of " + files.page + " has no end");
    }
    const std::string name = old.substr(name_at, name_end - name_at);
    absl::StrAppend(&page, old.substr(at, name_end + 5 - at), model.Table(name));
    at = end;
  }
  page += old.substr(at);
  if (page == old) return 0;
  if (files.check) {
    std::cerr << files.page << " differs from the slopes and the model; run tools/capacity-page\n";
    return 1;
  }
  std::ofstream(files.page) << page;
  return 0;
}

}  // namespace fuchsiaweir::capacity
