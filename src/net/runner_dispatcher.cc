#include "net/runner_dispatcher.h"

#include <absl/strings/str_cat.h>

#include <utility>

#include "net/log.h"

namespace fuchsiaweir {
namespace {

constexpr Duration kCancelTimeout = Seconds(1);

std::string RunKey(const std::string& run, int64_t attempt) {
  return absl::StrCat(run, "/", attempt);
}

Error EngineError(const EngineEvent& event) {
  const bool refused = event.kind == EngineEvent::Kind::kRefused;
  return {refused ? ErrorCode::kCold : ErrorCode::kTargetFailed,
          refused ? RunState::kNotRun : RunState::kUnknown, event.failure, Duration{0}};
}

}  // namespace

RunnerDispatcher::RunnerDispatcher(boost::asio::io_context& io, const Runner& runner,
                                   const Rules& rules, std::unique_ptr<EngineClient> engine)
    : io_(io), runner_(runner), rules_(rules), engine_(std::move(engine)) {}

Result<std::shared_ptr<AgentRun>> RunnerDispatcher::Admit(RunRequest request, const Model& model) {
  if (active_ >= runner_.cold_limit) {
    return Error{ErrorCode::kOverloaded, RunState::kNotRun,
                 absl::StrCat("runner ", runner_.name, " is at its limit"), Millis(200)};
  }
  (void)model;
  auto run = std::make_shared<AgentRun>(io_);
  run->run = request.run;
  run->attempt = request.attempt;
  run->base = static_cast<int64_t>(request.produced.size());
  run->unattended_since = SteadyNow();
  runs_[RunKey(run->run, run->attempt)] = run;
  ++active_;
  Spawn(io_, "run", [this, run, request = std::move(request)]() { return Drive(run, request); });
  return run;
}

Awaitable<void> RunnerDispatcher::Drive(std::shared_ptr<AgentRun> run, RunRequest request) {
  GenerateRequest generate;
  generate.run = RunKey(request.run, request.attempt);
  generate.prompt = request.prompt;
  generate.produced = request.produced;
  generate.max_tokens = request.max_tokens;
  generate.priority = request.priority;
  run->usage.prompt_tokens = static_cast<int64_t>(request.prompt.size());
  const Duration progress = Millis(rules_.progress_deadline_ms);
  const std::unique_ptr<EngineStream> stream =
      co_await engine_->Generate(std::move(generate), Millis(rules_.request_deadline_ms));
  while (!run->ended()) {
    EngineEvent event = co_await stream->Next(progress);
    if (event.kind == EngineEvent::Kind::kTokens) {
      for (std::string& token : event.tokens) run->tokens.push_back(std::move(token));
    } else if (event.kind == EngineEvent::Kind::kDone) {
      run->done = true;
      run->finish = event.finish;
      run->usage.cached_tokens = event.cached_tokens;
      run->usage.recomputed_tokens = run->usage.prompt_tokens - event.cached_tokens;
      run->usage.completion_tokens = run->base + static_cast<int64_t>(run->tokens.size());
    } else {
      run->error = EngineError(event);
      LogWarning("run_failed",
                 {{"run", run->run}, {"runner", runner_.name}, {"reason", event.failure}});
    }
    run->Notify();
  }
  --active_;
}

std::shared_ptr<AgentRun> RunnerDispatcher::Find(const std::string& run, int64_t attempt) {
  const auto found = runs_.find(RunKey(run, attempt));
  return found == runs_.end() ? nullptr : found->second;
}

void RunnerDispatcher::Cancel(const std::string& run, int64_t attempt) {
  const std::shared_ptr<AgentRun> found = Find(run, attempt);
  if (found == nullptr || found->ended()) return;
  Spawn(io_, "cancel", [engine = engine_, key = RunKey(run, attempt)]() -> Awaitable<void> {
    co_await engine->Cancel(key, kCancelTimeout);
  });
}

void RunnerDispatcher::Expire(TimePoint now) {
  const Duration window = Millis(rules_.attach_window_ms);
  for (auto it = runs_.begin(); it != runs_.end();) {
    const std::shared_ptr<AgentRun> run = it->second;
    ++it;
    if (run->readers > 0 || now - run->unattended_since < window) continue;
    Cancel(run->run, run->attempt);
    if (run->ended()) runs_.erase(RunKey(run->run, run->attempt));
  }
}

}  // namespace fuchsiaweir
