#include "core/retry_policy.h"

#include <CppUTest/TestHarness.h>

#include "property.h"

namespace fuchsiaweir {
namespace {

const RetryRules kRules;

FailedAttempt AnyAttempt() {
  FailedAttempt attempt;
  attempt.stage = static_cast<RequestStage>(*rc::gen::inRange(0, 8));
  attempt.code = *rc::gen::element(ErrorCode::kTargetFailed, ErrorCode::kCold,
                                   ErrorCode::kBadRequest, ErrorCode::kPoisoned);
  attempt.repeatable = *rc::gen::arbitrary<bool>();
  attempt.suspect = *rc::gen::inRange(0, 4) == 0;
  attempt.attempts = *rc::gen::inRange(1, 6);
  attempt.retry_after = Millis(*rc::gen::inRange(0, 100));
  attempt.time_left = Millis(*rc::gen::inRange(0, 300));
  return attempt;
}

}  // namespace

TEST_GROUP(RetryPolicy){};

// Guards against a second execution of a call that must not be repeated, against retries after the
// deadline and against retries outside the budget.
TEST(RetryPolicy, RetriesOnlyWhatIsSafeInTimeAndInBudget) {
  CheckProperty("every retry is allowed; nothing allowed is refused", [] {
    const FailedAttempt attempt = AnyAttempt();
    const bool funded = *rc::gen::arbitrary<bool>();
    const double jitter = *rc::gen::inRange(0, 100) / 100.0;
    RetryBudget budget(10, funded ? 1 : 0);
    const RetryDecision decision = DecideRetry(kRules, attempt, budget, jitter);
    const RunState outcome = RunOutcome(attempt.stage);
    const bool safe =
        outcome == RunState::kNotRun || (outcome == RunState::kUnknown && attempt.repeatable);
    const bool useful =
        attempt.code == ErrorCode::kTargetFailed || attempt.code == ErrorCode::kCold;
    const Duration delay =
        attempt.retry_after +
        Micros(static_cast<int64_t>(10'000.0 * static_cast<double>(1 << (attempt.attempts - 1)) *
                                    jitter));
    const bool allowed = safe && useful && !attempt.suspect && attempt.attempts < 4 && funded &&
                         delay < attempt.time_left;
    RC_ASSERT(decision.retry == allowed);
    RC_ASSERT(decision.reason.empty() == decision.retry);
    if (decision.retry) RC_ASSERT(decision.delay == delay);
    // A refused retry leaves the budget to others.
    RC_ASSERT(budget.TryConsume() == (funded && !decision.retry));
  });
}

// Guards against repeating a request that ran, or one that may have run and must not be repeated.
TEST(RetryPolicy, StageDecidesWhetherARetryIsSafe) {
  for (int stage = 0; stage < 8; ++stage) {
    for (const bool repeatable : {false, true}) {
      FailedAttempt attempt;
      attempt.stage = static_cast<RequestStage>(stage);
      attempt.repeatable = repeatable;
      attempt.time_left = Seconds(1);
      RetryBudget budget(10, 1);
      const RunState outcome = RunOutcome(attempt.stage);
      const bool safe =
          outcome == RunState::kNotRun || (outcome == RunState::kUnknown && repeatable);
      CHECK_EQUAL(safe, DecideRetry(kRules, attempt, budget, 0.5).retry);
    }
  }
}

// Guards against synchronized retries: the delay must depend on the jitter and stay bounded.
TEST(RetryPolicy, BackoffGrowsToItsMaximum) {
  RetryRules rules;
  rules.max_attempts = 100;
  FailedAttempt attempt;
  attempt.time_left = Seconds(1000);
  for (int64_t attempts : {1, 2, 10, 90}) {
    RetryBudget budget(10, 2);
    attempt.attempts = attempts;
    const Duration most = DecideRetry(rules, attempt, budget, 1.0).delay;
    LONGS_EQUAL(attempts == 1 ? 10 : attempts == 2 ? 20 : 2000, ToMillis(most));
    CHECK(DecideRetry(rules, attempt, budget, 0.5).delay == most / 2);
  }
}

// Guards against hedging what must not run twice and against more than one hedged request.
TEST(RetryPolicy, HedgesOnlyOneSilentRepeatableAttempt) {
  CheckProperty("hedged implies repeatable, unsuspected, silent, first and funded", [] {
    const OpenAttempt attempt{*rc::gen::arbitrary<bool>(),         *rc::gen::arbitrary<bool>(),
                              *rc::gen::arbitrary<bool>(),         *rc::gen::inRange(1, 3),
                              Millis(*rc::gen::inRange(400, 600)), Millis(*rc::gen::inRange(0, 2))};
    const bool funded = *rc::gen::inRange(0, 4) > 0;
    RetryBudget budget(10, funded ? 1 : 0);
    const bool allowed = attempt.repeatable && !attempt.suspect && !attempt.answer_started &&
                         attempt.attempts == 1 && attempt.silent_for >= Millis(500) &&
                         attempt.time_left > Millis(0) && funded;
    RC_ASSERT(DecideHedge(kRules, attempt, budget) == allowed);
  });
  RetryBudget budget(10, 1);
  CHECK(DecideHedge(kRules, {true, false, false, 1, Millis(500), Millis(1)}, budget));
  CHECK(!DecideHedge(kRules, {true, false, false, 1, Millis(500), Millis(1)}, budget));
}

}  // namespace fuchsiaweir
