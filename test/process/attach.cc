#include <CppUTest/TestHarness.h>

#include "process/agent_client.h"

namespace fuchsiaweir::testing {
namespace {

Deployment::Options ShortWindow() {
  Deployment::Options options;
  options.rules = "attach_window_ms = 500\n";
  return options;
}

}  // namespace

TEST_GROUP(Attach){};

// Guards against an answer that is lost with the connection that carried it.
TEST(Attach, CutConnectionLosesNoOutput) {
  Deployment deployment;
  deployment.Start();
  const AgentClient agent(deployment);
  const RunRequest run = AgentClient::MakeRun("cut", 20, 300);
  LONGS_EQUAL(0, agent.Post(run, Millis(200)).status);

  const RunResponse answer = agent.Attach(run, 0);
  CHECK(answer.done);
  CHECK(answer.exact);
  LONGS_EQUAL(300, answer.tokens.size());
  LONGS_EQUAL(1, Counter(deployment, "started"));

  RunRequest whole = run;
  whole.attempt = 2;
  CHECK(agent.Post(whole).tokens == answer.tokens);
}

// Guards against an engine that computes answers whose caller left, while running or queued.
TEST(Attach, RunsOfACallerThatLeftEndAtTheEngine) {
  Deployment deployment(ShortWindow());
  deployment.Start();
  const AgentClient agent(deployment);
  // The cold runner takes one run, so the second one is queued; it expires there first.
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
  std::future<RunResponse> answer = agent.PostAsync(last);
  CHECK(Eventually([&]() { return Counter(deployment, "started") == 3; }));
  agent.Cancel(last);
  CHECK(Eventually([&]() { return Counter(deployment, "cancelled") == 2; }));
  CHECK(!answer.get().done);
}

}  // namespace fuchsiaweir::testing
