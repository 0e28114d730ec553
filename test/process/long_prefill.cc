#include <CppUTest/TestHarness.h>
#include <absl/strings/str_cat.h>

#include "process/agent_client.h"

namespace fuchsiaweir::testing {

TEST_GROUP(LongPrefill){};

// Guards against short work that waits for every long prompt before it.
TEST(LongPrefill, ShortWorkPassesQueuedLongPrompts) {
  Deployment::Options options;
  options.engine_flags = {"--prefill_tokens_per_second=15000"};
  Deployment deployment(options);
  deployment.Start();
  const AgentClient agent(deployment);
  WarmUp(deployment, agent);
  const int64_t before = Counter(deployment, "completed");
  std::vector<std::future<RunResponse>> longs;
  for (int i = 0; i < 4; ++i) {
    longs.push_back(agent.PostAsync(AgentClient::MakeRun(absl::StrCat("long", i), 10'000, 4)));
  }
  CHECK(Eventually([&]() { return Counter(deployment, "started") > before; }));
  SleepMillis(300);
  CHECK(agent.Post(AgentClient::MakeRun("short", 20, 4)).done);
  CHECK(Counter(deployment, "completed") <= before + 3);
  for (std::future<RunResponse>& answer : longs) CHECK(answer.get().done);
}

}  // namespace fuchsiaweir::testing
