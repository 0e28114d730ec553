// Tests of requests whose runners, sidecars or gateway are slow or suspended, but work.

#include <CppUTest/TestHarness.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <atomic>
#include <csignal>
#include <sstream>
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

/// Three runners with sidecars, the first of which stands still with its sidecar.
TEST_GROUP(HostThatStandsStill) {
  Fleet fleet{1, 3, /*sidecars=*/true};

  /// Returns how many requests were sent to the runner, or those while its load was known.
  int64_t Sent(const std::string& runner, bool load_known = false) {
    int64_t sent = 0;
    std::istringstream log(fleet.Log("gateway0"));
    for (std::string line; std::getline(log, line);) {
      const bool counts = absl::StrContains(line, R"("event":"request_sent")") &&
                          absl::StrContains(line, absl::StrCat(R"("runner":")", runner, "\"")) &&
                          !(load_known && absl::StrContains(line, R"("report_age_ms":"-1")"));
      sent += counts ? 1 : 0;
    }
    return sent;
  }
  int64_t SentToFirst() { return Sent("runner0"); }

  /// Starts everything and waits until the reports of all runners arrive.
  bool StartWithReports() {
    fleet.Start();
    return Eventually([&]() {
      fleet.Call("/safe/", "x");
      return Sent("runner0", true) > 0 && Sent("runner1", true) > 0 && Sent("runner2", true) > 0;
    });
  }

  /// Calls the route from all callers again and again while this object lives.
  class Callers {
   public:
    Callers(Fleet& fleet, const std::string& path, int deadline_ms) {
      for (int i = 0; i < kCallers; ++i) {
        threads_.emplace_back([&fleet, path, deadline_ms](const std::stop_token& stop) {
          while (!stop.stop_requested()) {
            fleet.Call(path, "x", 0, "key-1", deadline_ms);
            SleepMillis(20);
          }
        });
      }
    }

   private:
    std::vector<std::jthread> threads_;
  };

  void Suspend(int signal) {
    for (const char* process : {"runner0", "sidecar0"}) fleet.Signal(process, signal);
  }
};

// Guards against requests that are sent to a host that stands still, and reach its runner when it
// goes on, after their callers have left: once the last report was too old, the runner looked idle.
TEST(HostThatStandsStill, GetsNoRequestsOnceItsSilenceIsKnown) {
  CHECK(StartWithReports());
  Suspend(SIGSTOP);
  SleepMillis(1'400);  // Its last report is too old to be used.
  const int64_t sent = SentToFirst();
  const Callers callers(fleet, "/unsafe/", 2'900);
  SleepMillis(1'000);
  const int64_t sent_later = SentToFirst() - sent;
  Suspend(SIGCONT);
  LONGS_EQUAL(0, sent_later);
  CHECK(Eventually([&]() { return SentToFirst() > sent; }));
}

// Guards against a runner that gets no requests because its sidecar has ended.
TEST(HostThatStandsStill, GetsRequestsIfOnlyItsSidecarIsSuspended) {
  CHECK(StartWithReports());
  fleet.Signal("sidecar0", SIGSTOP);
  SleepMillis(2'000);  // No caller and no report tells of the runner.
  const int64_t sent = SentToFirst();
  const Callers callers(fleet, "/safe/", 2'000);
  CHECK(Eventually([&]() { return SentToFirst() > sent; }, Seconds(2)));
  fleet.Signal("sidecar0", SIGCONT);
}

}  // namespace fuchsiaweir::testing
