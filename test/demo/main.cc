// Demonstration of the whole path: starts stand-ins, agents and entries on loopback, lets a prompt
// return after its blocks left accelerator memory, books once, takes a data centre out and back,
// prints the figures and stops everything.

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
constexpr int kCacheBlocks = 48;  ///< Two prompts of 20 blocks fit, the third evicts the first.

void Print(const std::string& title, const std::string& text) {
  std::cout << title << "\n    " << text << "\n";
}

std::string UsageText(const Reply& reply) {
  const boost::json::object usage = reply.json().at("usage").as_object();
  return boost::json::serialize(usage);
}

/// Sends other prompts until the engines have evicted the first one's blocks.
void EvictFromAccelerators(Deployment& deployment) {
  for (int seed = 100; seed < 112; ++seed) {
    deployment.Complete(MakePrompt(kPromptTokens, seed), kOutputTokens);
  }
}

bool ShowReturningPrompt(Deployment& deployment) {
  const std::string note = MakePrompt(kPromptTokens, 1);
  Print("A prompt arrives for the first time:",
        UsageText(deployment.Complete(note, kOutputTokens)));
  EvictFromAccelerators(deployment);
  const Reply again = deployment.Complete(note, kOutputTokens);
  Print("It returns after other prompts evicted it from accelerator memory:", UsageText(again));
  const boost::json::object usage = again.json().at("usage").as_object();
  return usage.at("fetched_tokens").as_int64() > 0;
}

bool ShowBooking(Deployment& deployment) {
  const Reply first = deployment.Book("booking-1", "fitting at nine");
  const Reply second = deployment.Book("booking-1", "fitting at nine");
  const int executions = deployment.Executions("fitting at nine");
  Print(
      "A booking is sent twice with the same Idempotency-Key:",
      absl::StrCat("answers ", first.status, " and ", second.status, ", executions: ", executions));
  return executions == 1 && first.body == second.body;
}

int64_t Started(Deployment& deployment, const std::string& engine) {
  return deployment.Stats(engine).at("started").as_int64();
}

bool ShowDrain(Deployment& deployment) {
  const std::string platform = absl::StrCat("--platform=127.0.0.1:", deployment.port("platform"));
  std::string output;
  const int drained = deployment.RunOperatorCommand(
      {"drain", "dc", "east", platform, "--who=demo", "--wait"}, &output);
  Print("Data centre east is taken out of service:", output);
  const int64_t before = Started(deployment, "engine0");
  int answered = 0;
  for (int i = 0; i < 20; ++i) {
    if (deployment.Complete(MakePrompt(kBlockTokens, 200 + i), 4).status == 200) ++answered;
  }
  const int64_t new_work = Started(deployment, "engine0") - before;
  Print("20 prompts while it is out:",
        absl::StrCat("answered ", answered, ", new work in east: ", new_work));
  const int restored = deployment.RunOperatorCommand(
      {"restore", "dc", "east", platform, "--who=demo", "--wait"}, &output);
  Print("Data centre east returns:", output);
  return drained == 0 && restored == 0 && answered == 20 && new_work == 0;
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
