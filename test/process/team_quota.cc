#include <CppUTest/TestHarness.h>

#include <string>
#include <thread>

#include "process/deployment.h"

namespace fuchsiaweir::testing {

TEST_GROUP(TeamQuotaLimits){};

// Guards against a team that exceeds its limit of concurrent completions and service calls, counted
// together, and against a limit that also affects another team.
TEST(TeamQuotaLimits, CompletionsAndServiceCallsShareOneLimit) {
  Deployment deployment;
  deployment.Start();
  const std::string team = "[team alpha]\n";
  std::string inventory = deployment.inventory();
  inventory.insert(inventory.find(team) + team.size(), "max_concurrent = 1\n");
  deployment.Apply(inventory);
  CHECK(Eventually([&]() { return deployment.AllAtRevision(2); }));
  for (const char* service : {"service0", "service1"}) {
    deployment.InjectFault(service, R"({"delay_ms":1500})");
  }
  Reply first;
  const auto executed = [&]() { return deployment.Executions("slow") == 1; };
  {
    const std::jthread caller([&]() { first = deployment.Book("first", "slow"); });
    CHECK(Eventually(executed));
    LONGS_EQUAL(429, deployment.Book("second", "refused").status);
    LONGS_EQUAL(429, deployment.Complete(MakePrompt(10, 1), 1).status);
    const Reply other = Send("GET", deployment.port("entry0"), "/v1/services/booking/list", "",
                             {{"Authorization", "Bearer key-beta"}});
    LONGS_EQUAL(200, other.status);
  }
  LONGS_EQUAL(200, first.status);
  LONGS_EQUAL(0, deployment.Executions("refused"));
  LONGS_EQUAL(200, deployment.Complete(MakePrompt(10, 1), 1).status);
}

}  // namespace fuchsiaweir::testing
