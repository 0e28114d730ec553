#include <CppUTest/TestHarness.h>
#include <absl/strings/str_cat.h>

#include "core/bid.h"
#include "process/agent_client.h"

namespace fuchsiaweir::testing {

TEST_GROUP(Overload){};

// Guards against a refusal with run state not_run for a run that the engine received.
TEST(Overload, RefusedRunsNeverReachTheEngine) {
  Deployment::Options options;
  options.rules = "max_queue = 4\n";
  Deployment deployment(options);
  deployment.Start();
  const AgentClient agent(deployment);
  std::vector<RunRequest> runs;
  for (int i = 0; i < 12; ++i) {
    runs.push_back(AgentClient::MakeRun(absl::StrCat("run", i), 20, 100));
    // Some runs are queued until they can no longer meet this deadline.
    if (i % 2 == 1) runs.back().deadline_ms = 1'300;
  }
  int64_t done = 0;
  int64_t refused = 0;
  for (const RunResponse& response : agent.PostAll(runs)) {
    if (response.done) ++done;
    if (!response.error) continue;
    STRCMP_EQUAL("not_run", std::string(Name(response.error->run_state)).c_str());
    ++refused;
  }
  LONGS_EQUAL(12, done + refused);
  CHECK(refused >= 4);
  LONGS_EQUAL(done, Counter(deployment, "started"));
}

// Guards against bids whose estimates ignore the queue.
TEST(Overload, BidGrowsWithTheQueue) {
  Deployment deployment;
  deployment.Start();
  const AgentClient agent(deployment);
  BidRequest request{"alpha", "model", {}, 100, 10, 1, 60'000};
  const auto bid = [&]() {
    const Reply reply =
        Send("POST", deployment.port("agent0"), "/internal/v1/bids", EncodeBidRequest(request));
    return DecodeBidResponse(reply.body);
  };
  CHECK(Eventually([&]() { return bid().has_value(); }));
  const Duration idle = bid().value().at(0).estimate;
  std::vector<std::future<RunResponse>> runs;
  for (int i = 0; i < 3; ++i) {
    // Longer than the questions below take on a busy machine, since the bids are about runs that
    // wait.
    runs.push_back(agent.PostAsync(AgentClient::MakeRun(absl::StrCat("run", i), 20, 1'500)));
  }
  // Until the agent has the engine's first load report it starts no run, and a bid with a short
  // deadline is ahead of the runs that wait.
  CHECK(Eventually([&]() { return Counter(deployment, "started") == 1; }));
  CHECK(Eventually([&]() { return bid().value().at(0).queue == 2; }));
  CHECK(bid().value().at(0).estimate > idle + Millis(500));
  request.deadline_ms = 100;
  const auto refusal = bid();
  CHECK_FALSE(refusal.has_value());
  CHECK(refusal.error().run_state == RunState::kNotRun);
  for (std::future<RunResponse>& run : runs) run.wait();
}

}  // namespace fuchsiaweir::testing
