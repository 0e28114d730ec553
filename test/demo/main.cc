// Demonstration of the complete request path. Starts stand-ins, agents and an entry on loopback,
// sends a prompt again after its blocks were evicted from accelerator memory, sends a booking twice
// under one idempotency key, drains and restores a data centre, prints the results and stops all
// processes.

#include <absl/strings/str_cat.h>

#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include "process/deployment.h"

namespace fuchsiaweir::testing {
namespace {

constexpr int kBlockTokens = 50;
constexpr int kPromptTokens = 20 * kBlockTokens;
constexpr int kOutputTokens = 16;
constexpr int kDrainPrompts = 20;  ///< Sent while a data centre is out of service.
constexpr int kCacheBlocks = 48;   ///< Two prompts of 20 blocks fit, the third evicts the first.

void Print(const std::string& title, const std::string& text) {
  std::cout << title << "\n    " << text << "\n";
}

std::string UsageText(const Reply& reply) {
  const boost::json::object usage = reply.json().at("usage").as_object();
  return boost::json::serialize(usage);
}

/// Sends enough other prompts for both engines to evict the blocks of the first one.
void EvictFromAccelerators(Deployment& deployment) {
  for (int seed = 100; seed < 112; ++seed) {
    deployment.Complete(MakePrompt(kPromptTokens, seed), kOutputTokens);
  }
}

/// Returns whether tokens of the returning prompt were fetched from the KV cache store.
bool ShowReturningPrompt(Deployment& deployment) {
  const std::string prompt = MakePrompt(kPromptTokens, 1);
  Print("A prompt arrives for the first time:",
        UsageText(deployment.Complete(prompt, kOutputTokens)));
  EvictFromAccelerators(deployment);
  const Reply second = deployment.Complete(prompt, kOutputTokens);
  Print("It returns after other prompts evicted it from accelerator memory:", UsageText(second));
  const boost::json::object usage = second.json().at("usage").as_object();
  return usage.at("fetched_tokens").as_int64() > 0;
}

/// Returns whether the retried booking was executed once and both responses are equal.
bool ShowBooking(Deployment& deployment) {
  const Reply first = deployment.Book("booking-1", "fitting at nine");
  const Reply second = deployment.Book("booking-1", "fitting at nine");
  const int executions = deployment.Executions("fitting at nine");
  Print(
      "A booking is sent twice with the same Idempotency-Key:",
      absl::StrCat("answers ", first.status, " and ", second.status, ", executions: ", executions));
  return executions == 1 && first.body == second.body;
}

/// Returns the number of runs that the engine has started.
int64_t StartedRuns(Deployment& deployment, const std::string& engine) {
  return deployment.Stats(engine).at("started").as_int64();
}

/// Returns whether all prompts succeeded during the drain and none ran in the drained data centre.
bool ShowDrain(Deployment& deployment) {
  const std::string platform = absl::StrCat("--platform=127.0.0.1:", deployment.port("platform"));
  std::string output;
  const int drained = deployment.RunOperatorCommand(
      {"drain", "dc", "east", platform, "--who=demo", "--wait"}, &output);
  Print("Data centre east is taken out of service:", output);
  const int64_t before = StartedRuns(deployment, "engine0");
  int succeeded = 0;
  for (int i = 0; i < kDrainPrompts; ++i) {
    if (deployment.Complete(MakePrompt(kBlockTokens, 200 + i), 4).status == 200) ++succeeded;
  }
  const int64_t new_runs = StartedRuns(deployment, "engine0") - before;
  Print(absl::StrCat(kDrainPrompts, " prompts while it is out:"),
        absl::StrCat("answered ", succeeded, ", new work in east: ", new_runs));
  const int restored = deployment.RunOperatorCommand(
      {"restore", "dc", "east", platform, "--who=demo", "--wait"}, &output);
  Print("Data centre east returns:", output);
  return drained == 0 && restored == 0 && succeeded == kDrainPrompts && new_runs == 0;
}

bool RunDemonstration() {
  Deployment::Options options;
  options.stores = 1;
  options.engine_flags = {absl::StrCat("--cache_blocks=", kCacheBlocks),
                          "--prefill_tokens_per_second=2000"};
  options.runner_settings = "prefill_tokens_per_second = 2000\n";
  Deployment deployment(options);
  deployment.Start();
  std::cout << "Started stand-ins, 2 agents and 1 entry on 127.0.0.1.\n";
  const bool reused = ShowReturningPrompt(deployment);
  const bool booked = ShowBooking(deployment);
  const bool drained = ShowDrain(deployment);
  std::cout << "reuse: " << (reused ? "shown" : "NOT shown")
            << ", booking: " << (booked ? "once" : "NOT once")
            << ", drain: " << (drained ? "clean" : "NOT clean") << "\n";
  return reused && booked && drained;
}

}  // namespace
}  // namespace fuchsiaweir::testing

int main() {
  try {
    return fuchsiaweir::testing::RunDemonstration() ? 0 : 1;
  } catch (const std::exception& e) {
    std::cerr << "demonstration failed: " << e.what() << "\n";
    return 1;
  }
}
