#include "net/engine_run.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "net/log.h"

namespace fuchsiaweir {
namespace {

/// Drives one run; the coroutine that owns it keeps it alive.
class EngineRun {
 public:
  EngineRun(EngineRunContext context, std::shared_ptr<AcceptedRun> run)
      : context_(std::move(context)), run_(std::move(run)) {}

  Awaitable<EngineRunEnd> Execute();

 private:
  Awaitable<int64_t> PrepareBlocks();
  void NoteEngine();
  GenerateRequest MakeRequest() const;
  Awaitable<void> Relay(EngineStream& stream);
  bool OnTokens(const EngineEvent& event);
  void OnDone(const EngineEvent& event);
  Awaitable<void> OnFailure(EngineEvent event);
  Duration EventTimeout() const;

  EngineRunContext context_;
  std::shared_ptr<AcceptedRun> run_;
  EngineRunEnd result_;
  std::string instance_;
  int64_t fetched_tokens_ = 0;
  int64_t next_offset_ = 0;
  TimePoint first_token_{};
  TimePoint last_token_{};
};

void EngineRun::NoteEngine() {
  const RunRequest& request = run_->request;
  const EngineLoad& engine = *context_.monitor->load();
  const Model& model = run_->terms.model;
  instance_ = engine.instance;
  result_.epoch = context_.monitor->epoch();
  BlockDemand& demand = result_.blocks;
  demand.runner = context_.runner.name;
  demand.team = request.team;
  demand.model = request.model;
  // The engine's own version decides: the inventory may already name one that is not loaded yet.
  demand.chain = BlockChain({request.team, request.model, model.adapter, engine.version},
                            request.prompt, model.block_tokens);
  demand.block_tokens = model.block_tokens;
  demand.prompt_tokens = static_cast<int64_t>(request.prompt.size());
  demand.backlog_tokens = context_.backlog_tokens;
  demand.prefill_tokens_per_second = context_.runner.prefill_tokens_per_second;
  demand.time_left = run_->due - SteadyNow();
}

Awaitable<int64_t> EngineRun::PrepareBlocks() {
  NoteEngine();
  if (context_.transfer == nullptr) co_return 0;
  BlockDemand demand = result_.blocks;
  const PreparedBlocks prepared = co_await context_.transfer->Prepare(std::move(demand));
  if (result_.epoch == context_.monitor->epoch()) co_return prepared.fetched_tokens;
  // The engine restarted or changed its weights meanwhile: what was imported is of no use.
  NoteEngine();
  co_return 0;
}

GenerateRequest EngineRun::MakeRequest() const {
  GenerateRequest generate;
  generate.run = run_->key;
  generate.prompt = run_->request.prompt;
  generate.produced = run_->request.produced;
  for (const BlockId& block : result_.blocks.chain) generate.blocks.push_back(ToHex(block));
  generate.block_tokens = run_->terms.model.block_tokens;
  generate.max_tokens = run_->request.max_tokens;
  generate.priority = run_->request.priority;
  return generate;
}

Duration EngineRun::EventTimeout() const {
  if (last_token_ != TimePoint{}) return run_->terms.event_timeout;
  // The engine sends nothing while it computes this prompt and those before it.
  const int64_t tokens = context_.backlog_tokens + result_.blocks.prompt_tokens +
                         static_cast<int64_t>(run_->request.produced.size());
  const int64_t speed = std::max<int64_t>(1, context_.runner.prefill_tokens_per_second);
  return run_->terms.event_timeout + Micros(2 * tokens * 1'000'000 / speed);
}

Awaitable<EngineRunEnd> EngineRun::Execute() {
  next_offset_ = static_cast<int64_t>(run_->request.produced.size());
  fetched_tokens_ = co_await PrepareBlocks();
  if (run_->stopped) co_return std::move(result_);
  run_->on_engine = true;
  GenerateRequest request = MakeRequest();
  const Duration timeout = EventTimeout();
  const std::unique_ptr<EngineStream> stream =
      co_await context_.engine->Generate(std::move(request), timeout);
  co_await Relay(*stream);
  co_return std::move(result_);
}

Awaitable<void> EngineRun::Relay(EngineStream& stream) {
  while (true) {
    EngineEvent event = co_await stream.Next(EventTimeout());
    if (event.kind == EngineEvent::Kind::kTokens && OnTokens(event)) continue;
    if (event.kind == EngineEvent::Kind::kDone) co_return OnDone(event);
    co_return co_await OnFailure(std::move(event));
  }
}

bool EngineRun::OnTokens(const EngineEvent& event) {
  if (event.offset != next_offset_) return false;
  const bool first = last_token_ == TimePoint{};
  last_token_ = SteadyNow();
  if (first) first_token_ = last_token_;
  if (first) context_.on_first_token();
  next_offset_ += static_cast<int64_t>(event.tokens.size());
  if (run_->stopped) return true;  // The engine needs a moment to stop.
  return context_.buffers.Append(run_->id, event.tokens);
}

void EngineRun::OnDone(const EngineEvent& event) {
  Usage usage;
  usage.prompt_tokens = result_.blocks.prompt_tokens;
  const int64_t found = std::clamp<int64_t>(event.cached_tokens, 0, usage.prompt_tokens);
  usage.fetched_tokens = std::clamp<int64_t>(fetched_tokens_, 0, found);
  usage.cached_tokens = found - usage.fetched_tokens;
  usage.recomputed_tokens = usage.prompt_tokens - found;
  usage.completion_tokens = next_offset_;
  context_.buffers.Finish(run_->id, event.finish, usage);
  result_.end.completed = true;
  const int64_t gaps = next_offset_ - static_cast<int64_t>(run_->request.produced.size()) - 1;
  if (gaps > 0) result_.end.token_time = (last_token_ - first_token_) / gaps;
}

Awaitable<void> EngineRun::OnFailure(EngineEvent event) {
  if (event.kind == EngineEvent::Kind::kTokens) event.failure = "unusable engine output";
  const bool refused = event.kind == EngineEvent::Kind::kRefused;
  Error error{refused ? ErrorCode::kCold : ErrorCode::kTargetFailed, RunOutcome(event.stage),
              absl::StrCat("runner ", context_.runner.name, ": ", event.failure)};
  if (!refused) {
    result_.settled = false;
    if (!run_->stopped && co_await context_.monitor->CrashedSince(instance_)) {
      result_.settled = true;
      error.code = ErrorCode::kTargetCrashed;
      error.crashed_instance = absl::StrCat(context_.runner.name, "/", instance_);
    }
  }
  if (run_->stopped) co_return;
  LogWarning("run_failed", {{"run", run_->id.run},
                            {"runner", context_.runner.name},
                            {"code", std::string(Name(error.code))},
                            {"reason", error.message}});
  context_.buffers.Fail(run_->id, error);
}

}  // namespace

Awaitable<EngineRunEnd> RunOnEngine(EngineRunContext context, std::shared_ptr<AcceptedRun> run) {
  EngineRun engine_run(std::move(context), std::move(run));
  co_return co_await engine_run.Execute();
}

}  // namespace fuchsiaweir
