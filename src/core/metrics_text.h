#ifndef FUCHSIAWEIR_CORE_METRICS_TEXT_H_
#define FUCHSIAWEIR_CORE_METRICS_TEXT_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsiaweir {

/// Samples of a response in the Prometheus text format (version 0.0.4) by series, which is the
/// metric name followed by its labels as written in the line.
class MetricsText {
 public:
  /// Parses the samples; skips malformed lines.
  explicit MetricsText(std::string_view text);

  /// Returns the value of the series without labels.
  std::optional<double> Value(const std::string& name) const;
  /// Returns the sum of all series with this name whose labels contain the text `label`, for
  /// example `outcome="refused"`.
  double Sum(const std::string& name, std::string_view label = "") const;

 private:
  std::map<std::string, double> samples_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_METRICS_TEXT_H_
