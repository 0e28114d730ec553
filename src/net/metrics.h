#ifndef FUCHSIAWEIR_NET_METRICS_H_
#define FUCHSIAWEIR_NET_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>

#include "net/component_registry.h"

namespace fuchsiaweir {

/// The process's metrics. Label values come from the inventory or from name tables, never from
/// request content, so that their number stays bounded.
class Metrics : public Component {
 public:
  using Labels = std::map<std::string, std::string>;

  /// Returns the metric with this name and these labels, created at first use.
  prometheus::Counter& Counter(const std::string& name, const std::string& help,
                               const Labels& labels = {});
  prometheus::Gauge& Gauge(const std::string& name, const std::string& help,
                           const Labels& labels = {});
  /// Histogram of seconds with bounds from 1 ms to 100 s.
  prometheus::Histogram& Seconds(const std::string& name, const std::string& help,
                                 const Labels& labels = {});

  /// Returns all metrics in Prometheus text format.
  std::string Text() const;

 private:
  prometheus::Registry registry_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_METRICS_H_
