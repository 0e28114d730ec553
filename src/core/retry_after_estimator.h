#ifndef FUCHSIAWEIR_CORE_RETRY_AFTER_ESTIMATOR_H_
#define FUCHSIAWEIR_CORE_RETRY_AFTER_ESTIMATOR_H_

#include "core/clock.h"

namespace fuchsiaweir {

/// Estimates when an overloaded service will accept requests again.
///
/// Load pattern: a burst, or the loss of runners, overloads a service for seconds. Most callers
/// retry only once, and after a fixed short delay they meet the same overload. An overload that has
/// lasted for some time is expected to last about as long again.
class RetryAfterEstimator {
 public:
  /// Records a refusal due to overload and returns the delay after which the caller may retry.
  Duration OnRefused(TimePoint now);

 private:
  TimePoint overload_began_;
  TimePoint last_refusal_;
  bool refused_before_ = false;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_RETRY_AFTER_ESTIMATOR_H_
