// Tests of processes that restart at the same address while others keep connections to them.

#include <CppUTest/TestHarness.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <atomic>
#include <boost/json.hpp>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "process/fleet.h"

namespace fuchsiaweir::testing {
namespace {

namespace json = boost::json;

constexpr int kGateways = 3;
constexpr int kCallers = 12;

}  // namespace

TEST_GROUP(Restarts) {
  Fleet fleet{kGateways, 3, /*sidecars=*/true};
  std::atomic<bool> stop = false;
  std::atomic<int> lost = 0;
  std::atomic<int> answered = 0;
  std::vector<std::jthread> callers;

  /// Sends requests to the gateways in turn. A request that is read must be answered; one whose
  /// connection is refused was not.
  void StartCallers(std::vector<int> gateways) {
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([this, i, gateways]() {
        for (size_t call = static_cast<size_t>(i); !stop; ++call) {
          const char* path = call % 3 == 0 ? "/safe/" : call % 3 == 1 ? "/unsafe/" : "/stream/";
          const Reply reply =
              fleet.Call(path, call % 3 == 2 ? "events=5" : "x", gateways[call % gateways.size()]);
          if (reply.status == 0) {
            ++lost;
          } else {
            ++answered;
          }
          SleepMillis(10);
        }
      });
    }
  }

  void StopCallers() {
    stop = true;
    callers.clear();
    stop = false;
  }

  void CheckServing() {
    for (int gateway = 0; gateway < kGateways; ++gateway) {
      CHECK(Eventually([&]() { return fleet.Ready(gateway); }, Seconds(5)));
      CHECK(Eventually([&]() { return fleet.Call("/unsafe/", "x", gateway).status == 200; },
                       Seconds(5)));
    }
  }

  void CheckNothingFailed() {
    for (const char* process : {"gateway", "sidecar"}) {
      for (int i = 0; i < kGateways; ++i) {
        const std::string log = fleet.Log(absl::StrCat(process, i));
        for (const char* event : {"operation_failed", "service_failed", "task_failed"}) {
          CHECK_TEXT(!absl::StrContains(log, event), absl::StrCat(process, i, " ", event).c_str());
        }
      }
    }
  }
};

// Guards against requests lost at gateways whose peers end and start again at the same address.
TEST(Restarts, OtherGatewaysLoseNothingWhileOneIsKilledAndStartsAgain) {
  fleet.Start();
  StartCallers({1, 2});
  for (int i = 0; i < 4; ++i) {
    fleet.Signal("gateway0", SIGKILL);
    fleet.Wait("gateway0");
    fleet.Restart("gateway0");
    SleepMillis(600);
  }
  StopCallers();
  LONGS_EQUAL(0, lost);
  CHECK(answered > 0);
  CheckServing();
  CheckNothingFailed();
}

// Guards against requests that were read and end without an answer when all gateways stop at once.
TEST(Restarts, AllGatewaysStopAtOnceAndAnswerWhatTheyRead) {
  fleet.Start();
  std::vector<std::jthread> streams;
  std::atomic<int> whole = 0;
  for (int i = 0; i < kCallers; ++i) {
    streams.emplace_back([this, i, &whole]() {
      const char* path = i % 2 == 0 ? "/stream/" : "/single/";
      if (fleet.Call(path, "events=50", i % kGateways).status != 0) ++whole;
    });
  }
  SleepMillis(200);
  for (int i = 0; i < kGateways; ++i) fleet.Signal(absl::StrCat("gateway", i), SIGTERM);
  streams.clear();
  LONGS_EQUAL(kCallers, whole);
  for (int i = 0; i < kGateways; ++i) LONGS_EQUAL(0, fleet.Wait(absl::StrCat("gateway", i)));
  for (int i = 0; i < kGateways; ++i) fleet.Restart(absl::StrCat("gateway", i));
  CheckServing();
  CheckNothingFailed();
}

// Guards against a gateway that does not start, or not become ready, because the store is down or
// silent when it starts while its peers know the state.
TEST(Restarts, AGatewayStartsFromItsPeersWhileTheStoreIsLost) {
  fleet.Start();
  for (const char* fault : {R"({"down": true})", R"({"down": false, "silent": true})"}) {
    fleet.InjectFault("store", fault);
    fleet.Signal("gateway0", SIGKILL);
    fleet.Wait("gateway0");
    fleet.Restart("gateway0");
    // Less than the time for which a gateway may accept keys without the store.
    SleepMillis(800);
    for (int gateway = 1; gateway < kGateways; ++gateway) {
      LONGS_EQUAL(200, fleet.Call("/unsafe/", "x", gateway).status);
    }
    fleet.InjectFault("store", R"({"down": false, "silent": false})");
    CheckServing();
  }
  CheckNothingFailed();
}

// Guards against requests lost, and processes that end, while sidecars and a runner start again
// during a rollout of weights.
TEST(Restarts, SidecarsAndARunnerStartAgainDuringARollout) {
  fleet.Start();
  fleet.Put("versions", "model", json::object{{"model", "model"}, {"version", 0}});
  SleepMillis(500);
  StartCallers({0, 1, 2});
  fleet.Put("versions", "model", json::object{{"model", "model"}, {"version", 2}});
  for (int i = 0; i < 3; ++i) {
    SleepMillis(300);
    const std::string sidecar = absl::StrCat("sidecar", i);
    fleet.Signal(sidecar, i == 0 ? SIGTERM : SIGKILL);
    fleet.Wait(sidecar);
    fleet.Restart(sidecar);
  }
  fleet.Signal("runner2", SIGKILL);
  fleet.Wait("runner2");
  fleet.Restart("runner2");
  fleet.ListRunner(2, "ready", 0, 2'000);
  SleepMillis(1'500);
  StopCallers();
  LONGS_EQUAL(0, lost);
  CheckServing();
  CheckNothingFailed();
}

}  // namespace fuchsiaweir::testing
