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
  Duration left{0};  ///< Time that the current phase still takes.
};

/// What a rollout looked like from outside.
struct Trace {
  Duration end{0};
  int64_t most_loading = 0;
  int64_t most_without_single = 0;
};

/// Plays a rollout in which each runner decides from what the others reported one step before.
Trace Play(std::vector<ModelRunner> runners, Duration finish_time) {
  Trace trace;
  for (Duration now{0}; now < Seconds(60); now += kStep) {
    LoadRollout seen;
    for (const ModelRunner& model : runners) seen.runners.push_back(model.runner);
    seen.version = 2;
    seen.elapsed = now;
    seen.window = kWindow;
    bool all = true;
    int64_t loading = 0;
    int64_t busy = 0;
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
      busy += runner.phase != WeightLoadPhase::kServing ? 1 : 0;
    }
    if (now <= kWindow) {
      trace.most_loading = std::max(trace.most_loading, loading);
      trace.most_without_single = std::max(trace.most_without_single, busy);
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

// Replays weights that are named under full traffic for fleets of any size. Guards against too few
// runners left, which with turns at fixed times were five of twelve, and against a rollout that
// does not end: within the window at most a fifth load, and all have the weights soon after it.
TEST(LoadRollout, FewLoadAtOnceAndAllLoad) {
  CheckProperty("a rollout is bounded and ends", [] {
    const int count = *rc::gen::inRange(1, 60);
    const Duration finish = Millis(*rc::gen::inRange(0, 25) * 100);
    const Trace trace = Play(Runners(count), finish);
    const int bound = std::max(std::max(1, std::min(2, count / 2)), count / 5);
    RC_ASSERT(trace.most_loading <= bound);
    RC_ASSERT(trace.most_without_single <= 2 * bound);
    RC_ASSERT(trace.end < kWindow * 4 / 3 + Seconds(6));
  });
}

// Guards against a runner that waits for its turn behind runners that have the weights, or for
// ever.
TEST(LoadRollout, TheLastRunnerLoadsAtOnce) {
  std::vector<ModelRunner> runners = Runners(12);
  for (size_t i = 0; i + 1 < runners.size(); ++i) runners[i].runner.weights_version = 2;
  CHECK(Play(runners, Duration{0}).end < Seconds(2));
}

}  // namespace fuchsiaweir
