#include "core/token_demand.h"

#include <algorithm>
#include <cmath>

namespace fuchsiaweir {
namespace {

// Time constant of the exponential decay: long enough to include several large prompts at a gateway
// with little traffic, short enough to follow a burst.
constexpr double kDecaySeconds = 2.0;

double Decay(TimePoint from, TimePoint to) {
  return std::exp(-std::max(0.0, ToSeconds(to - from)) / kDecaySeconds);
}

}  // namespace

void TokenDemand::OnSent(int64_t tokens, int64_t output_tokens, TimePoint now) {
  const double decay = Decay(at_, now);
  at_ = now;
  weight_ = weight_ * decay + 1;
  tokens_ = tokens_ * decay + static_cast<double>(tokens);
  output_ = output_ * decay + static_cast<double>(output_tokens);
}

DemandEstimate TokenDemand::Estimate(TimePoint now) const {
  if (weight_ <= 0) return {};
  return {tokens_ * Decay(at_, now) / kDecaySeconds, output_ / weight_};
}

}  // namespace fuchsiaweir
