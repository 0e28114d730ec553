#include <CppUTest/TestHarness.h>

#include <thread>

#include "process/deployment.h"

namespace fuchsiaweir::testing {
namespace {

int64_t UsageOf(const Reply& reply, const char* name) {
  return reply.json().at("usage").at(name).to_number<int64_t>();
}

}  // namespace

TEST_GROUP(KvWholePath){};

// Guards against an agent that does not use the block transfer, or whose fetched tokens are missing
// from the caller's usage figures.
TEST(KvWholePath, AReturningPromptIsServedWithFetchedTokens) {
  Deployment::Options options;
  options.agents = 1;
  options.stores = 2;
  options.engine_flags = {"--prefill_tokens_per_second=1000", "--cache_blocks=10"};
  Deployment deployment(options);
  deployment.Start();
  const Reply first = deployment.Complete(MakePrompt(405, 1), 4);
  LONGS_EQUAL(200, first.status);
  LONGS_EQUAL(0, UsageOf(first, "fetched_tokens"));
  // The engine's memory holds ten blocks, so another prompt evicts blocks of the first one.
  CHECK(Eventually([&]() {
    LONGS_EQUAL(200, deployment.Complete(MakePrompt(405, 2), 4).status);
    // The engine's cache events report evictions with a delay.
    std::this_thread::sleep_for(Millis(700));
    const Reply again = deployment.Complete(MakePrompt(405, 1), 4);
    LONGS_EQUAL(200, again.status);
    return UsageOf(again, "fetched_tokens") > 0;
  }));
  LONGS_EQUAL(0, deployment.Stats("engine0").at("bad_imports").as_int64());
}

}  // namespace fuchsiaweir::testing
