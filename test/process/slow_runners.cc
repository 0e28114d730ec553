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

// Guards against attempts that are given up because of time in which this host stood still, and its
// gateway could read no answer.
TEST(SlowRunners, TimeInWhichTheGatewayWasSuspendedDoesNotCount) {
  fleet.Start();
  SetWork(R"({"work_ms": 300})");
  std::jthread suspension([&]() {
    const std::vector<std::string> processes{"gateway0", "runner0", "runner1"};
    SleepMillis(150);
    for (const std::string& process : processes) fleet.Signal(process, SIGSTOP);
    SleepMillis(1'500);
    for (const std::string& process : processes) {
      fleet.Signal(process, SIGCONT);
      SleepMillis(100);
    }
  });
  LONGS_EQUAL(kCallers, CallFromAll("/safe/", "x"));
  suspension.join();
  LONGS_EQUAL(kCallers, fleet.Runs(0) + fleet.Runs(1));
}

// Guards against attempts that are all given up for the same free place: the others ended in 502.
TEST(SlowRunners, AFreePlaceIsAReasonToGiveUpOneAttempt) {
  fleet.Start();
  SetWork(R"({"work_ms": 1800})");
  fleet.ListRunner(1, "ready", 60'000);  // Takes four requests a second.
  CHECK(Eventually(
      [&]() { return fleet.Log("gateway0").find("\"cold_ms\":\"60000\"") != std::string::npos; }));
  LONGS_EQUAL(kCallers, CallFromAll("/safe/", "x"));
}

// Guards against a stream whose runner sends bytes but no event, and that stays there although
// another runner would serve it.
TEST(SlowRunners, AStreamWithoutAnEventMovesToAnotherRunner) {
  fleet.Start();
  fleet.InjectFault("runner0", R"({"trickle": true})");
  for (int i = 0; i < 4; ++i) {
    const Reply reply = fleet.Call("/stream/", "events=3");
    LONGS_EQUAL(200, reply.status);
    CHECK(reply.body.ends_with("id: 3\ndata: token 3\n\n"));
  }
}

/// Streams of runners with sidecars that stand still and go on.
TEST_GROUP(SuspendedRunners) { Fleet fleet{1, 2, /*sidecars=*/true}; };

// Guards against streams that are cut because their runners and sidecars have been silent, although
// there is no other runner to go on with them.
TEST(SuspendedRunners, StreamsGoOnWithTheirRunners) {
  fleet.Start();
  CHECK(Eventually([&]() { return fleet.Call("/stream/", "events=1").status == 200; }));
  std::jthread suspension([&]() {
    SleepMillis(200);
    for (const char* runner : {"runner0", "runner1"}) fleet.Signal(runner, SIGSTOP);
    SleepMillis(2'000);
    for (const char* runner : {"runner0", "runner1"}) fleet.Signal(runner, SIGCONT);
  });
  std::atomic<int> complete = 0;
  std::vector<std::jthread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&]() {
      const std::string body = fleet.Call("/stream/", "events=30").body;
      complete += body.ends_with("id: 30\ndata: token 30\n\n") ? 1 : 0;
    });
  }
  callers.clear();
  LONGS_EQUAL(kCallers, complete);
}

}  // namespace fuchsiaweir::testing
