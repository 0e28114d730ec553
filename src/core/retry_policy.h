#ifndef FUCHSIAWEIR_CORE_RETRY_POLICY_H_
#define FUCHSIAWEIR_CORE_RETRY_POLICY_H_

#include <cstdint>
#include <string>

#include "core/result.h"
#include "core/retry_budget.h"
#include "core/run_outcome.h"

namespace fuchsiaweir {

/// Limits of retries and hedged requests.
struct RetryRules {
  int64_t max_attempts = 4;
  Duration initial_backoff = Millis(10);  ///< Doubles with each further attempt.
  Duration max_backoff = Seconds(2);
  Duration hedge_after = Millis(500);  ///< Time without an answer before a hedged request.
};

/// An attempt that did not complete the request.
struct FailedAttempt {
  RequestStage stage = RequestStage::kNotDispatched;
  ErrorCode code = ErrorCode::kTargetFailed;
  bool repeatable = false;  ///< Model runs and idempotent calls.
  bool suspect = false;     ///< A target crashed while it ran this request.
  int64_t attempts = 1;     ///< Attempts so far, including this one.
  Duration retry_after{0};  ///< Minimum delay that the target's refusal asked for.
  Duration time_left{0};    ///< Time until the request's deadline.
};

/// Whether and when to retry after a failed attempt.
struct RetryDecision {
  bool retry = false;
  Duration delay{0};   ///< Delay before the retry.
  std::string reason;  ///< Reason against a retry; empty if there is one.
};

/// Decides whether to retry the request; a retry consumes from the budget. `jitter` is a random
/// number in [0, 1).
RetryDecision DecideRetry(const RetryRules& rules, const FailedAttempt& attempt,
                          RetryBudget& budget, double jitter);

/// An attempt that has not ended.
struct OpenAttempt {
  bool repeatable = false;
  bool suspect = false;
  bool answer_started = false;
  int64_t attempts = 1;    ///< Attempts of the request so far, including hedged ones.
  Duration silent_for{0};  ///< Time without an answer.
  Duration time_left{0};
};

/// Decides whether to send a hedged request to a second target, which consumes from the budget.
bool DecideHedge(const RetryRules& rules, const OpenAttempt& attempt, RetryBudget& budget);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_RETRY_POLICY_H_
