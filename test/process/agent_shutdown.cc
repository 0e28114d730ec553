#include <CppUTest/TestHarness.h>

#include <csignal>
#include <string>

#include "process/agent_client.h"

namespace fuchsiaweir::testing {

TEST_GROUP(AgentShutdown){};

// Guards against a shutdown that cuts a stream, drops a queued run or still takes new ones.
TEST(AgentShutdown, RunningAndQueuedRunsEndAndNewOnesAreRefused) {
  Deployment::Options options;
  options.rules = "progress_deadline_ms = 1000\n";
  Deployment deployment(options);
  deployment.Start();
  const AgentClient agent(deployment);
  std::future<RunResponse> running = agent.PostAsync(AgentClient::MakeRun("running", 20, 300));
  CHECK(Eventually([&]() { return Counter(deployment, "started") == 1; }));
  std::future<RunResponse> queued = agent.PostAsync(AgentClient::MakeRun("queued", 20, 50));
  SleepMillis(100);
  deployment.Signal("agent0", SIGTERM);
  SleepMillis(100);
  const RunResponse late = agent.Post(AgentClient::MakeRun("late", 20, 5));
  CHECK(late.error.has_value());
  CHECK(late.error->code == ErrorCode::kOutOfService);
  CHECK(late.error->run_state == RunState::kNotRun);

  LONGS_EQUAL(300, running.get().tokens.size());
  const RunResponse waited = queued.get();
  LONGS_EQUAL(50, waited.tokens.size());
  CHECK(waited.heartbeats > 0);
  LONGS_EQUAL(0, deployment.Wait("agent0"));
  LONGS_EQUAL(2, Counter(deployment, "started"));
}

// Guards against a runner that leaves the inventory and cuts its runs or takes new ones.
TEST(AgentShutdown, LeavingRunnerEndsItsRunsAndTakesNoNewOnes) {
  Deployment deployment;
  deployment.Start();
  const AgentClient agent(deployment);
  std::future<RunResponse> running = agent.PostAsync(AgentClient::MakeRun("running", 20, 1'500));
  CHECK(Eventually([&]() { return Counter(deployment, "started") == 1; }));
  std::string left = deployment.inventory();
  const size_t begin = left.find("[runner runner0]");
  left.erase(begin, left.find("[service booking0]") - begin);
  deployment.Apply(left);
  RunResponse late;
  for (int i = 0; !late.error && i < 50; ++i) {
    const RunRequest run = AgentClient::MakeRun("late" + std::to_string(i), 20, 5);
    late = agent.Post(run, Millis(50));
    agent.Cancel(run);
  }
  CHECK(late.error.has_value());
  CHECK(late.error->code == ErrorCode::kOutOfService);
  CHECK(late.error->run_state == RunState::kNotRun);
  LONGS_EQUAL(1'500, running.get().tokens.size());
  LONGS_EQUAL(1, Counter(deployment, "started"));
}

}  // namespace fuchsiaweir::testing
