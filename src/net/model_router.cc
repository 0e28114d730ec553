#include "net/model_router.h"

#include <absl/cleanup/cleanup.h>
#include <absl/random/distributions.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "core/block_chain.h"
#include "core/digest.h"
#include "core/tokenizer.h"
#include "net/caller_stream.h"
#include "net/log.h"

namespace fuchsiaweir {
namespace {

constexpr Duration kBidTimeout = Millis(400);
constexpr Duration kNoBidRetryAfter = Millis(200);
constexpr Duration kNoRunnerRetryAfter = Seconds(1);
constexpr int64_t kRetryBudgetBurst = 20;
constexpr int kBidRounds = 2;
/// The second round of bids goes to this many times as many runners as the first.
constexpr size_t kSecondRoundFactor = 3;

std::string NewRunId(absl::BitGen& random) {
  return absl::StrCat(absl::Hex(absl::Uniform<uint64_t>(random), absl::kZeroPad16),
                      absl::Hex(absl::Uniform<uint64_t>(random), absl::kZeroPad16));
}

Error NotRunError(ErrorCode code, std::string message, Duration retry_after = Duration{0}) {
  return {code, RunState::kNotRun, std::move(message), retry_after};
}

/// Maps the caller's priority, -10 to 10, to the queue's background (0), normal (1) or urgent (2).
int64_t QueuePriority(int64_t priority) { return priority < 0 ? 0 : (priority == 0 ? 1 : 2); }

std::string RequestDigest(const Team& team, const CompletionRequest& request) {
  return Sha256Hex(absl::StrCat(team.name.size(), ":", team.name, request.model.size(), ":",
                                request.model, request.prompt));
}

std::vector<std::string> HexIds(const std::vector<BlockId>& chain) {
  std::vector<std::string> ids;
  ids.reserve(chain.size());
  for (const BlockId& id : chain) ids.push_back(ToHex(id));
  return ids;
}

}  // namespace

/// Runner and agent of an attempt.
struct ModelRouter::Target {
  std::string runner;
  Endpoint agent;
};

/// State of one completion request.
struct ModelRouter::Session {
  Session(HttpExchange& exchange, CompletionRequest completion, Team caller,
          std::shared_ptr<const ConfigSnapshot> snapshot, const std::string& run_id)
      : caller(exchange, std::move(completion), run_id),
        team(std::move(caller)),
        config(std::move(snapshot)),
        assembly(run_id, 1),
        started(SteadyNow()) {}

  const CompletionRequest& request() const { return caller.request(); }
  const Rules& rules() const { return config->inventory.rules; }

  CallerStream caller;
  Team team;
  std::shared_ptr<const ConfigSnapshot> config;
  StreamAssembly assembly;
  TimePoint started;
  TimePoint deadline;
  std::vector<std::string> prompt;
  std::vector<std::string> blocks;  ///< Block ids in hex.
  std::string prefix;               ///< Key of the candidate choice: first block id, or run id.
  std::string request_digest;       ///< Identifies the request in crash records.
  bool suspect = false;
  bool hot_prefix = false;
  size_t candidate_count = 0;
  std::vector<std::string> failed_runners;
  int64_t attempts = 0;
  RequestStage last_stage = RequestStage::kNotDispatched;
  std::vector<RunState> outcomes;
  std::optional<Duration> time_to_first_token;
  bool caller_gone = false;
};

ModelRouter::ModelRouter(ComponentRegistry& components)
    : io_(components.io()),
      config_(components.Find<ConfigService>("config")),
      gate_(components.Find<ServiceGate>("service_gate")),
      suspects_(components.Find<SuspectService>("suspects")),
      quotas_(components.Find<TeamQuotas>("team_quotas")),
      agents_(components.Find<HttpClients>("http_clients").peers()),
      metrics_(components.Find<Metrics>("metrics")),
      hot_prefixes_(HotPrefixRules{}),
      retry_budget_(Rules{}.retry_budget_percent, kRetryBudgetBurst) {}

void ModelRouter::Configure() {
  const int64_t generation = gate_.generation();
  if (generation == configured_generation_) return;
  configured_generation_ = generation;
  const std::shared_ptr<const ConfigSnapshot> config = config_.current();
  const Inventory& inventory = config->inventory;
  auto candidates = std::make_shared<CandidateTable>(inventory);
  for (const Runner& runner : inventory.runners) {
    if (!gate_.RunnerAccepts(runner.name)) candidates->SetInService(runner.name, false);
  }
  candidates_ = std::move(candidates);
  if (inventory.rules.retry_budget_percent != retry_budget_percent_) {
    retry_budget_percent_ = inventory.rules.retry_budget_percent;
    retry_budget_ = RetryBudget(retry_budget_percent_, kRetryBudgetBurst);
  }
}

std::optional<Error> ModelRouter::PrepareSession(Session& session) {
  const Inventory& inventory = session.config->inventory;
  const Model* model = FindByName(inventory.models, session.request().model);
  if (model == nullptr) {
    return NotRunError(ErrorCode::kUnknownModel,
                       "unknown model \"" + session.request().model + "\"");
  }
  session.prompt = FindTokenizer(model->tokenizer)(session.request().prompt);
  const BlockScope scope{session.team.name, model->name, model->adapter, model->version};
  session.blocks = HexIds(BlockChain(scope, session.prompt, model->block_tokens));
  session.request_digest = RequestDigest(session.team, session.request());
  std::optional<Error> poisoned = CheckSuspect(session);
  if (poisoned) return poisoned;
  session.deadline = session.started + Millis(session.rules().request_deadline_ms);
  // A prompt shorter than a block has nothing to reuse, so its run id selects any runner.
  session.prefix = session.blocks.empty() ? session.assembly.run() : session.blocks.front();
  const double rate = hot_prefixes_.Record(session.prefix, session.started);
  session.hot_prefix = hot_prefixes_.IsHot(rate);
  session.candidate_count =
      hot_prefixes_.Candidates(rate, static_cast<size_t>(session.rules().bid_candidates));
  const int64_t tokens = static_cast<int64_t>(session.prompt.size()) + session.request().max_tokens;
  return quotas_.Admit(session.team.name, tokens);
}

std::optional<Error> ModelRouter::CheckSuspect(Session& session) {
  const PoisonVerdict verdict = suspects_.Decide(session.request_digest);
  session.suspect = verdict == PoisonVerdict::kIsolate;
  if (verdict != PoisonVerdict::kRefuse) return std::nullopt;
  return NotRunError(ErrorCode::kPoisoned, "two runners crashed while they ran this request");
}

Awaitable<void> ModelRouter::Serve(HttpExchange& exchange, CompletionRequest request, Team team) {
  Configure();
  Session session(exchange, std::move(request), std::move(team), config_.current(),
                  NewRunId(random_));
  std::optional<Error> failure = PrepareSession(session);
  if (!failure) {
    const absl::Cleanup release = [this, &session]() { quotas_.Release(session.team.name); };
    retry_budget_.OnFirstAttempt();
    failure = co_await RunAttempts(session);
  }
  if (session.assembly.complete() && session.suspect) {
    suspects_.ReportCompletion(session.request_digest);
  }
  RecordMetrics(session, failure);
  if (session.caller_gone) co_return;
  if (failure) {
    co_await session.caller.Fail(FinalError(session, *failure));
    co_return;
  }
  co_await session.caller.Finish(session.assembly.finish(), session.assembly.usage());
}

Awaitable<std::optional<Error>> ModelRouter::RunAttempts(Session& session) {
  while (true) {
    std::optional<Error> failure = co_await RunAttempt(session);
    if (!failure || session.caller_gone) co_return failure;
    LogWarning("attempt_failed", {{"run", session.assembly.run()},
                                  {"code", std::string(Name(failure->code))},
                                  {"reason", failure->message}});
    session.outcomes.push_back(RunOutcome(session.last_stage));
    std::optional<Error> poisoned = RecordCrash(session, *failure);
    if (poisoned) co_return poisoned;
    const bool retry = co_await PrepareRetry(session, *failure);
    if (!retry) co_return failure;
  }
}

std::optional<Error> ModelRouter::RecordCrash(Session& session, const Error& failure) {
  if (failure.code != ErrorCode::kTargetCrashed) return std::nullopt;
  suspects_.ReportCrash(session.request_digest, failure.crashed_instance);
  return CheckSuspect(session);
}

Awaitable<bool> ModelRouter::PrepareRetry(Session& session, const Error& failure) {
  FailedAttempt attempt;
  attempt.stage = session.last_stage;
  attempt.code = failure.code;
  attempt.repeatable = true;  // A resumed run continues after the delivered tokens.
  attempt.attempts = session.attempts;
  attempt.retry_after = failure.retry_after;
  attempt.time_left = session.deadline - SteadyNow();
  const RetryDecision decision =
      DecideRetry(retry_rules_, attempt, retry_budget_, absl::Uniform(random_, 0.0, 1.0));
  if (!decision.retry) co_return false;
  co_await SleepFor(decision.delay);
  co_return !session.caller.caller_gone();
}

Awaitable<CollectedBids> ModelRouter::RequestBids(Session& session,
                                                  std::vector<const CandidateRunner*> from) {
  std::vector<BidTarget> targets;
  for (const CandidateRunner* candidate : from) {
    const Host* host = FindByName(session.config->inventory.hosts, candidate->host);
    const bool listed = std::any_of(targets.begin(), targets.end(), [&](const BidTarget& target) {
      return target.host == candidate->host;
    });
    // The table may be newer than this request's configuration and contain other hosts.
    if (listed || host == nullptr) continue;
    targets.push_back({host->name, {host->address, static_cast<uint16_t>(host->port)}});
  }
  BidRequest request;
  request.team = session.team.name;
  request.model = session.request().model;
  request.blocks = session.blocks;
  request.prompt_tokens = static_cast<int64_t>(session.prompt.size());
  request.max_tokens = session.request().max_tokens;
  request.priority = QueuePriority(session.request().priority);
  request.deadline_ms = ToMillis(session.deadline - SteadyNow());
  co_return co_await CollectBids(io_, agents_, std::move(targets), std::move(request), kBidTimeout);
}

Result<ModelRouter::Target> ModelRouter::PickBid(Session& session, const CollectedBids& collected,
                                                 const std::string& home) {
  std::vector<Bid> bids;
  std::vector<const BidTarget*> targets;
  for (const CollectedBid& candidate : collected.bids) {
    const bool failed = std::count(session.failed_runners.begin(), session.failed_runners.end(),
                                   candidate.bid.runner) > 0;
    if (failed) continue;
    bids.push_back(candidate.bid);
    targets.push_back(&candidate.target);
  }
  const std::optional<size_t> choice =
      ChooseBid(bids, home, session.hot_prefix, DispatchRules{}, absl::Uniform<uint64_t>(random_));
  if (choice) return Target{bids[*choice].runner, targets[*choice]->agent};
  return collected.refusal.value_or(
      NotRunError(ErrorCode::kNoTarget, "no runner made a bid", kNoBidRetryAfter));
}

Awaitable<Result<ModelRouter::Target>> ModelRouter::ChooseTarget(Session& session) {
  CandidateQuery query;
  query.team = session.team.name;
  query.model = session.request().model;
  query.prefix_block = session.prefix;
  query.count = session.candidate_count;
  query.excluded = session.failed_runners;
  Result<Target> target =
      NotRunError(ErrorCode::kNoTarget, "no runner in service has the model", kNoRunnerRetryAfter);
  // A new configuration replaces the table, while the candidates point into this one.
  const std::shared_ptr<const CandidateTable> table = candidates_;
  const CandidateRunner* fallback = nullptr;
  for (int round = 0; round < kBidRounds; ++round) {
    const std::vector<const CandidateRunner*> candidates = table->Choose(query);
    if (candidates.empty()) break;
    const std::string home = candidates.front()->name;
    const CollectedBids collected = co_await RequestBids(session, candidates);
    target = PickBid(session, collected, home);
    if (target) break;
    // Slow agents may still accept the run: without any response it goes to its home runner, whose
    // agent admits or refuses it.
    if (round == 0) fallback = candidates.front();
    if (collected.refusal) fallback = nullptr;
    for (const CandidateRunner* candidate : candidates) query.excluded.push_back(candidate->name);
    query.count = session.candidate_count * kSecondRoundFactor;
  }
  if (!target && fallback != nullptr) {
    const Host* host = FindByName(session.config->inventory.hosts, fallback->host);
    if (host == nullptr) co_return target;
    target = Target{fallback->name, {host->address, static_cast<uint16_t>(host->port)}};
  }
  co_return target;
}

Awaitable<std::optional<Error>> ModelRouter::RunAttempt(Session& session) {
  session.last_stage = RequestStage::kNotDispatched;
  ++session.attempts;
  const Result<Target> target = co_await ChooseTarget(session);
  if (!target) co_return target.error();
  session.assembly.Resume(session.attempts);

  RunRequest run;
  run.run = session.assembly.run();
  run.attempt = session.assembly.attempt();
  run.runner = target.value().runner;
  run.team = session.team.name;
  run.model = session.request().model;
  run.prompt = session.prompt;
  run.produced = session.caller.output();
  run.max_tokens = session.request().max_tokens;
  run.priority = QueuePriority(session.request().priority);
  run.deadline_ms = ToMillis(session.deadline - SteadyNow());
  run.suspect = session.suspect;
  ProgressRules rules;
  rules.silence_timeout = Millis(session.rules().progress_deadline_ms);
  rules.attach_window = Millis(session.rules().attach_window_ms);
  RunStream stream(agents_, target.value().agent, session.assembly, rules, session.deadline);
  RunEvent last = co_await stream.Open(std::move(run));
  if (last.type != RunEvent::Type::kFailed) last = co_await Relay(session, stream);
  session.last_stage = last.stage;
  const bool done = last.type == RunEvent::Type::kDone;
  if (!done) session.failed_runners.push_back(target.value().runner);
  // A run that the agent refused needs no cancel request.
  if (!done && RunOutcome(last.stage) != RunState::kNotRun) co_await stream.Cancel();
  if (done || session.caller_gone) co_return std::nullopt;
  co_return last.error;
}

Awaitable<RunEvent> ModelRouter::Relay(Session& session, RunStream& stream) {
  while (true) {
    RunEvent event = co_await stream.Next();
    if (!event.tokens.empty() && !session.time_to_first_token) {
      session.time_to_first_token = SteadyNow() - session.started;
    }
    const bool delivered = co_await session.caller.Deliver(std::move(event.tokens));
    if (!delivered) {
      session.caller_gone = true;
      event.type = RunEvent::Type::kFailed;
      event.stage = RequestStage::kAnswerIncomplete;
    }
    const bool ended = event.type == RunEvent::Type::kDone || event.type == RunEvent::Type::kFailed;
    if (ended) co_return event;
  }
}

Error ModelRouter::FinalError(const Session& session, Error last) const {
  last.run_state = CombineOutcomes(session.outcomes);
  return last;
}

void ModelRouter::RecordMetrics(const Session& session, const std::optional<Error>& failure) {
  std::string result = failure ? std::string(Name(failure->code)) : "ok";
  if (session.caller_gone) result = "caller_gone";
  metrics_
      .Counter("fw_completions_total", "Completions by team and result.",
               {{"team", session.team.name}, {"result", result}})
      .Increment();
  if (!session.time_to_first_token) return;
  metrics_
      .Seconds("fw_time_to_first_token_seconds", "Time from the request to its first token.",
               {{"model", session.request().model}})
      .Observe(ToSeconds(*session.time_to_first_token));
}

}  // namespace fuchsiaweir
