#include <CppUTest/TestHarness.h>
#include <absl/strings/str_cat.h>

#include "core/block_chain.h"
#include "process/agent_client.h"

namespace fuchsiaweir::testing {

TEST_GROUP(PrefixReuse){};

// Guards against recomputing a cached prompt, against cache hits across teams and against usage
// figures that do not add up.
TEST(PrefixReuse, ReturningPromptIsFoundInTheCacheOfItsTeamOnly) {
  Deployment deployment;
  deployment.Start();
  const AgentClient agent(deployment);
  RunRequest run = AgentClient::MakeRun("prompt", 120, 4);
  const Usage first = agent.Post(run).usage;
  LONGS_EQUAL(120, first.recomputed_tokens);
  run.attempt = 2;
  const Usage second = agent.Post(run).usage;
  LONGS_EQUAL(100, second.cached_tokens);
  LONGS_EQUAL(20, second.recomputed_tokens);
  run.attempt = 3;
  run.team = "beta";
  const Usage other_team = agent.Post(run).usage;
  LONGS_EQUAL(0, other_team.cached_tokens + other_team.fetched_tokens);
  LONGS_EQUAL(120, other_team.recomputed_tokens);
}

// Guards against storing blocks under the inventory's version while the engine runs other weights.
TEST(PrefixReuse, BlocksCarryTheVersionThatTheEngineReports) {
  Deployment deployment;
  deployment.Start();
  const AgentClient agent(deployment);
  const int engine = deployment.port("engine0");
  // Without the platform there is no order lease, so the agent cannot load the inventory's version.
  deployment.InjectFault("platform", R"({"down":true})");
  Send("POST", engine, "/v1/orders",
       R"({"kind":"load","model":"model","version":"v2","fence":1,"proof":""})");
  SleepMillis(1'500);  // Longer than the idle poll period and the reporting delay.
  const RunRequest run = AgentClient::MakeRun("prompt", 60, 4);
  CHECK(agent.Post(run).done);
  for (const char* version : {"v1", "v2"}) {
    const BlockId block = BlockChain({"alpha", "model", "", version}, run.prompt, 50).at(0);
    const Reply found = Send("GET", engine, absl::StrCat("/v1/kv/", ToHex(block)));
    LONGS_EQUAL(std::string(version) == "v2" ? 200 : 404, found.status);
  }
}

}  // namespace fuchsiaweir::testing
