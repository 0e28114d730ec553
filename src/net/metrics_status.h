#ifndef FUCHSIAWEIR_NET_METRICS_STATUS_H_
#define FUCHSIAWEIR_NET_METRICS_STATUS_H_

#include <string>
#include <vector>

#include "net/operator_session.h"

namespace fuchsiaweir {

/// Prints the state of gateways and sidecars from their metrics. Returns kFailed if the metrics of
/// one of them cannot be read.
ExitCode PrintMetricsStatus(const std::vector<std::string>& addresses);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_METRICS_STATUS_H_
