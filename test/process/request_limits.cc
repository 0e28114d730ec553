// Tests of gateways whose runners name a limit of the requests that they take.

#include <CppUTest/TestHarness.h>
#include <absl/strings/str_cat.h>

#include <atomic>
#include <csignal>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "process/fleet.h"

namespace fuchsiaweir::testing {
namespace {

constexpr int kGateways = 4;
constexpr double kLimitPerSecond = 3.4;
/// Time in which the arrivals at a runner are counted.
constexpr Duration kCountedWindow = Seconds(4);
/// Arrivals in that time that the operators tolerate: one and a half times the limit, and five.
constexpr int64_t kMaxArrivals = static_cast<int64_t>(1.5 * kLimitPerSecond * 4) + 5;
/// Time in which all gateways learn of a limit.
constexpr Duration kLearningTime = Millis(500);
constexpr int kCallersPerGateway = 3;
constexpr int64_t kCallIntervalMs = 50;
/// Longest time in which a request that no runner takes is refused. Its deadline is 3 s.
constexpr Duration kMaxRefusalTime = Millis(500);

}  // namespace

TEST_GROUP(RequestLimits) {
  struct Outcome {
    int status = 0;
    Duration took{0};
    bool has_retry_after = false;
  };

  Fleet fleet{kGateways, 2};
  std::atomic<bool> stopped = false;
  std::vector<std::thread> callers;
  std::mutex mutex;
  std::vector<Outcome> outcomes;

  void teardown() override { StopCallers(); }

  /// Lets callers send requests to each gateway, each caller one after the other.
  void StartCallers() {
    for (int i = 0; i < kGateways * kCallersPerGateway; ++i) {
      callers.emplace_back([this, i]() {
        while (!stopped) {
          const TimePoint start = SteadyNow();
          const Reply reply = fleet.Call("/safe/", "x", i % kGateways);
          Record({reply.status, SteadyNow() - start,
                  !HeaderValue(reply.headers, "Retry-After").empty()});
          SleepMillis(kCallIntervalMs);
        }
      });
    }
  }

  void Record(const Outcome& outcome) {
    const std::lock_guard<std::mutex> lock(mutex);
    outcomes.push_back(outcome);
  }

  void StopCallers() {
    stopped = true;
    for (std::thread& caller : callers) caller.join();
    callers.clear();
  }

  void Limit(int runner) {
    fleet.InjectFault(absl::StrCat("runner", runner),
                      absl::StrCat("{\"limit\": \"", kLimitPerSecond, "\"}"));
  }

  void StartFleet() {
    fleet.Start();
    SleepMillis(1'500);  // The gateways have listed each other.
    StartCallers();
    SleepMillis(500);
  }
};

// Guards against gateways that together send a runner more requests than it says it takes.
TEST(RequestLimits, ALimitHoldsOverAllGatewaysTogether) {
  StartFleet();
  Limit(0);
  const TimePoint limited_at = SteadyNow();
  SleepMillis(8'000);
  StopCallers();
  CHECK_COMPARE(fleet.MostArrivals(0, limited_at + kLearningTime, kCountedWindow), <=,
                kMaxArrivals);
  CHECK_COMPARE(fleet.MostArrivals(0, limited_at + kLearningTime, kCountedWindow), >, 0);
  for (const Outcome& outcome : outcomes) LONGS_EQUAL(200, outcome.status);
}

// Guards against a limit that some gateways lose because they stood still, were restarted or had
// not heard of it when it was named.
TEST(RequestLimits, ALimitHoldsWhileGatewaysStopAndReturn) {
  StartFleet();
  fleet.Signal("gateway3", SIGSTOP);
  Limit(0);
  const TimePoint limited_at = SteadyNow();
  SleepMillis(2'000);
  fleet.Signal("gateway3", SIGCONT);
  fleet.Restart("gateway2");
  SleepMillis(2'000);
  fleet.Signal("gateway1", SIGSTOP);
  SleepMillis(1'500);
  fleet.Signal("gateway1", SIGCONT);
  fleet.Restart("gateway2");
  SleepMillis(4'000);
  StopCallers();
  CHECK_COMPARE(fleet.MostArrivals(0, limited_at + kLearningTime, kCountedWindow), <=,
                kMaxArrivals);
}

// Guards against requests that wait for their deadline, or end without a time to come back, when
// no runner takes them.
TEST(RequestLimits, RequestsBeyondTheLimitsOfAllRunnersAreRefusedAtOnce) {
  StartFleet();
  Limit(0);
  Limit(1);
  SleepMillis(1'000);
  const TimePoint limited_at = SteadyNow();
  {
    const std::lock_guard<std::mutex> lock(mutex);
    outcomes.clear();
  }
  SleepMillis(5'000);
  StopCallers();
  for (int i = 0; i < 2; ++i) {
    CHECK_COMPARE(fleet.MostArrivals(i, limited_at, kCountedWindow), <=, kMaxArrivals);
  }
  int served = 0;
  for (const Outcome& outcome : outcomes) {
    served += outcome.status == 200;
    if (outcome.status == 200) continue;
    LONGS_EQUAL(503, outcome.status);
    CHECK(outcome.has_retry_after);
    CHECK(outcome.took < kMaxRefusalTime);
  }
  CHECK(served > 0);
}

// Guards against a gateway that learns of a limit only by exceeding it.
TEST(RequestLimits, GatewaysTellEachOtherOfALimit) {
  fleet.Start();
  SleepMillis(1'500);  // The gateways have listed each other.
  Limit(0);
  Limit(1);
  LONGS_EQUAL(200, fleet.Call("/safe/", "x").status);
  CHECK(Eventually([&]() { return fleet.AllGatewaysLogged("runner_limit"); }, kLearningTime));
}

// Guards against a limit that outlives its need.
TEST(RequestLimits, ARunnerWithoutNeedGetsAllItsRequestsAgain) {
  StartFleet();
  Limit(0);
  SleepMillis(2'000);
  fleet.InjectFault("runner0", "{}");
  CHECK(Eventually([&]() {
    return fleet.MostArrivals(0, SteadyNow() - Seconds(2), Seconds(2)) > 3 * kMaxArrivals / 2;
  }));
}

}  // namespace fuchsiaweir::testing
