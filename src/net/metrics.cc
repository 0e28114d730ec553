#include "net/metrics.h"

#include <prometheus/text_serializer.h>

namespace fuchsiaweir {

prometheus::Counter& Metrics::Counter(const std::string& name, const std::string& help,
                                      const Labels& labels) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry_).Add(labels);
}

prometheus::Gauge& Metrics::Gauge(const std::string& name, const std::string& help,
                                  const Labels& labels) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add(labels);
}

prometheus::Histogram& Metrics::Seconds(const std::string& name, const std::string& help,
                                        const Labels& labels) {
  static const prometheus::Histogram::BucketBoundaries kBucketBounds = {
      0.001, 0.002, 0.005, 0.01, 0.02, 0.046, 0.1, 0.2, 0.5, 1, 1.5, 2, 5, 10, 20, 50, 100};
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry_).Add(labels,
                                                                                    kBucketBounds);
}

std::string Metrics::Text() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace fuchsiaweir
