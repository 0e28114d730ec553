#include "core/retry_after_estimator.h"

#include <algorithm>

namespace fuchsiaweir {
namespace {

/// Refusals further apart than this belong to different spells.
constexpr Duration kSpellGap = Millis(700);
/// A runner that was full has room for another prompt after about this time.
constexpr Duration kLeast = Millis(300);
/// Callers give up after some seconds; a longer time would be no offer to return.
constexpr Duration kMost = Seconds(3);

}  // namespace

Duration RetryAfterEstimator::OnRefused(TimePoint now) {
  if (!refusing_ || now - last_ > kSpellGap) began_ = now;
  refusing_ = true;
  last_ = now;
  return std::clamp<Duration>(now - began_, kLeast, kMost);
}

}  // namespace fuchsiaweir
