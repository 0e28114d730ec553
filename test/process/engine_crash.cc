#include <CppUTest/TestHarness.h>

#include <set>
#include <string>

#include "process/agent_client.h"

namespace fuchsiaweir::testing {

TEST_GROUP(EngineCrash){};

// Guards against confusing an engine crash with a broken stream: only the runs of a crashed engine
// are suspects.
TEST(EngineCrash, RunsOfACrashedEngineAreSuspectAndThoseOfACutStreamAreNot) {
  Deployment deployment;
  deployment.Start();
  const AgentClient agent(deployment);
  WarmUp(deployment, agent);
  const int64_t warm = Counter(deployment, "started");
  std::future<RunResponse> first = agent.PostAsync(AgentClient::MakeRun("first", 20, 2'000));
  std::future<RunResponse> second = agent.PostAsync(AgentClient::MakeRun("second", 20, 2'000));
  CHECK(Eventually([&]() { return Counter(deployment, "started") == warm + 2; }));
  deployment.InjectFault("engine0", R"({"crash":true})");
  std::set<std::string> instances;
  for (std::future<RunResponse>* run : {&first, &second}) {
    const RunResponse response = run->get();
    CHECK(response.error.has_value());
    CHECK(response.error->code == ErrorCode::kTargetCrashed);
    CHECK(response.error->run_state == RunState::kUnknown);
    instances.insert(response.error->crashed_instance);
  }
  // Both responses name the same engine instance, so the crash counts once against each request.
  LONGS_EQUAL(1, instances.size());
  STRNCMP_EQUAL("runner0/", instances.begin()->c_str(), 8);
  const RunResponse refused = agent.Post(AgentClient::MakeRun("third", 20, 5));
  CHECK(refused.error.has_value());
  CHECK(refused.error->run_state == RunState::kNotRun);

  deployment.Restart("engine0");
  CHECK(Eventually([&]() { return agent.Post(AgentClient::MakeRun("fourth", 20, 5)).done; }));
  deployment.InjectFault("engine0", R"({"cut_after":3})");
  const RunResponse cut = agent.Post(AgentClient::MakeRun("fifth", 20, 50));
  CHECK(cut.error.has_value());
  CHECK(cut.error->code == ErrorCode::kTargetFailed);
}

// Guards against a suspect request that crashes the engine while other runs are on it.
TEST(EngineCrash, SuspectRunsAlone) {
  Deployment deployment;
  deployment.Start();
  const AgentClient agent(deployment);
  WarmUp(deployment, agent);
  const int64_t warm = Counter(deployment, "started");
  std::future<RunResponse> before = agent.PostAsync(AgentClient::MakeRun("before", 20, 200));
  CHECK(Eventually([&]() { return Counter(deployment, "started") == warm + 1; }));
  RunRequest suspect = AgentClient::MakeRun("suspect", 20, 200);
  suspect.suspect = true;
  std::future<RunResponse> alone = agent.PostAsync(suspect);
  SleepMillis(50);
  std::future<RunResponse> after = agent.PostAsync(AgentClient::MakeRun("after", 20, 200));
  // Each run starts only after all earlier runs have completed.
  for (int64_t started = warm + 2; started <= warm + 3; ++started) {
    CHECK(Eventually([&]() { return Counter(deployment, "started") == started; }));
    LONGS_EQUAL(started - 1, Counter(deployment, "completed"));
  }
  CHECK(before.get().done);
  CHECK(alone.get().done);
  CHECK(after.get().done);
}

}  // namespace fuchsiaweir::testing
