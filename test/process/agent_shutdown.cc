#include <CppUTest/TestHarness.h>

#include <csignal>

#include "process/agent_client.h"

namespace fuchsiaweir::testing {

TEST_GROUP(AgentShutdown){};

// Guards against a shutdown that cuts a stream, drops a queued run or still takes new ones.
TEST(AgentShutdown, RunningAndQueuedRunsEndAndNewOnesAreRefused) {
  Deployment deployment;
  deployment.Start();
  const AgentClient agent(deployment);
  std::future<RunAnswer> running = agent.PostLater(AgentClient::MakeRun("running", 20, 300));
  CHECK(Eventually([&]() { return Counter(deployment, "started") == 1; }));
  std::future<RunAnswer> queued = agent.PostLater(AgentClient::MakeRun("queued", 20, 50));
  SleepMillis(100);
  deployment.Signal("agent0", SIGTERM);
  SleepMillis(100);
  const RunAnswer late = agent.Post(AgentClient::MakeRun("late", 20, 5));
  CHECK(late.error.has_value());
  CHECK(late.error->code == ErrorCode::kOutOfService);
  CHECK(late.error->run_state == RunState::kNotRun);

  LONGS_EQUAL(300, running.get().tokens.size());
  LONGS_EQUAL(50, queued.get().tokens.size());
  LONGS_EQUAL(0, deployment.Wait("agent0"));
  LONGS_EQUAL(2, Counter(deployment, "started"));
}

}  // namespace fuchsiaweir::testing
