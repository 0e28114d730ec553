#include <CppUTest/TestHarness.h>

#include "process/agent_client.h"

namespace fuchsiaweir::testing {
namespace {

Deployment::Options ShortAttachWindow() {
  Deployment::Options options;
  options.rules = "attach_window_ms = 500\n";
  return options;
}

}  // namespace

TEST_GROUP(Attach){};

// Guards against losing output together with the connection that carried it.
TEST(Attach, CutConnectionLosesNoOutput) {
  Deployment deployment;
  deployment.Start();
  const AgentClient agent(deployment);
  const RunRequest run = AgentClient::MakeRun("cut", 20, 300);
  LONGS_EQUAL(0, agent.Post(run, Millis(200)).status);

  const RunResponse response = agent.Attach(run, 0);
  CHECK(response.done);
  CHECK(response.contiguous);
  LONGS_EQUAL(300, response.tokens.size());
  LONGS_EQUAL(1, Counter(deployment, "started"));

  RunRequest full_run = run;
  full_run.attempt = 2;
  CHECK(agent.Post(full_run).tokens == response.tokens);
}

// Guards against an engine that runs or queues requests whose caller has disconnected.
TEST(Attach, RunsOfACallerThatLeftEndAtTheEngine) {
  Deployment deployment(ShortAttachWindow());
  deployment.Start();
  const AgentClient agent(deployment);
  // The cold runner accepts one run, so the second one is queued. Its attach window expires first.
  std::future<RunResponse> running = std::async(std::launch::async, [&]() {
    return agent.Post(AgentClient::MakeRun("running", 20, 5'000), Millis(3'000));
  });
  CHECK(Eventually([&]() { return Counter(deployment, "started") == 1; }));
  agent.Post(AgentClient::MakeRun("queued", 20, 5'000), Millis(100));
  running.wait();
  CHECK(Eventually([&]() { return Counter(deployment, "cancelled") == 1; }, Seconds(5)));
  CHECK(agent.Post(AgentClient::MakeRun("next", 20, 5)).done);
  LONGS_EQUAL(2, Counter(deployment, "started"));

  const RunRequest last = AgentClient::MakeRun("last", 20, 5'000);
  std::future<RunResponse> response = agent.PostAsync(last);
  CHECK(Eventually([&]() { return Counter(deployment, "started") == 3; }));
  agent.Cancel(last);
  CHECK(Eventually([&]() { return Counter(deployment, "cancelled") == 2; }));
  CHECK(!response.get().done);
}

}  // namespace fuchsiaweir::testing
