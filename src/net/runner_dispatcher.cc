#include "net/runner_dispatcher.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "net/log.h"

namespace fuchsiaweir {
namespace {

constexpr Duration kCancelTimeout = Seconds(1);
constexpr Duration kFirstMeanRun = Seconds(1);

/// One long prefill at a time keeps the wait of short work below one long prompt.
constexpr int64_t kMaxLongPrefills = 1;

/// A runner that ran nothing for this long may have been replaced since its last report.
constexpr Duration kIdleGap = Millis(100);

/// Reports older than this prove nothing; it is several times the busy poll period.
constexpr Duration kReportValidity = Seconds(2);

/// Longest time that a run whose end the engine does not confirm keeps its slot.
constexpr Duration kMaxLinger = Seconds(30);
constexpr Duration kLingerPoll = Millis(250);

Error NotRun(ErrorCode code, std::string message, Duration retry_after = Duration{0}) {
  return Error{code, RunState::kNotRun, std::move(message), retry_after};
}

GateLimits LimitsOf(const Runner& runner, const Rules& rules) {
  return {runner.cold_limit, runner.max_concurrent, Millis(rules.healthy_token_ms),
          runner.warm_up_runs};
}

FairQueueLimits QueueLimitsOf(const Runner& runner, const Rules& rules) {
  return {static_cast<size_t>(rules.max_queue), runner.prefill_tokens_per_second};
}

std::string RunKey(const RunAttempt& id) { return absl::StrCat(id.run, "/", id.attempt); }

}  // namespace

RunnerDispatcher::RunnerDispatcher(boost::asio::io_context& io, const Runner& runner,
                                   const Rules& rules, std::unique_ptr<EngineClient> engine,
                                   RunBuffers& buffers, BlockTransfer* transfer)
    : io_(io),
      runner_(runner),
      rules_(rules),
      engine_(std::move(engine)),
      monitor_(std::make_shared<EngineMonitor>(io, engine_)),
      buffers_(buffers),
      transfer_(transfer),
      gate_(LimitsOf(runner, rules)),
      queue_(QueueLimitsOf(runner, rules)),
      mean_run_(kFirstMeanRun) {}

void RunnerDispatcher::Start() {
  monitor_->Start([this](const EngineProbe& probe) { OnReport(probe); });
}

void RunnerDispatcher::Close() { monitor_->Close(); }

void RunnerDispatcher::Configure(const Runner& runner, const Rules& rules) {
  runner_ = runner;
  rules_ = rules;
  gate_.SetLimits(LimitsOf(runner, rules));
  queue_.SetLimits(QueueLimitsOf(runner, rules));
}

std::string RunnerDispatcher::version() const {
  return monitor_->load() ? monitor_->load()->version : "";
}

BlockResidency RunnerDispatcher::ResidencyOf(const std::vector<BlockId>& chain) const {
  if (transfer_ == nullptr) return {};
  return transfer_->Residency(runner_.name, chain);
}

RunnerLoad RunnerDispatcher::LoadFor(const QueuedRequest& work, const RunTerms& terms,
                                     const BlockResidency& residency) const {
  RunnerLoad load;
  load.runner = runner_.name;
  load.model = monitor_->load() ? monitor_->load()->model : runner_.model;
  // A team waits for its share of the queue, not for everything that another team has queued.
  load.queue_items = queue_.ItemsAhead(work);
  load.max_queue = rules_.max_queue;
  const Duration waits = queue_.EstimatedTime(work);
  const double share = ToSeconds(waits) * static_cast<double>(runner_.prefill_tokens_per_second);
  load.queue_tokens = std::max<int64_t>(0, static_cast<int64_t>(share) - work.tokens);
  load.queue_tokens += prefill_tokens_;
  load.limit = gate_.limit();
  load.running = gate_.running() + gate_.external_runs();
  load.decode_slots = runner_.max_concurrent;
  load.mean_run = mean_run_;
  load.prefill_tokens_per_second = runner_.prefill_tokens_per_second;
  load.block_tokens = terms.model.block_tokens;
  load.block_bytes = terms.model.block_tokens * terms.model.kv_bytes_per_token;
  load.resident_blocks = residency.resident_blocks;
  load.fetchable_blocks = residency.fetchable_blocks;
  load.link_queue_bytes = residency.link_queue_bytes;
  if (residency.link_bytes_per_second > 0) {
    load.link_bytes_per_second = residency.link_bytes_per_second;
  }
  return load;
}

Result<Bid> RunnerDispatcher::MakeBid(const BidRequest& request, const RunTerms& terms) {
  if (monitor_->unreachable()) {
    return NotRun(ErrorCode::kNoTarget,
                  absl::StrCat("the engine of runner ", runner_.name, " is not reachable"),
                  Seconds(1));
  }
  std::vector<BlockId> chain;
  for (const std::string& block : request.blocks) {
    const std::optional<BlockId> id = BlockIdFromHex(block);
    if (!id) return NotRun(ErrorCode::kBadRequest, "malformed block id \"" + block + "\"");
    chain.push_back(*id);
  }
  const BlockResidency residency = ResidencyOf(chain);
  const int64_t resident = residency.resident_blocks * terms.model.block_tokens;
  const TimePoint due = SteadyNow() + Millis(request.deadline_ms);
  const QueuedRequest work{"",
                           request.team,
                           terms.team_weight,
                           request.priority,
                           std::max<int64_t>(1, request.prompt_tokens - resident),
                           due};
  return fuchsiaweir::MakeBid(request, LoadFor(work, terms, residency));
}

QueuedRequest RunnerDispatcher::WorkOf(const AcceptedRun& run) const {
  return {run.key,        run.request.team, run.terms.team_weight, run.request.priority,
          run.new_tokens, run.due};
}

std::optional<Error> RunnerDispatcher::RefusalOf(const RunRequest& request) const {
  if (monitor_->unreachable()) {
    return NotRun(ErrorCode::kNoTarget,
                  absl::StrCat("the engine of runner ", runner_.name, " is not reachable"),
                  Seconds(1));
  }
  const std::string& model = monitor_->load() ? monitor_->load()->model : runner_.model;
  if (model == request.model) return std::nullopt;
  return NotRun(ErrorCode::kUnknownModel, absl::StrCat("runner ", runner_.name, " serves model ",
                                                       model, ", not ", request.model));
}

std::optional<Error> RunnerDispatcher::Admit(RunRequest request, RunTerms terms) {
  if (std::optional<Error> refusal = RefusalOf(request)) return refusal;
  const TimePoint now = SteadyNow();
  auto run = std::make_shared<AcceptedRun>();
  run->id = {request.run, request.attempt};
  run->key = RunKey(run->id);
  run->due = now + Millis(request.deadline_ms);
  const std::vector<BlockId> chain =
      BlockChain({request.team, request.model, terms.model.adapter, version()}, request.prompt,
                 terms.model.block_tokens);
  const BlockResidency residency = ResidencyOf(chain);
  const auto computed = static_cast<int64_t>(request.prompt.size() + request.produced.size()) -
                        residency.resident_blocks * terms.model.block_tokens;
  run->new_tokens = std::max<int64_t>(1, computed);
  run->request = std::move(request);
  run->terms = std::move(terms);

  const auto offset = static_cast<int64_t>(run->request.produced.size());
  if (std::optional<Error> refusal = buffers_.Open(run->id, offset)) return refusal;
  const QueuedRequest work = WorkOf(*run);
  BidRequest question;
  question.team = run->request.team;
  question.model = run->request.model;
  question.prompt_tokens =
      run->new_tokens + residency.resident_blocks * run->terms.model.block_tokens;
  question.deadline_ms = run->request.deadline_ms;
  RunnerLoad load = LoadFor(work, run->terms, residency);
  load.model = question.model;
  // The queue itself decides who gets its last places.
  load.max_queue = load.queue_items + 1;
  const Result<Bid> estimate = fuchsiaweir::MakeBid(question, load);
  std::optional<Error> refusal;
  if (!estimate) refusal = estimate.error();
  if (!refusal) refusal = queue_.Push(work, now);
  if (refusal) {
    buffers_.Discard(run->id);
    return refusal;
  }
  accepted_[run->key] = run;
  Pump();
  return std::nullopt;
}

void RunnerDispatcher::RefuseQueued(const std::string& key, const Error& error) {
  const auto found = accepted_.find(key);
  if (found == accepted_.end()) return;
  const RunAttempt id = found->second->id;
  accepted_.erase(found);
  buffers_.Fail(id, error);
}

void RunnerDispatcher::RefuseLate(TimePoint now) {
  for (const QueuedRequest& work : queue_.TakeRefused(now)) {
    RefuseQueued(work.id, NotRun(ErrorCode::kOverloaded,
                                 absl::StrCat("the run waited for runner ", runner_.name,
                                              " until its deadline or lost its place")));
  }
}

void RunnerDispatcher::RefuseAllQueued(const Error& error) {
  std::vector<std::string> queued;
  for (const auto& [key, run] : accepted_) {
    if (!running_.contains(key)) queued.push_back(key);
  }
  for (const std::string& key : queued) {
    queue_.Remove(key);
    if (isolated_ != nullptr && isolated_->key == key) isolated_ = nullptr;
    RefuseQueued(key, error);
  }
}

void RunnerDispatcher::OnReport(const EngineProbe& probe) {
  if (probe.unreachable) {
    gate_.ResetToCold();
    RefuseAllQueued(NotRun(ErrorCode::kNoTarget,
                           absl::StrCat("the engine of runner ", runner_.name, " has ended"),
                           Seconds(1)));
  }
  if (probe.load) {
    gate_.OnEngineInstance(probe.load->instance);
    gate_.OnLoadReport({probe.load->running, probe.load->waiting, Duration{0}});
    if (epoch_ != monitor_->epoch()) {
      epoch_ = monitor_->epoch();
      if (transfer_ != nullptr) transfer_->OnEngineReset(runner_.name);
      LogInfo("engine_changed", {{"runner", runner_.name},
                                 {"instance", probe.load->instance},
                                 {"version", probe.load->version}});
    }
    RetainConfirmed();
  }
  Pump();
}

void RunnerDispatcher::RetainConfirmed() {
  // Blocks computed across a weight change would carry the old version's ids, so they are retained
  // only when a report from after the run shows the engine unchanged.
  std::vector<PendingRetain> waiting;
  for (PendingRetain& pending : retains_) {
    if (pending.epoch != epoch_) continue;
    if (monitor_->asked() > pending.ended) {
      transfer_->Retain(std::move(pending.blocks));
    } else {
      waiting.push_back(std::move(pending));
    }
  }
  retains_ = std::move(waiting);
}

Awaitable<EngineCall> RunnerDispatcher::OrderLoad(LoadOrder order, Duration timeout) {
  const std::shared_ptr<RunnerDispatcher> self = shared_from_this();
  ++loading_;
  EngineCall call = co_await engine_->LoadWeights(std::move(order), timeout);
  // Also after a refusal: an order whose answer was lost may have taken effect.
  co_await monitor_->ProbeNow();
  --loading_;
  Pump();
  co_return call;
}

bool RunnerDispatcher::MayStart(TimePoint now) const {
  if (!monitor_->load() || monitor_->unreachable() || loading_ > 0) return false;
  if (!gate_.HasCapacity()) return false;
  // The engine may have turned cold unannounced since the last report.
  const TimePoint asked = monitor_->asked();
  const bool fresh = asked >= fresh_from_ && now - asked < kReportValidity;
  return fresh || gate_.running() + gate_.external_runs() < runner_.cold_limit;
}

bool RunnerDispatcher::StartIsolated(TimePoint now) {
  if (isolated_ == nullptr) return false;
  if (running_.contains(isolated_->key)) return true;
  if (now > isolated_->due) {
    const std::string key = std::exchange(isolated_, nullptr)->key;
    RefuseQueued(key, NotRun(ErrorCode::kOverloaded,
                             absl::StrCat("runner ", runner_.name,
                                          " had no time to run the suspect request alone")));
    return false;
  }
  if (running_.empty() && gate_.external_runs() == 0 && MayStart(now)) StartRun(isolated_);
  return true;
}

void RunnerDispatcher::Pump() {
  const TimePoint now = SteadyNow();
  RefuseLate(now);
  while (!StartIsolated(now) && MayStart(now)) {
    const std::optional<QueuedRequest> work = queue_.Pop(now, long_prefills_ < kMaxLongPrefills);
    if (!work) break;
    const Accepted run = accepted_.at(work->id);
    if (run->request.suspect) {
      isolated_ = run;
    } else {
      StartRun(run);
    }
  }
  RefuseLate(now);
  UpdateBusy();
}

void RunnerDispatcher::UpdateBusy() { monitor_->SetBusy(!accepted_.empty()); }

void RunnerDispatcher::StartRun(const Accepted& run) {
  const std::optional<Admission> admission = gate_.TryAdmit();
  if (!admission) return;
  const TimePoint now = SteadyNow();
  if (running_.empty() && now - idle_since_ > kIdleGap) fresh_from_ = now;
  run->admission = *admission;
  run->prefilling = true;
  running_[run->key] = run;
  if (FairQueue::IsLong(run->new_tokens)) ++long_prefills_;
  Spawn(io_, "run", [self = shared_from_this(), run]() { return self->Drive(run); });
}

void RunnerDispatcher::OnPrefillEnded(AcceptedRun& run) {
  if (!run.prefilling) return;
  run.prefilling = false;
  prefill_tokens_ -= run.new_tokens;
  if (FairQueue::IsLong(run.new_tokens)) --long_prefills_;
}

int64_t RunnerDispatcher::RunsDecoding() const {
  return std::count_if(running_.begin(), running_.end(), [](const auto& entry) {
    return entry.second->on_engine && !entry.second->prefilling;
  });
}

Awaitable<void> RunnerDispatcher::Drive(Accepted run) {
  const TimePoint started = SteadyNow();
  EngineRunContext context{runner_, engine_, monitor_, buffers_, transfer_, prefill_tokens_, {}};
  context.on_first_token = [this, run]() {
    OnPrefillEnded(*run);
    Pump();
  };
  prefill_tokens_ += run->new_tokens;
  EngineRunEnd ended = co_await RunOnEngine(std::move(context), run);
  OnPrefillEnded(*run);
  run->on_engine = false;
  if (!ended.settled) co_await AwaitSettled(run);
  if (ended.end.completed && transfer_ != nullptr) {
    retains_.push_back({std::move(ended.blocks), ended.epoch, SteadyNow()});
  }
  OnRunEnded(run, ended.end, started);
}

Awaitable<void> RunnerDispatcher::AwaitSettled(Accepted run) {
  // The slot stays taken while the engine may still compute the run, since a cold runner must not
  // get another one beside it.
  CancelOnEngine(run->key);
  const TimePoint give_up = SteadyNow() + kMaxLinger;
  const uint64_t epoch = monitor_->epoch();
  while (SteadyNow() < give_up) {
    // Only runs that send tokens are certainly in the report; others could hide the lingering one.
    const int64_t certain = RunsDecoding() + gate_.external_runs();
    const EngineProbe probe = co_await monitor_->ProbeNow();
    if (probe.unreachable || monitor_->epoch() != epoch) break;
    if (probe.load && probe.load->running + probe.load->waiting <= certain) break;
    co_await SleepFor(kLingerPoll);
  }
}

void RunnerDispatcher::OnRunEnded(const Accepted& run, const RunEnd& end, TimePoint started) {
  const TimePoint now = SteadyNow();
  gate_.OnRunEnd(run->admission, end);
  if (end.completed) mean_run_ = (mean_run_ * 4 + (now - started)) / 5;
  running_.erase(run->key);
  accepted_.erase(run->key);
  if (isolated_ == run) isolated_ = nullptr;
  if (running_.empty()) idle_since_ = now;
  Pump();
}

void RunnerDispatcher::Stop(const RunAttempt& id) {
  const auto found = accepted_.find(RunKey(id));
  if (found == accepted_.end()) return;
  const Accepted run = found->second;
  run->stopped = true;
  if (running_.contains(run->key)) {
    if (run->on_engine) CancelOnEngine(run->key);
    return;
  }
  queue_.Remove(run->key);
  if (isolated_ == run) isolated_ = nullptr;
  accepted_.erase(run->key);
  Pump();
}

void RunnerDispatcher::CancelOnEngine(const std::string& key) {
  Spawn(io_, "cancel", [engine = engine_, key]() -> Awaitable<void> {
    co_await engine->Cancel(key, kCancelTimeout);
  });
}

}  // namespace fuchsiaweir
