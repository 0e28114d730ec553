#ifndef FUCHSIAWEIR_CORE_METRICS_TEXT_H_
#define FUCHSIAWEIR_CORE_METRICS_TEXT_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsiaweir {

/// The samples of one answer in the Prometheus text format (version 0.0.4), by series: the name
/// with its labels as they stand in the line.
class MetricsText {
 public:
  /// Reads the samples. Lines of another form are left out.
  explicit MetricsText(std::string_view text);

  /// Value of the series without labels.
  std::optional<double> Value(const std::string& name) const;
  /// Sum over all series of the name whose labels contain `label`, for example `outcome="refused"`.
  double Sum(const std::string& name, std::string_view label = "") const;

 private:
  std::map<std::string, double> samples_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_METRICS_TEXT_H_
