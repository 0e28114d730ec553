#ifndef FUCHSIAWEIR_CORE_RETRY_AFTER_ESTIMATOR_H_
#define FUCHSIAWEIR_CORE_RETRY_AFTER_ESTIMATOR_H_

#include "core/clock.h"

namespace fuchsiaweir {

/// Estimates when a service without room takes requests again.
///
/// Load pattern: a burst, or the loss of runners, fills a service for seconds. Callers who are told
/// to return after a fixed short time meet the same state, and most of them return only once. A
/// state that has lasted for some time is expected to last about as long again.
class RetryAfterEstimator {
 public:
  /// Notes a refusal for want of room and returns when the caller may return.
  Duration OnRefused(TimePoint now);

 private:
  TimePoint began_;
  TimePoint last_;
  bool refusing_ = false;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_RETRY_AFTER_ESTIMATOR_H_
