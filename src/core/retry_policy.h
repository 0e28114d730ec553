#ifndef FUCHSIAWEIR_CORE_RETRY_POLICY_H_
#define FUCHSIAWEIR_CORE_RETRY_POLICY_H_

#include <cstdint>
#include <string>

#include "core/result.h"
#include "core/retry_budget.h"
#include "core/run_outcome.h"

namespace fuchsiaweir {

/// Bounds of retries and hedged requests.
struct RetryRules {
  int64_t max_attempts = 4;
  Duration first_backoff = Millis(10);  ///< Doubles with every further attempt.
  Duration max_backoff = Seconds(2);
  Duration hedge_after = Millis(500);  ///< Silence before a second target is asked.
};

/// An attempt that did not complete the request.
struct FailedAttempt {
  RequestStage stage = RequestStage::kNotDispatched;
  ErrorCode code = ErrorCode::kTargetFailed;
  bool repeatable = false;  ///< Model runs and idempotent calls.
  bool suspect = false;     ///< The target crashed while it ran this request.
  int64_t attempts = 1;     ///< Attempts so far, this one included.
  Duration retry_after{0};  ///< Wait that the refusal asked for.
  Duration time_left{0};    ///< Until the request's deadline.
};

/// What to do after a failed attempt.
struct RetryDecision {
  bool retry = false;
  Duration delay{0};   ///< Wait before the retry.
  std::string reason;  ///< Why there is no retry.
};

/// Decides whether the request may be tried again. Takes from the budget when it may.
/// `jitter` is a random number in [0, 1).
RetryDecision DecideRetry(const RetryRules& rules, const FailedAttempt& attempt,
                          RetryBudget& budget, double jitter);

/// An attempt that is still running.
struct OpenAttempt {
  bool repeatable = false;
  bool suspect = false;
  bool answer_started = false;
  int64_t attempts = 1;  ///< Attempts of the request so far, hedged ones included.
  Duration silent_for{0};
  Duration time_left{0};
};

/// Decides whether a second target may be asked meanwhile. Takes from the budget when it may.
bool DecideHedge(const RetryRules& rules, const OpenAttempt& attempt, RetryBudget& budget);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_RETRY_POLICY_H_
