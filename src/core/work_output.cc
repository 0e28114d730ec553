#include "core/work_output.h"

#include <algorithm>
#include <cmath>

namespace fuchsiaweir {
namespace {

// Smallest step of a quantile, as a share of its value. The five reports of a single runner's slow
// period of 0.6 s move the usual pace by at most 2.5%.
constexpr double kMinStep = 0.005;
// Outputs after which the route's median is used.
constexpr int64_t kMinOutputs = 8;
// Smallest error in the weights of the two estimates, so that neither is ever ignored.
constexpr double kMinLogError = 0.05;

double LogError(const RunningQuantile& factor) {
  return std::max(kMinLogError, std::log(std::max(1.0, factor.value())));
}

double Factor(double a, double b) { return std::max(a / b, b / a); }

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

void OutputModel::OnOutput(int64_t hint, int64_t tokens) {
  if (tokens <= 0) return;
  const auto output = static_cast<double>(tokens);
  if (median_.count() >= kMinOutputs) median_error_.Add(Factor(output, median_.value()));
  median_.Add(output);
  upper_quartile_.Add(output);
  if (hint <= 0) return;
  hint_error_.Add(Factor(output, static_cast<double>(hint)));
  hint_bias_.Add(output / static_cast<double>(hint));
}

double OutputModel::Expected(int64_t hint, int64_t max_tokens) const {
  const bool route_known = median_.count() >= kMinOutputs && median_error_.count() > 0;
  double expected = route_known ? median_.value() : 0;
  if (hint > 0) {
    const bool hint_known = hint_bias_.count() >= kMinOutputs;
    const double corrected = static_cast<double>(hint) * (hint_known ? hint_bias_.value() : 1);
    if (route_known && hint_known) {
      // Two estimates with independent errors are weighted by the inverse of their variances.
      const double hint_weight = std::pow(LogError(hint_error_), -2);
      const double route_weight = std::pow(LogError(median_error_), -2);
      expected = std::exp((std::log(corrected) * hint_weight + std::log(expected) * route_weight) /
                          (hint_weight + route_weight));
    } else if (!route_known) {
      expected = corrected;
    }
  }
  return max_tokens > 0 ? std::min(expected, static_cast<double>(max_tokens)) : expected;
}

}  // namespace fuchsiaweir
