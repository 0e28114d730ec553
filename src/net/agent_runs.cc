#include "net/agent_runs.h"

#include <absl/strings/str_cat.h>

#include <utility>

#include "net/log.h"

namespace fuchsiaweir {
namespace {

constexpr char kRunPrefix[] = "/internal/v1/runs/";
constexpr Duration kDrainPollInterval = Millis(20);

RunAttempt ParseRunAttempt(const HttpTarget& target) {
  return {target.path.substr(std::string(kRunPrefix).size()), target.QueryInteger("attempt", 0)};
}

/// Returns the terms of a run, or nullopt if the model is unknown.
std::optional<RunTerms> MakeRunTerms(const Inventory& inventory, const std::string& model,
                                     const std::string& team) {
  const Model* found = FindByName(inventory.models, model);
  if (found == nullptr) return std::nullopt;
  RunTerms terms;
  terms.model = *found;
  if (const Team* found_team = FindByName(inventory.teams, team)) {
    terms.team_weight = found_team->weight;
  }
  terms.event_timeout = Millis(inventory.rules.progress_deadline_ms);
  return terms;
}

Error UnknownModelError(const std::string& model) {
  return {ErrorCode::kUnknownModel, RunState::kNotRun, "unknown model \"" + model + "\""};
}

}  // namespace

AgentRuns::AgentRuns(boost::asio::io_context& io, const Settings& settings, ConfigService& config,
                     HttpClient& client)
    : io_(io), settings_(settings), config_(config), client_(client) {
  buffers_.emplace(io, RunTableLimits{}, [this](const RunAttempt& run) { StopRun(run); });
}

AgentRuns::Dispatcher AgentRuns::FindOrCreate(const ConfigSnapshot& config,
                                              const std::string& name) {
  const Runner* runner = FindByName(config.inventory.runners, name);
  if (runner == nullptr || runner->host != settings_.host) return nullptr;
  const auto found = dispatchers_.find(name);
  if (found != dispatchers_.end()) return found->second;
  const Endpoint engine{runner->address, static_cast<uint16_t>(runner->port)};
  auto dispatcher = std::make_shared<RunnerDispatcher>(io_, *runner, config.inventory.rules,
                                                       MakeHttpEngineClient(client_, engine),
                                                       *buffers_, transfer_);
  dispatcher->Start();
  dispatchers_[name] = dispatcher;
  return dispatcher;
}

AgentRuns::Dispatcher AgentRuns::Find(const std::string& runner) {
  Reconcile();
  const std::shared_ptr<const ConfigSnapshot> config = config_.current();
  return FindOrCreate(*config, runner);
}

void AgentRuns::Reconcile() {
  const std::shared_ptr<const ConfigSnapshot> config = config_.current();
  if (config->revision == revision_) return;
  revision_ = config->revision;
  const Inventory& inventory = config->inventory;
  buffers_->Configure(inventory.rules);
  for (auto entry = dispatchers_.begin(); entry != dispatchers_.end();) {
    const Dispatcher dispatcher = entry->second;
    const Runner& old = dispatcher->runner();
    const Runner* runner = FindByName(inventory.runners, entry->first);
    const bool unchanged = runner != nullptr && runner->host == settings_.host &&
                           runner->address == old.address && runner->port == old.port;
    if (unchanged) {
      dispatcher->Configure(*runner, inventory.rules);
      ++entry;
    } else {
      removed_.push_back(dispatcher);
      entry = dispatchers_.erase(entry);
    }
  }
  for (const Runner& runner : inventory.runners) FindOrCreate(*config, runner.name);
}

void AgentRuns::Tick(TimePoint now) {
  Reconcile();
  buffers_->Expire(now);
  std::erase_if(removed_, [](const Dispatcher& dispatcher) { return dispatcher->idle(); });
}

void AgentRuns::StopRun(const RunAttempt& run) {
  for (const auto& [name, dispatcher] : dispatchers_) dispatcher->Stop(run);
  for (const Dispatcher& dispatcher : removed_) dispatcher->Stop(run);
}

Result<std::vector<Bid>> AgentRuns::MakeBids(const BidRequest& request) {
  Reconcile();
  const std::shared_ptr<const ConfigSnapshot> config = config_.current();
  const std::optional<RunTerms> terms =
      MakeRunTerms(config->inventory, request.model, request.team);
  if (!terms) return UnknownModelError(request.model);
  Error refusal{ErrorCode::kNoTarget, RunState::kNotRun,
                absl::StrCat("host ", settings_.host, " has no runner")};
  std::vector<Bid> bids;
  for (const auto& [name, dispatcher] : dispatchers_) {
    const Result<Bid> bid = dispatcher->MakeBid(request, *terms);
    if (bid) bids.push_back(bid.value());
    if (!bid) refusal = bid.error();
  }
  if (bids.empty()) return refusal;
  return bids;
}

Awaitable<void> AgentRuns::HandleBids(HttpExchange& exchange, std::optional<Error> refusal) {
  Result<std::vector<Bid>> bids = std::vector<Bid>();
  if (refusal) {
    bids = *refusal;
  } else {
    const Result<BidRequest> request = DecodeBidRequest(exchange.request().body);
    if (request) bids = MakeBids(request.value());
    if (!request) bids = request.error();
  }
  const int status = bids ? 200 : HttpStatus(bids.error().code);
  HttpResponse response = JsonResponse(status, EncodeBidResponse(bids));
  co_await exchange.Respond(std::move(response));
}

std::optional<Error> AgentRuns::Admit(RunRequest request) {
  const Dispatcher dispatcher = Find(request.runner);
  if (dispatcher == nullptr) {
    return Error{ErrorCode::kOutOfService, RunState::kNotRun,
                 absl::StrCat("host ", settings_.host, " has no runner ", request.runner)};
  }
  const std::shared_ptr<const ConfigSnapshot> config = config_.current();
  std::optional<RunTerms> terms = MakeRunTerms(config->inventory, request.model, request.team);
  if (!terms) return UnknownModelError(request.model);
  return dispatcher->Admit(std::move(request), std::move(*terms));
}

Awaitable<void> AgentRuns::HandleRun(HttpExchange& exchange, std::optional<Error> refusal) {
  RunAttempt run;
  int64_t offset = 0;
  if (!refusal) {
    Result<RunRequest> request = DecodeRunRequest(exchange.request().body);
    if (request) {
      run = {request.value().run, request.value().attempt};
      offset = static_cast<int64_t>(request.value().produced.size());
      refusal = Admit(std::move(request.value()));
    } else {
      refusal = request.error();
    }
  }
  if (refusal) {
    HttpResponse response = ErrorResponse(*refusal);
    co_await exchange.Respond(std::move(response));
    co_return;
  }
  co_await buffers_->Serve(exchange, std::move(run), offset);
}

Awaitable<void> AgentRuns::HandleAttach(HttpExchange& exchange) {
  RunAttempt run = ParseRunAttempt(exchange.target());
  const int64_t offset = exchange.target().QueryInteger("offset", 0);
  co_await buffers_->Serve(exchange, std::move(run), offset);
}

Awaitable<void> AgentRuns::HandleCancel(HttpExchange& exchange) {
  buffers_->Cancel(ParseRunAttempt(exchange.target()));
  HttpResponse response = JsonResponse(200, "{}");
  co_await exchange.Respond(std::move(response));
}

Awaitable<void> AgentRuns::Drain() {
  while (buffers_->undelivered() > 0) co_await SleepFor(kDrainPollInterval);
}

void AgentRuns::UpdateMetrics(Metrics& metrics) const {
  for (const auto& [name, dispatcher] : dispatchers_) {
    const Metrics::Labels labels{{"runner", name}};
    metrics.Gauge("fw_runner_queued", "Runs that wait for the runner.", labels)
        .Set(static_cast<double>(dispatcher->queued()));
    metrics.Gauge("fw_runner_running", "Runs that the gate has admitted.", labels)
        .Set(static_cast<double>(dispatcher->running()));
    metrics.Gauge("fw_runner_limit", "Concurrent runs that the gate admits.", labels)
        .Set(static_cast<double>(dispatcher->limit()));
  }
}

}  // namespace fuchsiaweir
