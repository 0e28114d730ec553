// Tests of requests whose runners, sidecars or gateway are slow or suspended, but work.

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "process/fleet.h"

namespace fuchsiaweir::testing {
namespace {

constexpr int kCallers = 16;

}  // namespace

TEST_GROUP(SlowRunners) {
  Fleet fleet{1, 2};

  void SetWork(const std::string& fault) {
    for (const char* runner : {"runner0", "runner1"}) fleet.InjectFault(runner, fault);
  }

  /// Calls the route from all callers at the same time. Returns the number of answers with 200.
  int CallFromAll(const std::string& path, const std::string& body) {
    std::atomic<int> served = 0;
    std::vector<std::jthread> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([&]() { served += fleet.Call(path, body).status == 200 ? 1 : 0; });
    }
    callers.clear();
    return served;
  }
};

// Guards against requests that are given up although their runners work on them and no other one
// is better: each ended in 502, and then the service refused everything.
TEST(SlowRunners, RequestsToASlowServiceAreAnswered) {
  fleet.Start();
  SetWork(R"({"work_ms": 1200})");
  LONGS_EQUAL(kCallers, CallFromAll("/safe/", "x"));
  LONGS_EQUAL(kCallers, CallFromAll("/safe/", "x"));
}

// Guards against attempts that are given up by the time that passed while the gateway itself was
// suspended, although their answers are there to be read.
TEST(SlowRunners, ASuspendedGatewayReadsTheAnswersThatArrivedMeanwhile) {
  fleet.Start();
  SetWork(R"({"work_ms": 300})");
  std::jthread suspension([&]() {
    SleepMillis(150);
    fleet.Signal("gateway0", SIGSTOP);
    SleepMillis(1'500);
    fleet.Signal("gateway0", SIGCONT);
  });
  LONGS_EQUAL(kCallers, CallFromAll("/safe/", "x"));
  suspension.join();
  LONGS_EQUAL(kCallers, fleet.Runs(0) + fleet.Runs(1));
}

}  // namespace fuchsiaweir::testing
