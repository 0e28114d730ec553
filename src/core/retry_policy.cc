#include "core/retry_policy.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace fuchsiaweir {
namespace {

// Errors that may not occur at another target.
constexpr std::array<ErrorCode, 8> kRetryableErrors = {
    ErrorCode::kTimeout,          ErrorCode::kOverloaded,    ErrorCode::kOutOfService,
    ErrorCode::kNoTarget,         ErrorCode::kCold,          ErrorCode::kTargetFailed,
    ErrorCode::kIncompleteAnswer, ErrorCode::kTargetCrashed,
};

bool IsRetryableError(ErrorCode code) {
  return std::find(kRetryableErrors.begin(), kRetryableErrors.end(), code) !=
         kRetryableErrors.end();
}

Duration Backoff(const RetryRules& rules, int64_t attempts, double jitter) {
  const double doublings = static_cast<double>(std::clamp<int64_t>(attempts - 1, 0, 30));
  const double ceiling =
      std::min(static_cast<double>(rules.initial_backoff.count()) * std::exp2(doublings),
               static_cast<double>(rules.max_backoff.count()));
  return Duration(static_cast<int64_t>(ceiling * std::clamp(jitter, 0.0, 1.0)));
}

RetryDecision NoRetry(const char* reason) { return {false, Duration(0), reason}; }

}  // namespace

RetryDecision DecideRetry(const RetryRules& rules, const FailedAttempt& attempt,
                          RetryBudget& budget, double jitter) {
  const RunState outcome = RunOutcome(attempt.stage);
  if (outcome == RunState::kRan) return NoRetry("the request has already run");
  if (outcome == RunState::kUnknown && !attempt.repeatable) {
    return NoRetry("the request may have run and must not run twice");
  }
  if (!IsRetryableError(attempt.code)) return NoRetry("the error would occur at any target");
  // The poison tracker decides on requests whose target crashed.
  if (attempt.suspect) return NoRetry("a target crashed while it ran the request");
  if (attempt.attempts >= rules.max_attempts) return NoRetry("all attempts are used up");
  // The jitter also spreads the retries of callers that got the same retry_after.
  const Duration delay = attempt.retry_after + Backoff(rules, attempt.attempts, jitter);
  if (delay >= attempt.time_left) return NoRetry("the deadline would pass before the retry");
  if (!budget.TryConsume()) return NoRetry("the retry budget is exhausted");
  return {true, delay, ""};
}

bool DecideHedge(const RetryRules& rules, const OpenAttempt& attempt, RetryBudget& budget) {
  if (!attempt.repeatable || attempt.suspect || attempt.answer_started) return false;
  if (attempt.attempts >= std::min<int64_t>(rules.max_attempts, 2)) return false;
  if (attempt.silent_for < rules.hedge_after || attempt.time_left <= Duration(0)) return false;
  return budget.TryConsume();
}

}  // namespace fuchsiaweir
