// End-to-end tests on a stand-in of the users' platform: caller, gateway, runner and store.

#include <CppUTest/TestHarness.h>
#include <absl/strings/str_cat.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

#include "platform/names.h"
#include "process/fleet.h"

namespace fuchsiaweir::testing {
namespace {

std::string Events(int first, int last) {
  std::string text;
  for (int id = first; id <= last; ++id) {
    absl::StrAppend(&text, "id: ", id, "\ndata: token ", id, "\n\n");
  }
  return text;
}

}  // namespace

TEST_GROUP(GatewayPath){};

// Guards against a broken request path, and against header fields forged by a caller that reach a
// runner as if the gateway had set them.
TEST(GatewayPath, ForwardsAndSetsOnlyItsOwnFields) {
  Fleet fleet(1, 1);
  fleet.Start();
  const Reply reply = Send("POST", fleet.caller_port(0), "/unsafe/x?y=1", "a booking",
                           {{"Host", "fleet.example"},
                            {platform::kRequestIdHeader, "id-1"},
                            {platform::kTimeLeftHeader, "2000"},
                            {platform::kApiKeyHeader, "key-1"},
                            {platform::kTeamHeader, "forged"},
                            {platform::kCacheSaltHeader, "forged"},
                            {"X-Other", "kept"}});
  LONGS_EQUAL(200, reply.status);
  STRCMP_EQUAL("a booking", reply.body.c_str());
  STRCMP_EQUAL("id-1", HeaderValue(reply.headers, platform::kRequestIdHeader).c_str());
  STRCMP_EQUAL("stamp-runner0", HeaderValue(reply.headers, platform::kReceiptHeader).c_str());
  const boost::json::object headers = fleet.Stats(0).at("headers").as_object();
  STRCMP_EQUAL("alpha", headers.at(platform::kTeamHeader).as_string().c_str());
  STRCMP_EQUAL("kept", headers.at("X-Other").as_string().c_str());
  STRCMP_EQUAL("runner0", headers.at(platform::kExpectInstanceHeader).as_string().c_str());
  CHECK_FALSE(headers.contains(platform::kApiKeyHeader));
  CHECK_FALSE(headers.contains(platform::kCacheSaltHeader));
  LONGS_EQUAL(404,
              Send("POST", fleet.caller_port(0), "/none/", "", {{"Host", "fleet.example"}}).status);
  LONGS_EQUAL(401, fleet.Call("/safe/", "x", 0, "unknown").status);
}

// Guards against events that are lost, duplicated or changed when a runner breaks off a stream and
// another one resumes it, and against a stream that is buffered until it ends.
TEST(GatewayPath, AStreamGoesOnAtAnotherRunner) {
  Fleet fleet(1, 2);
  fleet.Start();
  const Reply uncut = fleet.Call("/stream/", "events=8");
  STRCMP_EQUAL(Events(1, 8).c_str(), uncut.body.c_str());
  fleet.InjectFault("runner0", R"({"cut_after": 3})");
  fleet.InjectFault("runner1", R"({"cut_after": 5})");
  // The runner that resumes the stream starts after the first one's last event and breaks off too.
  for (int i = 0; i < 4; ++i) {
    const Reply cut = fleet.Call("/stream/", "events=8");
    CHECK(cut.status != 200 || cut.body == Events(1, 8));
  }
  fleet.InjectFault("runner1", "{}");
  Eventually([&]() { return fleet.Call("/stream/", "events=8").body == Events(1, 8); });
}

// Guards against a stream without length or chunks that is taken for broken when its connection
// ends, or for complete when it ends inside an event.
TEST(GatewayPath, AnUnframedStreamEndsWithItsConnection) {
  Fleet fleet(1, 1);
  fleet.Start();
  fleet.InjectFault("runner0", R"({"unframed": 8})");
  const Reply complete = fleet.Call("/single/", "events=8");
  LONGS_EQUAL(200, complete.status);
  STRCMP_EQUAL(Events(1, 8).c_str(), complete.body.c_str());
  fleet.InjectFault("runner0", R"({"unframed": 3})");
  LONGS_EQUAL(0, fleet.Call("/single/", "events=8").status);
}

// Guards against requests that are lost one after the other on idle connections to a runner, all of
// which went silent together.
TEST(GatewayPath, SilentRunnerConnectionsCostOneRequest) {
  constexpr int kConnections = 4;
  Fleet fleet(1, 1);
  fleet.Start();
  {
    std::vector<std::jthread> callers;
    for (int i = 0; i < kConnections; ++i) {
      callers.emplace_back([&fleet]() { fleet.Call("/stream/", "events=10"); });
    }
  }
  fleet.InjectFault("runner0", R"({"silence_open_connections": true})");
  CHECK(Eventually([&]() { return fleet.Call("/safe/", "x").status == 200; }));
  const std::string log = fleet.Log("gateway0");
  const std::string silent = R"("sign":"silent")";
  const size_t first = log.find(silent);
  CHECK(first != std::string::npos);
  CHECK(log.find(silent, first + silent.size()) == std::string::npos);
}

// Guards against a truncated response that looks complete, and against a second run of a stream
// that cannot be resumed.
TEST(GatewayPath, AStreamThatCannotBeResumedIsCutVisibly) {
  Fleet fleet(1, 2);
  fleet.Start();
  fleet.InjectFault("runner0", R"({"cut_after": 3})");
  fleet.InjectFault("runner1", R"({"cut_after": 3})");
  LONGS_EQUAL(0, fleet.Call("/single/", "events=8").status);
  LONGS_EQUAL(1, fleet.Runs(0) + fleet.Runs(1));
}

// Guards against a second run of a request that must run at most once, and against a "not run"
// refusal of a request that may have run.
TEST(GatewayPath, AnUnsafeRequestRunsOnceAndItsLossIsNoRefusal) {
  Fleet fleet(1, 2);
  fleet.Start();
  fleet.InjectFault("runner0", R"({"lose": true})");
  fleet.InjectFault("runner1", R"({"lose": true})");
  LONGS_EQUAL(502, fleet.Call("/unsafe/", "booking").status);
  LONGS_EQUAL(1, fleet.Runs(0) + fleet.Runs(1));
  LONGS_EQUAL(502, fleet.Call("/safe/", "look-up").status);
  LONGS_EQUAL(3, fleet.Runs(0) + fleet.Runs(1));
}

// Guards against a refusal without Retry-After, and against a request that waits although no runner
// accepts it.
TEST(GatewayPath, FullRunnersAreRefusedAsNotRunWithATimeToReturn) {
  Fleet fleet(1, 1);
  fleet.Start();
  fleet.InjectFault("runner0", R"({"full": true})");
  const Reply reply = fleet.Call("/unsafe/", "booking");
  LONGS_EQUAL(503, reply.status);
  CHECK_FALSE(HeaderValue(reply.headers, "Retry-After").empty());
  LONGS_EQUAL(0, fleet.Runs(0));
}

// Guards against a caller that gets the response to another request. The runner sends an extra
// response, which arrives where the one to the next request is expected.
TEST(GatewayPath, ASecondAnswerNeverReachesACaller) {
  Fleet fleet(1, 1);
  fleet.Start();
  fleet.InjectFault("runner0", R"({"extra": true})");
  for (int i = 0; i < 20; ++i) {
    const Reply reply = fleet.Call("/unsafe/", absl::StrCat("booking ", i));
    LONGS_EQUAL(200, reply.status);
    STRCMP_EQUAL(absl::StrCat("booking ", i).c_str(), reply.body.c_str());
  }
}

// Guards against slow streams that are cut although their events keep coming.
TEST(GatewayPath, ASlowStreamIsWhole) {
  Fleet fleet(1, 2);
  fleet.Start();
  for (const char* runner : {"runner0", "runner1"}) {
    fleet.InjectFault(runner, R"({"event_interval_ms": 900})");
  }
  for (const char* path : {"/single/", "/stream/"}) {
    const Reply reply = fleet.Call(path, "events=3");
    STRCMP_EQUAL(Events(1, 3).c_str(), reply.body.c_str());
  }
  LONGS_EQUAL(2, fleet.Runs(0) + fleet.Runs(1));
}

// Guards against stalled streams that never end because a byte comes now and then.
TEST(GatewayPath, AStreamWithoutProgressEndsAtItsDeadline) {
  Fleet fleet(1, 2);
  fleet.Start();
  for (const char* runner : {"runner0", "runner1"}) {
    fleet.InjectFault(runner, R"({"trickle": true})");
  }
  for (const char* path : {"/single/", "/stream/"}) {
    const TimePoint start = SteadyNow();
    const Reply reply = fleet.Call(path, "events=3", 0, "key-1", 1'500);
    CHECK(reply.status != 200);
    CHECK(SteadyNow() - start < Millis(2'000));
  }
}

// Guards against running work that is started again elsewhere because its runner does not answer
// its sidecar for a while.
TEST(GatewayPath, AStreamGoesOnWhileItsRunnerDoesNotReport) {
  Fleet fleet(1, 2, /*sidecars=*/true);
  fleet.Start();
  SleepMillis(500);  // The first reports have arrived.
  Reply reply;
  std::jthread caller([&]() { reply = fleet.Call("/stream/", "events=140", 0, "key-1", 6'000); });
  CHECK(Eventually([&]() { return fleet.Runs(0) + fleet.Runs(1) == 1; }));
  for (const char* runner : {"runner0", "runner1"}) {
    fleet.InjectFault(runner, R"({"no_report": true})");
  }
  caller.join();
  STRCMP_EQUAL(Events(1, 140).c_str(), reply.body.c_str());
  LONGS_EQUAL(1, fleet.Runs(0) + fleet.Runs(1));
}

// Guards against a success response that does not come from a runner: it lacks the runner's
// receipt.
TEST(GatewayPath, AnAnswerWithoutAReceiptIsNoSuccess) {
  Fleet fleet(1, 1);
  fleet.Start();
  fleet.InjectFault("runner0", R"({"no_receipt": true})");
  LONGS_EQUAL(502, fleet.Call("/unsafe/", "booking").status);
}

// Guards against a runner that goes on with a request after the caller has disconnected.
TEST(GatewayPath, ACallerThatLeavesEndsItsRun) {
  Fleet fleet(1, 1);
  fleet.Start();
  Send("POST", fleet.caller_port(0), "/stream/", "events=1000",
       {{"Host", "fleet.example"},
        {platform::kRequestIdHeader, "leaves"},
        {platform::kApiKeyHeader, "key-1"}},
       Millis(300));
  CHECK(Eventually([&]() { return fleet.Stats(0).at("cancelled").to_number<int64_t>() == 1; },
                   Seconds(3)));
}

// Guards against a revoked key that is still accepted. A revocation arrives through the watch;
// while the store is unavailable, the gateway's authority to accept keys expires instead.
TEST(GatewayPath, RevokedKeysAreRefusedAlsoWithoutTheStore) {
  Fleet fleet(1, 1);
  fleet.Start();
  LONGS_EQUAL(200, fleet.Call("/safe/", "x", 0, "key-2").status);
  fleet.PutDesiredState({"key-1"});
  CHECK(Eventually([&]() { return fleet.Call("/safe/", "x", 0, "key-2").status == 401; },
                   Seconds(2)));
  fleet.InjectFault("store", R"({"down": true})");
  CHECK(Eventually([&]() { return fleet.Call("/safe/", "x").status == 503; }, Seconds(5)));
  CHECK_FALSE(fleet.Ready(0));
  fleet.InjectFault("store", R"({"down": false})");
  CHECK(Eventually([&]() { return fleet.Call("/safe/", "x").status == 200; }, Seconds(5)));
}

// Guards against requests that are sent to draining or evacuated runners, and against runners that
// stay unused after the evacuation ends.
TEST(GatewayPath, LeavingAndEvacuatedRunnersGetNothing) {
  Fleet fleet(1, 2);
  fleet.Start();
  fleet.ListRunner(0, "draining");
  const auto only_serves = [&](int runner) {
    const int64_t other = fleet.Runs(1 - runner);
    bool served = true;
    for (int i = 0; i < 6; ++i) served = served && fleet.Call("/safe/", "x").status == 200;
    return served && fleet.Runs(1 - runner) == other;
  };
  CHECK(Eventually([&]() { return only_serves(1); }, Seconds(3)));
  fleet.Put(platform::kEvacuationKind, "east", boost::json::object{});
  CHECK(Eventually([&]() { return fleet.Call("/safe/", "x").status == 503; }, Seconds(3)));
  fleet.Delete(platform::kEvacuationKind, "east");
  CHECK(Eventually([&]() { return only_serves(1); }, Seconds(3)));
}

// Guards against more requests to a cold runner than its limit. Requests that are placed at the
// same moment must count towards the limit while their connections are still being opened.
TEST(GatewayPath, AColdRunnerGetsNoMoreThanItsRateAtOnce) {
  Fleet fleet(1, 1);
  fleet.Start();
  // A log record shows when the gateway has seen that the runner is cold.
  fleet.ListRunner(0, "ready", 60'000);
  CHECK(Eventually([&]() {
    fleet.Call("/safe/", "x");
    return fleet.Log("gateway0").find("\"cold\":\"yes\"") != std::string::npos;
  }));
  const int64_t before = fleet.Runs(0);
  const TimePoint started_at = SteadyNow();
  std::vector<std::jthread> callers;
  for (int i = 0; i < 24; ++i) {
    callers.emplace_back([&fleet]() { fleet.Call("/safe/", "x"); });
  }
  callers.clear();
  // The limit is four requests a second; the calls may take more than a second on a busy machine.
  const int64_t seconds = 1 + (SteadyNow() - started_at) / Seconds(1);
  CHECK(fleet.Runs(0) - before <= 4 * seconds);
}

// Guards against a missed change: the store drops its history, so a watch cannot continue, and the
// desired state changes meanwhile.
TEST(GatewayPath, AForgottenHistoryIsReadAnew) {
  Fleet fleet(1, 1);
  fleet.Start();
  fleet.InjectFault("store", R"({"forget_history": true})");
  fleet.PutDesiredState({"key-3"});
  CHECK(Eventually([&]() { return fleet.Call("/safe/", "x", 0, "key-3").status == 200; },
                   Seconds(4)));
}

// Guards against a removed runner that is kept because of a store outage that is long over.
// Gateways that read from each other could keep reporting the outage to each other for ever.
TEST(GatewayPath, AnOutageThatIsOverHoldsNoRunner) {
  Fleet fleet(3, 2);
  fleet.Start();
  fleet.InjectFault("store", R"({"down": true})");
  CHECK(Eventually([&]() { return fleet.AllGatewaysLogged("\"store_lost\""); }));
  fleet.InjectFault("store", R"({"down": false})");
  CHECK(Eventually([&]() { return fleet.AllGatewaysLogged("\"store_regained\""); }));
  SleepMillis(4'000);  // Entries that expired in the outage would be listed again by now.
  fleet.Delete(platform::kRunnerKind, "runner1");
  const std::string gone = "\"runner_unlisted\",\"runner\":\"runner1\"";
  CHECK(Eventually([&]() { return fleet.AllGatewaysLogged(gone); }));
  for (const char* gateway : {"gateway0", "gateway1", "gateway2"}) {
    CHECK(fleet.Log(gateway).find("\"held\":\"yes\"") == std::string::npos);
  }
}

// Guards against a shutdown that truncates responses, and against a process that does not exit.
TEST(GatewayPath, AShutdownFinishesWhatRuns) {
  Fleet fleet(1, 1);
  fleet.Start();
  Reply reply;
  std::jthread caller([&]() { reply = fleet.Call("/stream/", "events=100"); });
  CHECK(Eventually([&]() { return fleet.Runs(0) == 1; }));
  fleet.Signal("gateway0", SIGTERM);
  CHECK(Eventually([&]() { return !fleet.Ready(0); }, Seconds(1)));
  LONGS_EQUAL(0, fleet.Wait("gateway0"));
  caller.join();
  STRCMP_EQUAL(Events(1, 100).c_str(), reply.body.c_str());
}

// Guards against an invalid settings file that stops the process or is applied on reload.
TEST(GatewayPath, AWrongSettingsFileIsRefusedAndLeavesTheProcessRunning) {
  Fleet fleet(1, 1);
  fleet.Start();
  std::ofstream(fleet.directory() + "/gateway0.ini", std::ios::app) << "[nonsense]\nkey = value\n";
  fleet.Signal("gateway0", SIGHUP);
  CHECK(Eventually(
      [&]() { return fleet.Log("gateway0").find("settings_refused") != std::string::npos; }));
  LONGS_EQUAL(200, fleet.Call("/safe/", "x").status);
}

// Guards against weights that are not loaded, and against a rollout that makes all runners of a
// small service unavailable at once.
TEST(GatewayPath, NamedWeightsAreLoadedEverywhere) {
  Fleet fleet(1, 2, true);
  fleet.Start();
  // The processes discover each other within seconds of their start. Until then the gateway has no
  // report of a runner and logs an age of -1.
  const auto has_report = [&](const std::string& runner) {
    LONGS_EQUAL(200, fleet.Call("/safe/", "x").status);
    std::istringstream lines(fleet.Log("gateway0"));
    for (std::string line; std::getline(lines, line);) {
      const bool sent = line.find("\"request_sent\"") != std::string::npos &&
                        line.find("\"runner\":\"" + runner + "\"") != std::string::npos;
      if (sent && line.find("\"report_age_ms\":\"-1\"") == std::string::npos) return true;
    }
    return false;
  };
  CHECK(Eventually([&]() { return has_report("runner0") && has_report("runner1"); }));
  fleet.Put(platform::kVersionKind, "model",
            boost::json::object{{"model", "model"}, {"version", 2}});
  CHECK(Eventually([&]() {
    LONGS_EQUAL(200, fleet.Call("/safe/", "x").status);
    return fleet.Stats(0).at("version").to_number<int64_t>() == 2 &&
           fleet.Stats(1).at("version").to_number<int64_t>() == 2;
  }));
  for (int i = 0; i < 20; ++i) LONGS_EQUAL(200, fleet.Call("/safe/", "x").status);
}

// Guards against a failed request whose id does not lead to the runner and the reason in the log.
TEST(GatewayPath, TheLogTellsWhyARequestFailed) {
  Fleet fleet(1, 1);
  fleet.Start();
  fleet.InjectFault("runner0", R"({"lose": true})");
  const Reply reply = fleet.Call("/unsafe/", "booking");
  LONGS_EQUAL(502, reply.status);
  const std::string id = HeaderValue(reply.headers, platform::kRequestIdHeader);
  CHECK(Eventually([&]() {
    const std::string log = fleet.Log("gateway0");
    return log.find("\"runner_failed\",\"request\":\"" + id) != std::string::npos &&
           log.find("\"request_refused\",\"request\":\"" + id) != std::string::npos;
  }));
  const std::string metrics = Send("GET", fleet.metrics_port(0), "/metrics").body;
  CHECK(metrics.find("fuchsiaweir_requests_total{") != std::string::npos);
}

}  // namespace fuchsiaweir::testing
