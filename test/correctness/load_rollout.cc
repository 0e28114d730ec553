#include "core/load_rollout.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "property.h"

namespace fuchsiaweir {
namespace {

constexpr Duration kStep = Millis(100);
constexpr Duration kLoadTime = Millis(1500);
constexpr Duration kWindow = Seconds(7);

struct ModelRunner {
  RolloutRunner runner;
  Duration left{0};  ///< Remaining time of the current phase.
};

/// Observed duration of a rollout and peak numbers of runners within its window.
struct Trace {
  Duration end{0};
  int64_t max_loading = 0;
  int64_t max_not_serving = 0;  ///< Runners in any phase but WeightLoadPhase::kServing.
};

/// Simulates a rollout in which each runner decides from what the others reported one step before.
Trace Simulate(std::vector<ModelRunner> runners, Duration finish_time) {
  Trace trace;
  for (Duration now{0}; now < Seconds(60); now += kStep) {
    LoadRollout seen;
    for (const ModelRunner& model : runners) seen.runners.push_back(model.runner);
    seen.version = 2;
    seen.elapsed = now;
    seen.window = kWindow;
    bool all = true;
    int64_t loading = 0;
    int64_t not_serving = 0;
    for (ModelRunner& model : runners) {
      RolloutRunner& runner = model.runner;
      model.left -= kStep;
      if (runner.phase == WeightLoadPhase::kLoading && model.left <= Duration{0}) {
        runner.phase = WeightLoadPhase::kServing;
        runner.weights_version = 2;
      } else if (runner.phase == WeightLoadPhase::kFinishing && model.left <= Duration{0} &&
                 seen.MayStartLoading(runner.id)) {
        runner.phase = WeightLoadPhase::kLoading;
        model.left = kLoadTime;
      } else if (runner.phase == WeightLoadPhase::kServing && runner.weights_version < 2 &&
                 seen.MayStartFinishing(runner.id)) {
        runner.phase = WeightLoadPhase::kFinishing;
        model.left = finish_time;
      }
      all = all && runner.weights_version == 2;
      loading += runner.phase == WeightLoadPhase::kLoading ? 1 : 0;
      not_serving += runner.phase != WeightLoadPhase::kServing ? 1 : 0;
    }
    if (now <= kWindow) {
      trace.max_loading = std::max(trace.max_loading, loading);
      trace.max_not_serving = std::max(trace.max_not_serving, not_serving);
    }
    trace.end = now;
    if (all) break;
  }
  return trace;
}

std::vector<ModelRunner> Runners(int count) {
  std::vector<ModelRunner> runners;
  for (int i = 0; i < count; ++i) {
    runners.push_back({{"runner-" + std::to_string(i), 1, WeightLoadPhase::kServing}, Duration{0}});
  }
  return runners;
}

}  // namespace

TEST_GROUP(LoadRollout){};

// Guards against a rollout under full traffic that leaves too few runners in service, or that does
// not end. With loads at fixed times only five of twelve runners stayed in service. Within the
// window at most a fifth of the runners load (two in small fleets); soon after it all have the new
// weights.
TEST(LoadRollout, FewLoadAtOnceAndAllLoad) {
  CheckProperty("a rollout is bounded and ends", [] {
    const int count = *rc::gen::inRange(1, 60);
    const Duration finish = Millis(*rc::gen::inRange(0, 25) * 100);
    const Trace trace = Simulate(Runners(count), finish);
    const int bound = std::max(std::max(1, std::min(2, count / 2)), count / 5);
    RC_ASSERT(trace.max_loading <= bound);
    RC_ASSERT(trace.max_not_serving <= 2 * bound);
    RC_ASSERT(trace.end < kWindow * 4 / 3 + Seconds(6));
  });
}

// Guards against runners of a small service that load at the same time because their processes have
// just started and do not hear each other, and against a rollout that never ends then.
TEST(LoadRollout, RunnersThatDoNotHearEachOtherLoadInTurn) {
  CheckProperty("few load at a time, and all in time", [] {
    const int count = *rc::gen::inRange(2, 4);
    std::vector<Duration> starts;
    for (int self = 0; self < count; ++self) {
      LoadRollout seen;
      for (int i = 0; i < count; ++i) {
        seen.runners.push_back({"runner-" + std::to_string(i), 1, WeightLoadPhase::kServing});
        seen.runners.back().heard = i == self;
      }
      seen.version = 2;
      seen.window = kWindow;
      while (!seen.MayStartLoading("runner-" + std::to_string(self))) {
        seen.elapsed += kStep;
        seen.watched += kStep;
        RC_ASSERT(seen.elapsed <= kWindow * 4 / 3 + kStep);
      }
      starts.push_back(seen.elapsed);
    }
    std::sort(starts.begin(), starts.end());
    for (size_t i = 1; i < starts.size(); ++i) RC_ASSERT(starts[i] - starts[i - 1] >= kLoadTime);
  });
}

// Guards against a rollout that waits for reports although most runners are heard.
TEST(LoadRollout, AMissingReportDelaysNoRolloutOfManyRunners) {
  LoadRollout seen;
  for (int i = 0; i < 12; ++i) {
    seen.runners.push_back({"runner-" + std::to_string(i), 1, WeightLoadPhase::kServing});
    seen.runners.back().heard = i < 8;
  }
  seen.version = 2;
  seen.window = kWindow;
  CHECK(seen.MayStartLoading("runner-0"));
}

// Guards against a runner that waits for runners which already have the weights, or for ever.
TEST(LoadRollout, TheLastRunnerLoadsAtOnce) {
  std::vector<ModelRunner> runners = Runners(12);
  for (size_t i = 0; i + 1 < runners.size(); ++i) runners[i].runner.weights_version = 2;
  CHECK(Simulate(runners, Duration{0}).end < Seconds(2));
}

}  // namespace fuchsiaweir
