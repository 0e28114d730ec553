// Tests of gateways whose runners say that they leave, or that they want no requests for a time.

#include <CppUTest/TestHarness.h>
#include <absl/strings/numbers.h>
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

constexpr int kCallers = 6;
constexpr int64_t kCallIntervalMs = 30;
/// Requests that were under way when the runner spoke have arrived after this time.
constexpr Duration kUnderWay = Millis(500);
/// Requests that the operators tolerate in the rest of a pause.
constexpr int64_t kMaxArrivalsInPause = 2;
constexpr double kPauseSeconds = 2.5;
/// Longest time in which a request that no runner takes is refused. Its deadline is 3 s.
constexpr Duration kMaxRefusalTime = Millis(300);

}  // namespace

TEST_GROUP(RunnerNotices) {
  struct Outcome {
    int status = 0;
    Duration took{0};
    double retry_after_s = 0;
  };

  Fleet fleet{1, 2};
  std::atomic<bool> stopped = false;
  std::vector<std::thread> callers;
  std::mutex mutex;
  std::vector<Outcome> outcomes;

  void teardown() override { StopCallers(); }

  void StartCallers() {
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([this, i]() {
        while (!stopped) {
          Call(i % 2 == 0 ? "/safe/" : "/unsafe/");
          SleepMillis(kCallIntervalMs);
        }
      });
    }
  }

  Outcome Call(const std::string& path) {
    const TimePoint start = SteadyNow();
    const Reply reply = fleet.Call(path, "x");
    Outcome outcome{reply.status, SteadyNow() - start, 0};
    static_cast<void>(
        absl::SimpleAtod(HeaderValue(reply.headers, "Retry-After"), &outcome.retry_after_s));
    const std::lock_guard<std::mutex> lock(mutex);
    outcomes.push_back(outcome);
    return outcome;
  }

  void StopCallers() {
    stopped = true;
    for (std::thread& caller : callers) caller.join();
    callers.clear();
  }

  /// Returns how many requests have arrived at the runner since `since` (steady clock).
  int64_t ArrivalsSince(int runner, TimePoint since) {
    return fleet.MostArrivals(runner, since, std::chrono::hours(1));
  }

  void ExpectNoNewArrivals(int runner, int64_t ms) {
    const TimePoint since = SteadyNow();
    SleepMillis(ms);
    LONGS_EQUAL(0, ArrivalsSince(runner, since));
  }

  void Pause(int runner, const std::string& retry_after) {
    fleet.InjectFault(absl::StrCat("runner", runner), "{\"pause\": \"" + retry_after + "\"}");
  }
};

// Guards against requests to a runner that has said in its answers that it leaves, while the list
// still names it as ready, after its entry came back and while the store cannot be reached.
TEST(RunnerNotices, ALeavingRunnerGetsNothingNew) {
  fleet.Start();
  StartCallers();
  SleepMillis(500);
  CHECK(ArrivalsSince(0, SteadyNow() - Millis(500)) > 0);
  fleet.InjectFault("runner0", R"({"leaving": true})");
  SleepMillis(ToMillis(kUnderWay));
  ExpectNoNewArrivals(0, 500);
  fleet.Delete("servers", "runner0");
  SleepMillis(600);
  fleet.ListRunner(0);
  ExpectNoNewArrivals(0, 1'000);
  fleet.InjectFault("store", R"({"down": true})");
  ExpectNoNewArrivals(0, 1'500);
  fleet.InjectFault("store", R"({"down": false})");
  ExpectNoNewArrivals(0, 500);
  StopCallers();
  for (const Outcome& outcome : outcomes) LONGS_EQUAL(200, outcome.status);
  CHECK(fleet.Log("gateway0").find("runner_leaving") != std::string::npos);
}

// Guards against a departure that outlives the start of the runner that announced it.
TEST(RunnerNotices, ANewStartAtTheAddressServesAtOnce) {
  fleet.Start();
  fleet.InjectFault("runner0", R"({"leaving": true})");
  StartCallers();
  SleepMillis(700);
  ExpectNoNewArrivals(0, 300);
  fleet.InjectFault("runner0", "{}");
  fleet.ListRunner(0, "ready", 0, 2'000);
  const TimePoint since = SteadyNow();
  CHECK(Eventually([&]() { return ArrivalsSince(0, since) > 0; }, Seconds(2)));
}

// Guards against a failed response, which also tells of a departure, being ignored.
TEST(RunnerNotices, AFailedResponseTellsOfADepartureToo) {
  fleet.Start();
  fleet.InjectFault("runner0", R"({"leaving": true, "fail": true})");
  StartCallers();
  SleepMillis(700);
  ExpectNoNewArrivals(0, 500);
}

// Guards against a runner that asks for a pause and is sent requests all the same, also while the
// gateway stands still and while the store is down.
TEST(RunnerNotices, APausedRunnerGetsNothingUntilItsPauseEnds) {
  fleet.Start();
  StartCallers();
  SleepMillis(300);
  Pause(0, absl::StrCat(kPauseSeconds));
  const TimePoint asked_at = SteadyNow();
  fleet.InjectFault("store", R"({"down": true})");
  SleepMillis(ToMillis(kUnderWay));
  const TimePoint since = SteadyNow();
  SleepMillis(500);
  fleet.Signal("gateway0", SIGSTOP);
  SleepMillis(300);
  fleet.Signal("gateway0", SIGCONT);
  SleepMillis(ToMillis(asked_at + Micros(static_cast<int64_t>(kPauseSeconds * 1e6)) - SteadyNow()));
  CHECK_COMPARE(ArrivalsSince(0, since), <=, kMaxArrivalsInPause);
  fleet.InjectFault("runner0", "{}");
  fleet.InjectFault("store", R"({"down": false})");
  const TimePoint ended_at = SteadyNow();
  CHECK(Eventually([&]() { return ArrivalsSince(0, ended_at) > 0; }, Seconds(4)));
  CHECK(fleet.Log("gateway0").find("runner_paused") != std::string::npos);
}

// Guards against callers that wait for their deadline, or are told to return too early, while all
// runners of the service are paused.
TEST(RunnerNotices, CallersAreToldWhenTheFirstPauseEnds) {
  fleet.Start();
  Pause(0, "8");
  Pause(1, "5");
  const TimePoint asked_at = SteadyNow();
  while (SteadyNow() - asked_at < Seconds(1)) {
    Call("/unsafe/");
    SleepMillis(kCallIntervalMs);
  }
  const Outcome refused = Call("/unsafe/");
  const double end_s = 5 - ToSeconds(SteadyNow() - asked_at);
  LONGS_EQUAL(503, refused.status);
  CHECK(refused.took < kMaxRefusalTime);
  // The pause began with the runner's answer, up to one second after the fault was set.
  CHECK(refused.retry_after_s >= end_s);
  const Reply safe = fleet.Call("/safe/", "x");
  LONGS_EQUAL(503, safe.status);
  const std::string log = fleet.directory() + "/gateway0.log";
  std::string trace;
  CHECK(Eventually([&]() {
    return fleet.RunOperatorCommand(
               {"trace", HeaderValue(safe.headers, "X-Fuchsiaweir-Request-Id"), log}, &trace) == 0;
  }));
  CHECK(trace.find("no runner takes the request: paused") != std::string::npos);
  CHECK(trace.find("runner_paused") != std::string::npos);
}

// Guards against a value that is no number of seconds and takes a runner out, or ends the process.
TEST(RunnerNotices, OddPausesAreBounded) {
  fleet.Start();
  for (const char* value : {"-1", "nan", "Wed, 21 Oct 2026 07:28:00 GMT", "1e", "0"}) {
    Pause(0, value);
    Pause(1, value);
    Call("/unsafe/");
    fleet.InjectFault("runner0", "{}");
    fleet.InjectFault("runner1", "{}");
    CHECK(Eventually([&]() { return fleet.Call("/unsafe/", "x").status == 200; }, Seconds(4)));
  }
  Pause(0, "1e300");
  Pause(1, "inf");
  SleepMillis(10);
  CHECK(Eventually([&]() { return Call("/unsafe/").retry_after_s > 100; }, Seconds(2)));
  CHECK(fleet.Log("gateway0").find("runner_pause_out_of_range") != std::string::npos);
}

}  // namespace fuchsiaweir::testing
