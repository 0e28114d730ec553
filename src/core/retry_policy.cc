#include "core/retry_policy.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace fuchsiaweir {
namespace {

// Failures that another target may not have.
constexpr std::array<ErrorCode, 8> kRetryable = {
    ErrorCode::kTimeout,          ErrorCode::kOverloaded,    ErrorCode::kOutOfService,
    ErrorCode::kNoTarget,         ErrorCode::kCold,          ErrorCode::kTargetFailed,
    ErrorCode::kIncompleteAnswer, ErrorCode::kTargetCrashed,
};

bool IsRetryable(ErrorCode code) {
  return std::find(kRetryable.begin(), kRetryable.end(), code) != kRetryable.end();
}

Duration Backoff(const RetryRules& rules, int64_t attempts, double jitter) {
  const double doublings = static_cast<double>(std::clamp<int64_t>(attempts - 1, 0, 30));
  const double ceiling =
      std::min(static_cast<double>(rules.first_backoff.count()) * std::exp2(doublings),
               static_cast<double>(rules.max_backoff.count()));
  return Duration(static_cast<int64_t>(ceiling * std::clamp(jitter, 0.0, 1.0)));
}

RetryDecision Stop(const char* reason) { return {false, Duration(0), reason}; }

}  // namespace

RetryDecision DecideRetry(const RetryRules& rules, const FailedAttempt& attempt,
                          RetryBudget& budget, double jitter) {
  const RunState outcome = RunOutcome(attempt.stage);
  if (outcome == RunState::kRan) return Stop("the request ran");
  if (outcome == RunState::kUnknown && !attempt.repeatable) {
    return Stop("the request may have run and must not be repeated");
  }
  if (!IsRetryable(attempt.code)) return Stop("another target would fail alike");
  // The poison tracker decides about requests whose target crashed.
  if (attempt.suspect) return Stop("the request is suspect");
  if (attempt.attempts >= rules.max_attempts) return Stop("the attempts are used up");
  // The jitter also spreads callers that were told the same time to wait.
  const Duration delay = attempt.retry_after + Backoff(rules, attempt.attempts, jitter);
  if (delay >= attempt.time_left) return Stop("the deadline is too near");
  if (!budget.TryConsume()) return Stop("the retry budget is spent");
  return {true, delay, ""};
}

bool DecideHedge(const RetryRules& rules, const OpenAttempt& attempt, RetryBudget& budget) {
  if (!attempt.repeatable || attempt.suspect || attempt.answer_started) return false;
  if (attempt.attempts >= std::min<int64_t>(rules.max_attempts, 2)) return false;
  if (attempt.silent_for < rules.hedge_after || attempt.time_left <= Duration(0)) return false;
  return budget.TryConsume();
}

}  // namespace fuchsiaweir
