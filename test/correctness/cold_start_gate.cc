#include "core/cold_start_gate.h"

#include <CppUTest/TestHarness.h>

#include <vector>

#include "property.h"

namespace fuchsiaweir {
namespace {

const RunEnd kHealthy{true, Millis(20)};
const RunEnd kSlow{true, Millis(200)};
const RunEnd kFailed{false, Millis(20)};

/// Raises the gate to its maximum with healthy runs.
void Warm(ColdStartGate& gate) {
  std::vector<Admission> admissions;
  for (int i = 0; i < 100; ++i) {
    while (const auto admission = gate.TryAdmit()) admissions.push_back(*admission);
    gate.OnRunEnd(admissions.back(), kHealthy);
    admissions.pop_back();
  }
  for (const Admission& admission : admissions) gate.OnRunEnd(admission, kFailed);
}

}  // namespace

TEST_GROUP(ColdStartGate){};

// Guards against a gate that admits more runs than its current limit.
TEST(ColdStartGate, LimitIsNeverExceededUnderAnyInterleaving) {
  CheckProperty("an admission keeps own and external runs within the limit", [] {
    const int64_t cold_limit = *rc::gen::inRange(1, 4);
    const int64_t max_concurrent = *rc::gen::inRange<int64_t>(cold_limit, 20);
    ColdStartGate gate({cold_limit, max_concurrent, Millis(46)});
    std::vector<Admission> open;
    for (const int step : *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 100))) {
      const int64_t before = gate.limit();
      if (step < 50) {
        if (const auto admission = gate.TryAdmit()) {
          open.push_back(*admission);
          RC_ASSERT(gate.running() + gate.external_runs() <= gate.limit());
        }
      } else if (step < 90 && !open.empty()) {
        const bool stale = step % 2 == 0;
        const Admission admission = stale ? open.front() : open.back();
        open.erase(stale ? open.begin() : open.end() - 1);
        const RunEnd end = step < 80 ? kHealthy : step < 85 ? kSlow : kFailed;
        gate.OnRunEnd(admission, end);
        if (step >= 80) RC_ASSERT(gate.limit() <= before);
      } else if (step < 93) {
        gate.OnEngineInstance(std::to_string(step));
        RC_ASSERT(gate.limit() <= before);
      } else {
        gate.OnLoadReport({step - 90, 0, Millis(step)});
        RC_ASSERT(gate.limit() <= before);
      }
      RC_ASSERT(gate.running() == static_cast<int64_t>(open.size()));
      RC_ASSERT(gate.limit() >= cold_limit);
      RC_ASSERT(gate.limit() <= max_concurrent);
    }
  });
}

// Guards against a runner that becomes cold again and keeps its raised limit.
TEST(ColdStartGate, ResetsAtOnceOnEveryIndicationOfAColdStart) {
  const GateLimits limits{2, 16, Millis(46)};
  for (int indication = 0; indication < 4; ++indication) {
    ColdStartGate gate(limits);
    gate.OnEngineInstance("a");
    Warm(gate);
    LONGS_EQUAL(16, gate.limit());
    if (indication == 0) gate.OnEngineInstance("b");
    if (indication == 1) gate.OnLoadReport({40, 0, Millis(20)});
    if (indication == 2) gate.OnLoadReport({0, 40, Millis(20)});
    if (indication == 3) gate.OnLoadReport({1, 0, Millis(150)});
    LONGS_EQUAL(2, gate.limit());
  }
  LONGS_EQUAL(2, ColdStartGate(limits).limit());
}

// Guards against runs of a former instance that raise the limit of a new, cold one.
TEST(ColdStartGate, RunsAdmittedBeforeTheResetDoNotRaiseTheLimit) {
  ColdStartGate gate({1, 16, Millis(46)});
  Warm(gate);
  std::vector<Admission> old;
  while (const auto admission = gate.TryAdmit()) old.push_back(*admission);
  gate.OnEngineInstance("new");
  CHECK(!gate.TryAdmit());
  for (const Admission& admission : old) gate.OnRunEnd(admission, kHealthy);
  LONGS_EQUAL(1, gate.limit());
}

// Guards against concurrent runs on a runner that has not completed its warm-up runs.
TEST(ColdStartGate, LimitStaysColdUntilTheWarmUpRunsCompleted) {
  ColdStartGate gate({1, 16, Millis(46), 4});
  for (int round = 0; round < 2; ++round) {
    gate.ResetToCold();
    for (int i = 0; i < 4; ++i) {
      LONGS_EQUAL(1, gate.limit());
      gate.OnRunEnd(*gate.TryAdmit(), kHealthy);
    }
    LONGS_EQUAL(2, gate.limit());
  }
}

// Guards against a limit that rises although the runner has never run at its current limit.
TEST(ColdStartGate, RunsBelowTheLimitDoNotRaiseIt) {
  ColdStartGate gate({4, 16, Millis(46)});
  for (int i = 0; i < 100; ++i) gate.OnRunEnd(*gate.TryAdmit(), kHealthy);
  LONGS_EQUAL(4, gate.limit());
}

// Guards against a restarted agent that does not count the runs of its predecessor.
TEST(ColdStartGate, RunsOfAFormerAgentCount) {
  ColdStartGate gate({2, 16, Millis(46)});
  gate.OnLoadReport({2, 0, Millis(20)});
  CHECK(!gate.TryAdmit());
  gate.OnLoadReport({1, 0, Millis(20)});
  CHECK(gate.TryAdmit().has_value());
  CHECK(!gate.TryAdmit());
}

// Guards against undercounting the runs of a former agent: a run that this gate admitted after the
// engine compiled its report would be subtracted from them.
TEST(ColdStartGate, LaggingReportsNeverHideExternalRuns) {
  CheckProperty("an admission keeps the engine's real load within the limit", [] {
    ColdStartGate gate({*rc::gen::inRange<int64_t>(1, 6), 6, Millis(46)});
    int64_t external_runs = *rc::gen::inRange(0, 8);
    gate.OnLoadReport({external_runs, 0, Duration{0}});
    std::vector<Admission> own;
    int64_t reported = external_runs;
    for (const int step : *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 20))) {
      const auto load = static_cast<int64_t>(own.size()) + external_runs;
      if (step > 0 && step <= 4) reported = load;
      if (step == 0 && external_runs > 0) --external_runs;
      if ((step == 5 || step == 6) && !own.empty()) {
        gate.OnRunEnd(own.back(), kFailed);
        own.pop_back();
      }
      if (step >= 7 && step <= 10) {
        gate.OnLoadReport({reported, 0, Duration{0}});
        reported = static_cast<int64_t>(own.size()) + external_runs;
      }
      if (step <= 10) continue;
      const auto admission = gate.TryAdmit();
      if (!admission) continue;
      own.push_back(*admission);
      RC_ASSERT(load + 1 <= gate.limit());
    }
  });
}

}  // namespace fuchsiaweir
