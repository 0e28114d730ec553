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

std::string FindValue(const IniSection& section, const std::string& key) {
  for (const IniEntry& entry : section.entries) {
    if (entry.key == key) return entry.value;
  }
  return "";
}

/// Formats with three significant digits and, from 1,000 on, with thousands separators.
std::string FormatNumber(double value) {
  if (std::abs(value) < 1000) return absl::StrFormat("%.3g", value);
  const double scale = std::pow(10.0, std::floor(std::log10(std::abs(value))) - 2);
  std::string digits = absl::StrFormat("%.0f", std::round(value / scale) * scale);
  for (auto at = static_cast<int64_t>(digits.size()) - 3; at > (value < 0 ? 1 : 0); at -= 3) {
    digits.insert(static_cast<size_t>(at), ",");
  }
  return digits;
}

/// Inputs and formulas of the model, and the slopes that the formulas refer to.
class Model {
 public:
  explicit Model(const PageFiles& files) : slopes_(json::parse(ReadFile(files.slopes))) {
    Findings findings;
    document_ = ParseIni(ReadFile(files.model), files.model, findings);
    if (!findings.empty()) throw std::runtime_error(findings.ToString());
  }

  std::string RenderTable(const std::string& name) const {
    if (name == "inputs") return RenderInputs();
    if (name == "slopes") return RenderSlopes();
    if (name == "budgets") return RenderBudgets();
    return RenderFigures(name);
  }

 private:
  double EvaluateFormula(const std::string& formula) const {
    return Evaluate(formula, [this](const std::string& name) { return ResolveVariable(name); });
  }

  double ResolveVariable(const std::string& name) const {
    for (const IniSection& section : document_.sections) {
      if (section.name != name) continue;
      return EvaluateFormula(FindValue(section, section.kind == "input" ? "value" : "formula"));
    }
    const size_t dot = name.find('.');
    const json::value* slope = slopes_.as_object().if_contains(name.substr(0, dot));
    if (slope == nullptr || dot == std::string::npos) {
      throw std::runtime_error("unknown name \"" + name + "\" in a formula");
    }
    const std::string field = name.substr(dot + 1);
    if (field == "last") return slope->at("points").as_array().back().at(1).to_number<double>();
    if (slope->at("bends").as_bool()) {
      throw std::runtime_error("the points that \"" + name +
                               "\" refers to are nonlinear; use .last or measure again");
    }
    return slope->at(field).to_number<double>();
  }

  std::string RenderInputs() const {
    std::string text = "| input | value | kind | reading |\n|---|---|---|---|\n";
    for (const IniSection& section : document_.sections) {
      if (section.kind != "input") continue;
      absl::StrAppend(&text, "| `", section.name, "` | ",
                      FormatNumber(EvaluateFormula(FindValue(section, "value"))), " ",
                      FindValue(section, "unit"), " | ", FindValue(section, "kind"), " | ",
                      FindValue(section, "note"), " |\n");
    }
    return text;
  }

  std::string RenderSlopes() const {
    std::string text =
        "| slope | per | of | slope | intercept | residual | points | run (seed, date) |\n"
        "|---|---|---|---|---|---|---|---|\n";
    for (const auto& [name, slope] : slopes_.as_object()) {
      const json::array& points = slope.at("points").as_array();
      const bool nonlinear = slope.at("bends").as_bool();
      const auto number = [&slope = slope](const char* key) {
        return FormatNumber(slope.at(key).to_number<double>());
      };
      absl::StrAppend(
          &text, "| `", std::string(name), "` | ", std::string(slope.at("x").as_string()), " | ",
          std::string(slope.at("y").as_string()), " | ", nonlinear ? "bends" : number("slope"),
          " | ", nonlinear ? "-" : number("intercept"), " | ", number("residual"), " | ");
      absl::StrAppend(&text, FormatNumber(points.front().at(0).to_number<double>()), " to ",
                      FormatNumber(points.back().at(0).to_number<double>()), " | ");
      const std::string command(slope.at("command").as_string());
      absl::StrAppend(&text, "`", command.substr(command.rfind('=') + 1), "` (",
                      slope.at("seed").to_number<int64_t>(), ", ",
                      std::string(slope.at("date").as_string()), ") |\n");
    }
    return text;
  }

  std::string RenderFigures(const std::string& name) const {
    std::string text = "| figure | value | formula | mechanism |\n|---|---|---|---|\n";
    bool has_rows = false;
    for (const IniSection& section : document_.sections) {
      if (section.kind != "figure" || FindValue(section, "table") != name) continue;
      has_rows = true;
      const std::string formula = FindValue(section, "formula");
      absl::StrAppend(&text, "| ", FindValue(section, "label"), " | ",
                      FormatNumber(EvaluateFormula(formula)), " ", FindValue(section, "unit"),
                      " | `", section.name, " = ", formula, "` | ", FindValue(section, "mechanism"),
                      " |\n");
    }
    if (!has_rows) throw std::runtime_error("no figure belongs to table \"" + name + "\"");
    return text;
  }

  std::string RenderBudgets() const {
    std::string text =
        "| budget | figure | limit | margin | what breaks first past it |\n|---|---|---|---|---|\n";
    for (const IniSection& section : document_.sections) {
      const std::string limit = FindValue(section, "budget");
      if (limit.empty()) continue;
      const std::string unit = FindValue(section, "unit");
      const double figure = EvaluateFormula(FindValue(section, "formula"));
      const double limit_value = EvaluateFormula(limit);
      const std::string margin =
          figure <= limit_value
              ? absl::StrCat("holds, ", FormatNumber(limit_value / figure), " times")
              : absl::StrCat("**fails, ", FormatNumber(figure / limit_value), " times over**");
      absl::StrAppend(&text, "| ", FindValue(section, "label"), " | ", FormatNumber(figure), " ",
                      unit, " | ", FormatNumber(limit_value), " ", unit, " | ", margin, " | ",
                      FindValue(section, "breaks"), " |\n");
    }
    return text;
  }

  json::value slopes_;
  IniDocument document_;
};

}  // namespace

int UpdatePage(const PageFiles& files) {
  const Model model(files);
  const std::string old_page = ReadFile(files.page);
  const std::string begin_marker = "<!-- table ";
  const std::string name_end_marker = " -->\n";
  const std::string end_marker = "<!-- end -->";
  std::string page;
  size_t processed = 0;  // End of the part of the old page that the new page covers.
  for (size_t begin = 0; (begin = old_page.find(begin_marker, processed)) != std::string::npos;) {
    const size_t name_begin = begin + begin_marker.size();
    const size_t name_end = old_page.find(name_end_marker, name_begin);
    const size_t end = old_page.find(end_marker, name_begin);
    if (name_end == std::string::npos || end == std::string::npos) {
      throw std::runtime_error(absl::StrCat(files.page, ": the table at byte ", begin,
                                            " has an incomplete marker or no \"", end_marker,
                                            "\""));
    }
    const std::string name = old_page.substr(name_begin, name_end - name_begin);
    absl::StrAppend(&page,
                    old_page.substr(processed, name_end + name_end_marker.size() - processed),
                    model.RenderTable(name));
    processed = end;
  }
  page += old_page.substr(processed);
  if (page == old_page) return 0;
  if (files.check) {
    std::cerr << files.page
              << ": the tables do not match the slopes and the model; run tools/capacity-page\n";
    return 1;
  }
  std::ofstream(files.page) << page;
  return 0;
}

}  // namespace fuchsiaweir::capacity
