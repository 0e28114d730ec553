#include <CppUTest/TestHarness.h>
#include <absl/strings/str_cat.h>

#include <csignal>

#include "process/agent_client.h"

namespace fuchsiaweir::testing {
namespace {

std::vector<RunRequest> Burst(const std::string& name) {
  std::vector<RunRequest> runs;
  for (int i = 0; i < 12; ++i) {
    runs.push_back(AgentClient::MakeRun(absl::StrCat(name, i), 20, 60));
  }
  return runs;
}

void CheckAllDone(const std::vector<RunResponse>& responses) {
  for (const RunResponse& response : responses) {
    CHECK(response.done);
    LONGS_EQUAL(60, response.tokens.size());
  }
}

}  // namespace

TEST_GROUP(ColdStart){};

// Guards against a burst that exceeds the cold limit of a runner.
TEST(ColdStart, RunnerNeverGetsMoreThanItsColdLimit) {
  Deployment deployment;
  deployment.Start();
  CheckAllDone(AgentClient(deployment).PostAll(Burst("cold")));
  LONGS_EQUAL(0, Counter(deployment, "cold_overloads"));
  LONGS_EQUAL(1, Counter(deployment, "max_running_cold"));
  CHECK(Counter(deployment, "max_running") > 1);
}

// Guards against applying the warm limit to an idle runner that became cold without a report.
TEST(ColdStart, UnannouncedTurnToColdIsNoticedBeforeTheNextBurst) {
  Deployment deployment;
  deployment.Start();
  const AgentClient agent(deployment);
  WarmUp(deployment, agent);
  SleepMillis(150);  // After 100 ms idle, the agent requires a new load report.
  deployment.InjectFault("engine0", R"({"cold":true})");
  CheckAllDone(agent.PostAll(Burst("again")));
  LONGS_EQUAL(0, Counter(deployment, "cold_overloads"));
  LONGS_EQUAL(1, Counter(deployment, "max_running_cold"));
}

// Guards against a restarted agent that ignores the runs of its predecessor on the engine and so
// exceeds the cold limit.
TEST(ColdStart, RestartedAgentCountsTheRunsOfItsPredecessor) {
  Deployment::Options options;
  options.engine_flags = {"--prefill_tokens_per_second=5000"};
  Deployment deployment(options);
  deployment.Start();
  const AgentClient agent(deployment);
  std::future<RunResponse> old = agent.PostAsync(AgentClient::MakeRun("old", 10'000, 60));
  CHECK(Eventually([&]() { return Counter(deployment, "started") == 1; }));
  deployment.Restart("agent0");
  CHECK(Eventually([&]() { return deployment.AllReady(); }));
  CheckAllDone(agent.PostAll(Burst("new")));
  old.wait();
  LONGS_EQUAL(0, Counter(deployment, "cold_overloads"));
  LONGS_EQUAL(1, Counter(deployment, "max_running_cold"));
}

}  // namespace fuchsiaweir::testing
