#include <CppUTest/TestHarness.h>

#include <csignal>
#include <string>
#include <thread>

#include "process/deployment.h"

namespace fuchsiaweir::testing {

TEST_GROUP(ServingPath){};

// Guards against a failure on the path between caller, entry, agent and targets.
TEST(ServingPath, ServesAPromptABookingAndADrain) {
  Deployment deployment;
  deployment.Start();

  const Reply reply = deployment.Complete(MakePrompt(120, 1), 8);
  LONGS_EQUAL(200, reply.status);
  LONGS_EQUAL(8, reply.json().at("usage").at("completion_tokens").as_int64());

  const Reply first = deployment.Book("key-1", "two seats");
  const Reply second = deployment.Book("key-1", "two seats");
  LONGS_EQUAL(200, first.status);
  LONGS_EQUAL(200, second.status);
  STRCMP_EQUAL(first.body.c_str(), second.body.c_str());
  LONGS_EQUAL(1, deployment.Executions("two seats"));

  std::string drained = deployment.inventory();
  const std::string east = "[data_centre east]\n";
  drained.insert(drained.find(east) + east.size(), "in_service = no\n");
  deployment.Apply(drained);
  CHECK(Eventually([&]() {
    return deployment.Complete(MakePrompt(10, 2), 1).status == 200 &&
           Send("GET", deployment.port("agent0"), "/internal/v1/status")
                   .json()
                   .at("revision")
                   .as_int64() == 2;
  }));
  const int64_t before = deployment.Stats("engine0").at("started").as_int64();
  for (int i = 0; i < 10; ++i) LONGS_EQUAL(200, deployment.Complete(MakePrompt(10, i), 1).status);
  LONGS_EQUAL(before, deployment.Stats("engine0").at("started").as_int64());
}

// Guards against a shutdown that truncates a response in progress.
TEST(ServingPath, ShutdownOfTheEntryCompletesRunningRequests) {
  Deployment deployment;
  deployment.Start();
  const std::string prompt = MakePrompt(20, 3);
  Reply reply;
  std::jthread caller([&]() { reply = deployment.Complete(prompt, 300); });
  CHECK(Eventually([&]() {
    return deployment.Stats("engine0").at("started").as_int64() +
               deployment.Stats("engine1").at("started").as_int64() >
           0;
  }));
  deployment.Signal("entry0", SIGTERM);
  caller.join();
  LONGS_EQUAL(200, reply.status);
  LONGS_EQUAL(300, reply.json().at("usage").at("completion_tokens").as_int64());
  LONGS_EQUAL(0, deployment.Wait("entry0"));
}

}  // namespace fuchsiaweir::testing
