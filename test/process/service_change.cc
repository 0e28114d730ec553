#include <CppUTest/TestHarness.h>

#include <csignal>
#include <string>
#include <thread>

#include "process/deployment.h"

namespace fuchsiaweir::testing {
namespace {

int64_t Started(Deployment& deployment, const std::string& engine) {
  return deployment.Stats(engine).at("started").as_int64();
}

/// Sends requests that all must be answered and returns how many of them the engine started.
int64_t StartedOf(Deployment& deployment, const std::string& engine, int requests) {
  const int64_t before = Started(deployment, engine);
  for (int i = 0; i < requests; ++i) {
    LONGS_EQUAL(200, deployment.Complete(MakePrompt(10, i), 1).status);
  }
  return Started(deployment, engine) - before;
}

}  // namespace

TEST_GROUP(ServiceChange){};

// Guards against a --wait that returns before the drain is in force, and against a data centre
// that stays out after it was restored.
TEST(ServiceChange, DrainsAndRestoresADataCentre) {
  Deployment deployment;
  deployment.Start();
  LONGS_EQUAL(0, deployment.RunPlatformCommand({"drain", "dc", "east", "--who=test", "--wait"}));
  CHECK(deployment.AllAtRevision(2));
  LONGS_EQUAL(503, Send("GET", deployment.port("entry0"), "/readyz").status);
  LONGS_EQUAL(0, StartedOf(deployment, "engine0", 20));
  LONGS_EQUAL(0, deployment.RunPlatformCommand({"restore", "dc", "east", "--who=test", "--wait"}));
  LONGS_EQUAL(200, Send("GET", deployment.port("entry0"), "/readyz").status);
  CHECK(StartedOf(deployment, "engine0", 20) > 0);
}

// Guards against a --wait that reports success while a process still uses the old configuration.
TEST(ServiceChange, NamesTheProcessThatLagsBehind) {
  Deployment deployment;
  deployment.Start();
  deployment.Signal("agent1", SIGSTOP);
  std::string output;
  LONGS_EQUAL(4, deployment.RunPlatformCommand(
                     {"drain", "dc", "east", "--who=test", "--wait", "--timeout=1s"}, &output));
  STRCMP_CONTAINS("not in force in agent1 (no answer)\n", output.c_str());
}

// Guards against a data centre that cannot be drained while the platform is down.
TEST(ServiceChange, TightensDuringAnOutage) {
  Deployment deployment;
  deployment.Start();
  deployment.InjectFault("platform", R"({"down":true})");
  const std::string peers = "--peers=127.0.0.1:" + std::to_string(deployment.port("entry0"));
  LONGS_EQUAL(0, deployment.RunPlatformCommand({"tighten", "dc", "east", "--seconds=2", peers}));
  STRCMP_EQUAL("tightened", deployment.Status("agent0").at("state").as_string().c_str());
  LONGS_EQUAL(0, StartedOf(deployment, "engine0", 20));
  CHECK(Eventually([&]() { return deployment.Status("agent0").at("state") == "accepting"; }));
  CHECK(StartedOf(deployment, "engine0", 20) > 0);
}

// Guards against new work for a host that the platform is about to take away, also when the
// platform does not answer afterwards.
TEST(ServiceChange, SendsALeavingHostNoNewWorkAfterThreeSeconds) {
  Deployment deployment;
  deployment.Start();
  deployment.PublishHostList();
  CHECK(StartedOf(deployment, "engine0", 20) > 0);
  deployment.PublishHostList({"agent0"});
  std::this_thread::sleep_for(Seconds(3));
  LONGS_EQUAL(0, StartedOf(deployment, "engine0", 20));
  deployment.InjectFault("platform", R"({"down":true})");
  std::this_thread::sleep_for(Seconds(3));
  LONGS_EQUAL(0, StartedOf(deployment, "engine0", 20));
}

}  // namespace fuchsiaweir::testing
