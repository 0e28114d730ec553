#include "core/findings.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace fuchsiaweir {

void Findings::Add(std::string file, int line, std::string message) {
  items_.push_back({std::move(file), line, std::move(message)});
}

std::string Findings::ToString() const {
  std::vector<Finding> sorted = items_;
  std::stable_sort(sorted.begin(), sorted.end(), [](const Finding& a, const Finding& b) {
    return std::tie(a.file, a.line) < std::tie(b.file, b.line);
  });
  std::string text;
  for (const Finding& finding : sorted) {
    absl::StrAppend(&text, finding.file, ":", finding.line, ": ", finding.message, "\n");
  }
  return text;
}

}  // namespace fuchsiaweir
