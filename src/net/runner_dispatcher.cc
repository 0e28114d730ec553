#include "net/runner_dispatcher.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "net/log.h"

namespace fuchsiaweir {
namespace {

constexpr Duration kCancelTimeout = Seconds(1);

// The mean run time is an exponential moving average; a new sample has a weight of 1/5.
constexpr Duration kInitialMeanRunTime = Seconds(1);
constexpr int kMeanRunTimeDivisor = 5;

constexpr Duration kUnreachableRetryAfter = Seconds(1);

// One long prefill at a time bounds the delay of short prompts to the prefill time of one long
// prompt.
constexpr int64_t kMaxLongPrefills = 1;

// A runner that was idle for longer may have been replaced since its last report.
constexpr Duration kMaxTrustedIdleTime = Millis(100);

// Older load reports are not trusted. Covers several busy poll periods.
constexpr Duration kReportValidity = Seconds(2);

// A failed run counts against the gate's limit for at most this time while the engine does not
// confirm that it has ended the run.
constexpr Duration kEngineReleaseTimeout = Seconds(30);
constexpr Duration kEngineReleasePollInterval = Millis(250);

Error NotRunError(ErrorCode code, std::string message, Duration retry_after = Duration{0}) {
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
      mean_run_time_(kInitialMeanRunTime) {}

void RunnerDispatcher::Start() {
  monitor_->Start([this](const EngineProbe& probe) { OnLoadPoll(probe); });
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

RunnerLoad RunnerDispatcher::LoadFor(const QueuedRequest& queued_request, const RunTerms& terms,
                                     const BlockResidency& residency) const {
  RunnerLoad load;
  load.runner = runner_.name;
  load.model = monitor_->load() ? monitor_->load()->model : runner_.model;
  // With fair queueing, a request waits only for the work ahead of it at its team's share, not for
  // everything that other teams have queued.
  load.queue_items = queue_.ItemsAhead(queued_request);
  load.max_queue = rules_.max_queue;
  const Duration queue_time = queue_.EstimatedTime(queued_request);
  const double tokens_ahead =
      ToSeconds(queue_time) * static_cast<double>(runner_.prefill_tokens_per_second);
  load.queue_tokens =
      std::max<int64_t>(0, static_cast<int64_t>(tokens_ahead) - queued_request.tokens);
  load.queue_tokens += prefilling_tokens_;
  load.limit = gate_.limit();
  load.running = gate_.running() + gate_.external_runs();
  load.decode_slots = runner_.max_concurrent;
  load.mean_run = mean_run_time_;
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
    return NotRunError(ErrorCode::kNoTarget,
                       absl::StrCat("the engine of runner ", runner_.name, " is not reachable"),
                       kUnreachableRetryAfter);
  }
  std::vector<BlockId> chain;
  for (const std::string& block : request.blocks) {
    const std::optional<BlockId> id = BlockIdFromHex(block);
    if (!id) return NotRunError(ErrorCode::kBadRequest, "malformed block id \"" + block + "\"");
    chain.push_back(*id);
  }
  const BlockResidency residency = ResidencyOf(chain);
  const int64_t resident = residency.resident_blocks * terms.model.block_tokens;
  const TimePoint first_token_deadline = SteadyNow() + Millis(request.deadline_ms);
  const QueuedRequest queued_request{"",
                                     request.team,
                                     terms.team_weight,
                                     request.priority,
                                     std::max<int64_t>(1, request.prompt_tokens - resident),
                                     first_token_deadline};
  return fuchsiaweir::MakeBid(request, LoadFor(queued_request, terms, residency));
}

QueuedRequest RunnerDispatcher::ToQueuedRequest(const AcceptedRun& run) const {
  return {run.key,
          run.request.team,
          run.terms.team_weight,
          run.request.priority,
          run.tokens_to_prefill,
          run.first_token_deadline};
}

std::optional<Error> RunnerDispatcher::CheckAdmission(const RunRequest& request) const {
  if (monitor_->unreachable()) {
    return NotRunError(ErrorCode::kNoTarget,
                       absl::StrCat("the engine of runner ", runner_.name, " is not reachable"),
                       kUnreachableRetryAfter);
  }
  const std::string& model = monitor_->load() ? monitor_->load()->model : runner_.model;
  if (model == request.model) return std::nullopt;
  return NotRunError(
      ErrorCode::kUnknownModel,
      absl::StrCat("runner ", runner_.name, " serves model ", model, ", not ", request.model));
}

std::optional<Error> RunnerDispatcher::Admit(RunRequest request, RunTerms terms) {
  if (std::optional<Error> refusal = CheckAdmission(request)) return refusal;
  const TimePoint now = SteadyNow();
  auto run = std::make_shared<AcceptedRun>();
  run->id = {request.run, request.attempt};
  run->key = RunKey(run->id);
  run->first_token_deadline = now + Millis(request.deadline_ms);
  const std::vector<BlockId> chain =
      BlockChain({request.team, request.model, terms.model.adapter, version()}, request.prompt,
                 terms.model.block_tokens);
  const BlockResidency residency = ResidencyOf(chain);
  const auto tokens_to_compute =
      static_cast<int64_t>(request.prompt.size() + request.produced.size()) -
      residency.resident_blocks * terms.model.block_tokens;
  run->tokens_to_prefill = std::max<int64_t>(1, tokens_to_compute);
  run->request = std::move(request);
  run->terms = std::move(terms);

  const auto offset = static_cast<int64_t>(run->request.produced.size());
  if (std::optional<Error> refusal = buffers_.Open(run->id, offset)) return refusal;
  const QueuedRequest queued_request = ToQueuedRequest(*run);
  BidRequest bid_request;
  bid_request.team = run->request.team;
  bid_request.model = run->request.model;
  bid_request.prompt_tokens =
      run->tokens_to_prefill + residency.resident_blocks * run->terms.model.block_tokens;
  bid_request.deadline_ms = run->request.deadline_ms;
  RunnerLoad load = LoadFor(queued_request, run->terms, residency);
  load.model = bid_request.model;
  // A full queue does not refuse here: FairQueue::Push decides which request it displaces.
  load.max_queue = load.queue_items + 1;
  const Result<Bid> estimate = fuchsiaweir::MakeBid(bid_request, load);
  std::optional<Error> refusal;
  if (!estimate) refusal = estimate.error();
  if (!refusal) refusal = queue_.Push(queued_request, now);
  if (refusal) {
    buffers_.Discard(run->id);
    return refusal;
  }
  accepted_[run->key] = run;
  StartReadyRuns();
  return std::nullopt;
}

void RunnerDispatcher::RefuseQueued(const std::string& key, const Error& error) {
  const auto found = accepted_.find(key);
  if (found == accepted_.end()) return;
  const RunAttempt id = found->second->id;
  accepted_.erase(found);
  buffers_.Fail(id, error);
}

void RunnerDispatcher::RefuseDropped(TimePoint now) {
  for (const QueuedRequest& queued_request : queue_.TakeRefused(now)) {
    RefuseQueued(
        queued_request.id,
        NotRunError(
            ErrorCode::kOverloaded,
            absl::StrCat(
                "the run was dropped from the queue of runner ", runner_.name,
                ": it can no longer meet its deadline or was displaced by another team's run")));
  }
}

void RunnerDispatcher::RefuseAllQueued(const Error& error) {
  std::vector<std::string> queued;
  for (const auto& [key, run] : accepted_) {
    if (!running_.contains(key)) queued.push_back(key);
  }
  for (const std::string& key : queued) {
    queue_.Remove(key);
    if (isolated_run_ != nullptr && isolated_run_->key == key) isolated_run_ = nullptr;
    RefuseQueued(key, error);
  }
}

void RunnerDispatcher::OnLoadPoll(const EngineProbe& probe) {
  if (probe.unreachable) {
    gate_.ResetToCold();
    RefuseAllQueued(
        NotRunError(ErrorCode::kNoTarget,
                    absl::StrCat("the engine of runner ", runner_.name, " became unreachable"),
                    kUnreachableRetryAfter));
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
  StartReadyRuns();
}

void RunnerDispatcher::RetainConfirmed() {
  // Blocks computed across a weight change would carry ids of the old version, so blocks are
  // retained only after a load report requested after the run shows the same engine epoch.
  std::vector<PendingRetain> waiting;
  for (PendingRetain& pending : pending_retains_) {
    if (pending.epoch != epoch_) continue;
    if (monitor_->requested_at() > pending.ended) {
      transfer_->Retain(std::move(pending.blocks));
    } else {
      waiting.push_back(std::move(pending));
    }
  }
  pending_retains_ = std::move(waiting);
}

Awaitable<EngineCall> RunnerDispatcher::OrderLoad(LoadOrder order, Duration timeout) {
  const std::shared_ptr<RunnerDispatcher> self = shared_from_this();
  ++pending_load_orders_;
  EngineCall call = co_await engine_->LoadWeights(std::move(order), timeout);
  // Also after a failed call: an order whose response was lost may have taken effect.
  co_await monitor_->ProbeNow();
  --pending_load_orders_;
  StartReadyRuns();
  co_return call;
}

bool RunnerDispatcher::MayStart(TimePoint now) const {
  if (!monitor_->load() || monitor_->unreachable() || pending_load_orders_ > 0) return false;
  if (!gate_.HasCapacity()) return false;
  // The engine may have become cold since the last report, so runs above the cold limit need a
  // recent one.
  const TimePoint requested_at = monitor_->requested_at();
  const bool fresh = requested_at >= min_report_time_ && now - requested_at < kReportValidity;
  return fresh || gate_.running() + gate_.external_runs() < runner_.cold_limit;
}

bool RunnerDispatcher::StartIsolatedRun(TimePoint now) {
  if (isolated_run_ == nullptr) return false;
  if (running_.contains(isolated_run_->key)) return true;
  if (now > isolated_run_->first_token_deadline) {
    const std::string key = std::exchange(isolated_run_, nullptr)->key;
    RefuseQueued(key,
                 NotRunError(ErrorCode::kOverloaded,
                             absl::StrCat("runner ", runner_.name,
                                          " did not become idle before the deadline of the suspect "
                                          "request, which must run alone")));
    return false;
  }
  if (running_.empty() && gate_.external_runs() == 0 && MayStart(now)) StartRun(isolated_run_);
  return true;
}

void RunnerDispatcher::StartReadyRuns() {
  const TimePoint now = SteadyNow();
  RefuseDropped(now);
  while (!StartIsolatedRun(now) && MayStart(now)) {
    const std::optional<QueuedRequest> queued_request =
        queue_.Pop(now, long_prefills_ < kMaxLongPrefills);
    if (!queued_request) break;
    const Accepted run = accepted_.at(queued_request->id);
    if (run->request.suspect) {
      isolated_run_ = run;
    } else {
      StartRun(run);
    }
  }
  RefuseDropped(now);
  UpdateBusy();
}

void RunnerDispatcher::UpdateBusy() { monitor_->SetBusy(!accepted_.empty()); }

void RunnerDispatcher::StartRun(const Accepted& run) {
  const std::optional<Admission> admission = gate_.TryAdmit();
  if (!admission) return;
  const TimePoint now = SteadyNow();
  if (running_.empty() && now - idle_since_ > kMaxTrustedIdleTime) min_report_time_ = now;
  run->admission = *admission;
  run->prefilling = true;
  running_[run->key] = run;
  if (FairQueue::IsLong(run->tokens_to_prefill)) ++long_prefills_;
  Spawn(io_, "run", [self = shared_from_this(), run]() { return self->ExecuteRun(run); });
}

void RunnerDispatcher::OnPrefillEnded(AcceptedRun& run) {
  if (!run.prefilling) return;
  run.prefilling = false;
  prefilling_tokens_ -= run.tokens_to_prefill;
  if (FairQueue::IsLong(run.tokens_to_prefill)) --long_prefills_;
}

int64_t RunnerDispatcher::RunsDecoding() const {
  return std::count_if(running_.begin(), running_.end(), [](const auto& entry) {
    return entry.second->on_engine && !entry.second->prefilling;
  });
}

Awaitable<void> RunnerDispatcher::ExecuteRun(Accepted run) {
  const TimePoint started = SteadyNow();
  EngineRunContext context{runner_, engine_, monitor_, buffers_, transfer_, prefilling_tokens_, {}};
  context.on_first_token = [this, run]() {
    OnPrefillEnded(*run);
    StartReadyRuns();
  };
  prefilling_tokens_ += run->tokens_to_prefill;
  EngineRunResult result = co_await RunOnEngine(std::move(context), run);
  OnPrefillEnded(*run);
  run->on_engine = false;
  if (!result.released) co_await AwaitEngineRelease(run);
  if (result.end.completed && transfer_ != nullptr) {
    pending_retains_.push_back({std::move(result.blocks), result.epoch, SteadyNow()});
  }
  OnRunEnded(run, result.end, started);
}

Awaitable<void> RunnerDispatcher::AwaitEngineRelease(Accepted run) {
  // The run counts against the gate's limit while the engine may still compute it: a cold runner
  // must not get another run beside it.
  CancelOnEngine(run->key);
  const TimePoint release_deadline = SteadyNow() + kEngineReleaseTimeout;
  const uint64_t epoch = monitor_->epoch();
  while (SteadyNow() < release_deadline) {
    // Only runs that are sending tokens are certain to be in the report; counting others could hide
    // the run that is still on the engine.
    const int64_t visible_runs = RunsDecoding() + gate_.external_runs();
    const EngineProbe probe = co_await monitor_->ProbeNow();
    if (probe.unreachable || monitor_->epoch() != epoch) break;
    if (probe.load && probe.load->running + probe.load->waiting <= visible_runs) break;
    co_await SleepFor(kEngineReleasePollInterval);
  }
}

void RunnerDispatcher::OnRunEnded(const Accepted& run, const RunEnd& end, TimePoint started) {
  const TimePoint now = SteadyNow();
  gate_.OnRunEnd(run->admission, end);
  if (end.completed) {
    mean_run_time_ =
        (mean_run_time_ * (kMeanRunTimeDivisor - 1) + (now - started)) / kMeanRunTimeDivisor;
  }
  running_.erase(run->key);
  accepted_.erase(run->key);
  if (isolated_run_ == run) isolated_run_ = nullptr;
  if (running_.empty()) idle_since_ = now;
  StartReadyRuns();
}

void RunnerDispatcher::Stop(const RunAttempt& id) {
  const auto found = accepted_.find(RunKey(id));
  if (found == accepted_.end()) return;
  const Accepted run = found->second;
  run->cancelled = true;
  if (running_.contains(run->key)) {
    if (run->on_engine) CancelOnEngine(run->key);
    return;
  }
  queue_.Remove(run->key);
  if (isolated_run_ == run) isolated_run_ = nullptr;
  accepted_.erase(run->key);
  StartReadyRuns();
}

void RunnerDispatcher::CancelOnEngine(const std::string& key) {
  Spawn(io_, "cancel", [engine = engine_, key]() -> Awaitable<void> {
    co_await engine->Cancel(key, kCancelTimeout);
  });
}

}  // namespace fuchsiaweir
