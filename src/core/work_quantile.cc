#include "core/work_quantile.h"

#include <algorithm>
#include <cmath>

namespace fuchsiaweir {
namespace {

// Smallest step of a quantile, as a share of its value. The five reports of a single runner's slow
// period of 0.6 s move the usual pace by at most 2.5%.
constexpr double kMinStep = 0.005;

}  // namespace

void RunningQuantile::Add(double value) {
  if (!(value > 0) || !std::isfinite(value)) return;
  const double log_value = std::log(value);
  ++count_;
  if (count_ == 1) {
    log_value_ = log_value;
    return;
  }
  const double step = std::max(kMinStep, 1 / static_cast<double>(count_));
  // At the quantile the steps up and down cancel out. The last step is no longer than the distance.
  const double move = log_value > log_value_ ? 2 * share_ * step : -2 * (1 - share_) * step;
  const double distance = log_value - log_value_;
  log_value_ += std::abs(move) < std::abs(distance) ? move : distance;
}

double RunningQuantile::value() const { return count_ == 0 ? 0 : std::exp(log_value_); }

}  // namespace fuchsiaweir
