#include "core/metrics_text.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace fuchsiaweir {

MetricsText::MetricsText(std::string_view text) {
  for (const absl::string_view line :
       absl::StrSplit(absl::string_view(text.data(), text.size()), '\n')) {
    if (line.empty() || line[0] == '#') continue;
    // Label values may contain spaces, so the value follows the last brace, or the first space of a
    // line without labels.
    const size_t brace = line.rfind('}');
    const size_t end = brace == absl::string_view::npos ? line.find(' ') : brace + 1;
    if (end >= line.size()) continue;
    const std::vector<absl::string_view> rest =
        absl::StrSplit(line.substr(end), ' ', absl::SkipEmpty());
    double value = 0;
    if (rest.empty() || !absl::SimpleAtod(rest[0], &value)) continue;
    const std::string series(line.substr(0, end));
    samples_[series] = value;
  }
}

std::optional<double> MetricsText::Value(const std::string& name) const {
  const auto found = samples_.find(name);
  if (found == samples_.end()) return std::nullopt;
  return found->second;
}

double MetricsText::Sum(const std::string& name, std::string_view label) const {
  double sum = 0;
  for (const auto& [series, value] : samples_) {
    const size_t brace = series.find('{');
    if (series.substr(0, brace) != name) continue;
    const std::string labels = brace == std::string::npos ? "" : series.substr(brace);
    if (labels.find(label) != std::string::npos) sum += value;
  }
  return sum;
}

}  // namespace fuchsiaweir
