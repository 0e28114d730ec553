#include "core/run_outcome.h"

#include <CppUTest/TestHarness.h>

#include "property.h"

namespace fuchsiaweir {

TEST_GROUP(RunOutcome){};

// Guards against `not_run` for a request that a target may have executed: any request after the
// start of a write, unless the target refused it completely.
TEST(RunOutcome, NotRunOnlyWhenNoTargetCanExecute) {
  CheckProperty("a request that may have run is never reported as not_run", [] {
    AttemptProgress progress;
    bool written = false;
    bool refused = false;
    bool answered = false;
    for (const int event : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6))) {
      const bool can_refuse = written && !answered;
      if (event == 0) progress.OnConnecting();
      if (event == 1) progress.OnConnected();
      if (event == 2) progress.OnWriteStarting();
      if (event == 3) progress.OnRefused(false);
      if (event == 4) progress.OnAnswerStarted();
      if (event == 5) progress.OnAnswerComplete();
      if (event == 2) written = true;
      if (event == 3 && can_refuse) refused = true;
      if (event >= 4) answered = true;
      const bool may_have_run = answered || (written && !refused);
      RC_ASSERT((progress.outcome() == RunState::kNotRun) == !may_have_run);
    }
  });
}

// Guards against ignoring an earlier attempt when a later one is refused.
TEST(RunOutcome, CombinesAllAttempts) {
  using enum RunState;
  CHECK(CombineOutcomes({}) == kNotRun);
  CHECK(CombineOutcomes({kNotRun, kNotRun}) == kNotRun);
  CHECK(CombineOutcomes({kUnknown, kNotRun}) == kUnknown);
  CHECK(CombineOutcomes({kUnknown, kRan, kNotRun}) == kRan);
}

}  // namespace fuchsiaweir
