#include <CppUTest/TestHarness.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <string>
#include <thread>
#include <vector>

#include "core/claim.h"
#include "process/deployment.h"

namespace fuchsiaweir::testing {
namespace {

constexpr int kCallsPerCaller = 2;

/// Returns distinct keys. With `one_shard`, all of their claims are in the same platform object.
std::vector<std::string> Keys(int count, bool one_shard, const std::string& prefix) {
  const std::string shard = ClaimShardName(ClaimId("alpha", "batch"));
  std::vector<std::string> keys;
  for (int i = 0; static_cast<int>(keys.size()) < count; ++i) {
    std::string key = absl::StrCat(prefix, i);
    if (!one_shard || ClaimShardName(ClaimId("alpha", key)) == shard) keys.push_back(key);
  }
  return keys;
}

/// Sends one booking per key and returns the platform writes per booking.
double WritesPerCall(Deployment& deployment, int callers, bool one_shard) {
  const std::string prefix = absl::StrCat(one_shard ? "one" : "many", callers, "-");
  const std::vector<std::string> keys = Keys(callers * kCallsPerCaller, one_shard, prefix);
  const int64_t before = deployment.Stats("platform").at("writes").as_int64();
  std::vector<std::jthread> threads;
  for (int caller = 0; caller < callers; ++caller) {
    threads.emplace_back([&deployment, &keys, caller]() {
      for (int i = 0; i < kCallsPerCaller; ++i) {
        deployment.Book(keys[caller * kCallsPerCaller + i], "batch body");
      }
    });
  }
  threads.clear();
  const int64_t after = deployment.Stats("platform").at("writes").as_int64();
  return static_cast<double>(after - before) / static_cast<double>(keys.size());
}

}  // namespace

TEST_GROUP(ClaimBatching){};

// Guards against a platform write for each claim and each outcome under load, which would exceed
// the platform's rate limit.
TEST(ClaimBatching, WritesPerCallFallWithTheLoadOfAShard) {
  Deployment::Options options;
  options.agents = 1;
  Deployment deployment(options);
  deployment.Start();
  deployment.InjectFault("platform", R"({"delay_ms":10})");
  std::vector<double> writes;
  for (const int callers : {1, 4, 16}) {
    writes.push_back(WritesPerCall(deployment, callers, true));
    const double many_shards = WritesPerCall(deployment, callers, false);
    UT_PRINT(absl::StrFormat("%d callers: %.2f writes per call in one shard, %.2f in many", callers,
                             writes.back(), many_shards)
                 .c_str());
  }
  CHECK(writes.back() < writes.front() / 4);
  LONGS_EQUAL(2 * kCallsPerCaller * (1 + 4 + 16), deployment.Executions("batch body"));
}

}  // namespace fuchsiaweir::testing
