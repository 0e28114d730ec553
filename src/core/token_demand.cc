#include "core/token_demand.h"

#include <algorithm>
#include <cmath>

namespace fuchsiaweir {
namespace {

/// Time in which an item's weight falls to 1/e: long enough to see a few large prompts of a small
/// gateway, short enough to follow a burst.
constexpr double kMemorySeconds = 2.0;

double Decay(TimePoint from, TimePoint to) {
  return std::exp(-std::max(0.0, ToSeconds(to - from)) / kMemorySeconds);
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
  return {tokens_ * Decay(at_, now) / kMemorySeconds, output_ / weight_};
}

}  // namespace fuchsiaweir
