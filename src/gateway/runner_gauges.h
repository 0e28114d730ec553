#ifndef FUCHSIAWEIR_GATEWAY_RUNNER_GAUGES_H_
#define FUCHSIAWEIR_GATEWAY_RUNNER_GAUGES_H_

#include "core/clock.h"
#include "core/runner_registry.h"
#include "net/metrics.h"

namespace fuchsiaweir {

/// Sets the numbers of runners by what is believed of them.
void SetRunnerGauges(Metrics& metrics, const RunnerRegistry& registry, TimePoint now);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_RUNNER_GAUGES_H_
