#include "core/retry_after_estimator.h"

#include <algorithm>

namespace fuchsiaweir {
namespace {

// Refusals further apart than this belong to different overloads.
constexpr Duration kOverloadGap = Millis(700);
// A full runner accepts another prompt after about this time.
constexpr Duration kMinRetryAfter = Millis(300);
// Callers give up after a few seconds and would not wait for a later retry.
constexpr Duration kMaxRetryAfter = Seconds(3);

}  // namespace

Duration RetryAfterEstimator::OnRefused(TimePoint now) {
  if (!refused_before_ || now - last_refusal_ > kOverloadGap) overload_began_ = now;
  refused_before_ = true;
  last_refusal_ = now;
  return std::clamp<Duration>(now - overload_began_, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace fuchsiaweir
