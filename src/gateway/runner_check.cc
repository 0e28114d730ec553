#include "gateway/runner_check.h"

#include <utility>

#include "net/log.h"

namespace fuchsiaweir {
namespace {

/// A process that ends closes its connections and its port at nearly the same time.
constexpr Duration kDelay = Millis(50);

}  // namespace

void RunnerCheck::Start(const std::string& runner) {
  if (!pending_.insert(runner).second) return;
  Spawn(io_, "check_runner", [this, runner]() { return Check(runner); });
}

Awaitable<void> RunnerCheck::Check(std::string runner) {
  co_await SleepFor(kDelay);
  pending_.erase(runner);
  const RunnerState* state = view_.runner_registry().Find(runner);
  if (state == nullptr || state->Avoided(SteadyNow())) co_return;
  if (view_.runner_registry().notices().Leaving(runner)) co_return;
  const Endpoint endpoint{state->record.address, state->record.port};
  if (channels_.HasOpen(endpoint)) co_return;
  const Duration cold_time = view_.ColdTime(state->record.service);
  std::string no_request;
  RunnerChannelPool::Acquired acquired = co_await channels_.Acquire(
      endpoint, std::move(no_request), /*repeatable=*/true, kRunnerConnectTimeout);
  if (acquired.channel != nullptr) {
    channels_.Release(endpoint, std::move(acquired.channel));
    co_return;
  }
  view_.runner_registry().OnAttemptOutcome(runner, acquired.outcome, cold_time, SteadyNow());
  LogInfo("runner_unreachable",
          {{"request", ""}, {"runner", runner}, {"reason", acquired.failure}});
}

}  // namespace fuchsiaweir
