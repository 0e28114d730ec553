#include "net/agent_service.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <utility>

#include "net/common_routes.h"
#include "net/log.h"
#include "net/service_gate.h"
#include "net/timer_service.h"

namespace fuchsiaweir {
namespace {

constexpr char kRunsPath[] = "/internal/v1/runs";
constexpr Duration kExpiryPeriod = Seconds(1);
/// An empty frame after this pause tells the entry that the run is alive.
constexpr Duration kHeartbeat = Seconds(1);
/// An outcome that is not recorded by then leaves its call as unknown.
constexpr Duration kFlushLimit = Seconds(10);

}  // namespace

AgentService::AgentService(Kernel& kernel, const Settings& settings, HttpServerOptions options)
    : kernel_(kernel),
      settings_(settings),
      config_(kernel.Find<ConfigService>("config")),
      client_(kernel.Find<HttpClients>("http_clients").outside()),
      calls_(kernel.io(), client_, kernel.Find<ObjectApi>("object_api"),
             kernel.Find<Metrics>("metrics"), Millis(settings.platform_timeout_ms)),
      server_(kernel.io(), std::move(options),
              [this](HttpExchange& exchange) { return Handle(exchange); }) {
  kernel.Find<TimerService>("timer").Subscribe("run_expiry", kExpiryPeriod, [this](TimePoint now) {
    for (const auto& [name, dispatcher] : dispatchers_) dispatcher->Expire(now);
  });
}

void AgentService::Start() { server_.Start(); }

Awaitable<void> AgentService::Stop() {
  co_await server_.Drain();
  co_await calls_.Flush(kFlushLimit);
}

Awaitable<void> AgentService::Handle(HttpExchange& exchange) {
  if (co_await ServeCommonRoute(exchange, "agent", kernel_)) co_return;
  const std::string& method = exchange.request().method;
  const std::string& path = exchange.target().path;
  if (method == "POST" && path == kRunsPath) co_return co_await HandleRun(exchange);
  if (method == "POST" && path == "/internal/v1/calls") co_return co_await HandleCall(exchange);
  if (absl::StartsWith(path, absl::StrCat(kRunsPath, "/"))) {
    if (method == "GET") co_return co_await HandleAttach(exchange);
    if (method == "DELETE") co_return co_await HandleCancel(exchange);
  }
  HttpResponse response = ErrorResponse({ErrorCode::kNotFound, RunState::kNotRun,
                                         "no such route: " + method + " " + path, Duration{0}});
  co_await exchange.Respond(std::move(response));
}

std::optional<Error> AgentService::RefusalOfNewWork() const {
  return kernel_.Find<ServiceGate>("service_gate").RefusalOfNewWork();
}

RunnerDispatcher* AgentService::DispatcherOf(const std::string& name) {
  const auto found = dispatchers_.find(name);
  if (found != dispatchers_.end()) return found->second.get();
  const std::shared_ptr<const ConfigSnapshot> config = config_.current();
  const Runner* runner = FindByName(config->inventory.runners, name);
  if (runner == nullptr || runner->host != settings_.host) return nullptr;
  const Endpoint engine{runner->address, static_cast<uint16_t>(runner->port)};
  auto dispatcher = std::make_unique<RunnerDispatcher>(
      kernel_.io(), *runner, config->inventory.rules, MakeHttpEngineClient(client_, engine));
  return dispatchers_.emplace(name, std::move(dispatcher)).first->second.get();
}

Awaitable<void> AgentService::HandleRun(HttpExchange& exchange) {
  Result<RunRequest> request = DecodeRunRequest(exchange.request().body);
  std::optional<Error> refusal;
  if (!request) refusal = request.error();
  if (!refusal) refusal = RefusalOfNewWork();
  std::shared_ptr<AgentRun> run;
  int64_t offset = 0;
  if (!refusal) {
    RunnerDispatcher* dispatcher = DispatcherOf(request.value().runner);
    const std::shared_ptr<const ConfigSnapshot> config = config_.current();
    const Model* model = FindByName(config->inventory.models, request.value().model);
    if (dispatcher == nullptr || model == nullptr) {
      refusal = Error{ErrorCode::kNoTarget, RunState::kNotRun,
                      "no such runner on this host: " + request.value().runner, Duration{0}};
    } else {
      offset = static_cast<int64_t>(request.value().produced.size());
      Result<std::shared_ptr<AgentRun>> admitted =
          dispatcher->Admit(std::move(request.value()), *model);
      if (admitted) run = admitted.value();
      if (!admitted) refusal = admitted.error();
    }
  }
  if (refusal) {
    HttpResponse response = ErrorResponse(*refusal);
    co_await exchange.Respond(std::move(response));
    co_return;
  }
  co_await SendFrames(exchange, run, offset);
}

std::shared_ptr<AgentRun> AgentService::FindRun(const HttpTarget& target) {
  const std::string run = target.path.substr(std::string(kRunsPath).size() + 1);
  const int64_t attempt = target.QueryInteger("attempt", 0);
  for (const auto& [name, dispatcher] : dispatchers_) {
    std::shared_ptr<AgentRun> found = dispatcher->Find(run, attempt);
    if (found != nullptr) return found;
  }
  return nullptr;
}

Awaitable<void> AgentService::HandleAttach(HttpExchange& exchange) {
  const std::shared_ptr<AgentRun> run = FindRun(exchange.target());
  const int64_t offset = exchange.target().QueryInteger("offset", 0);
  const bool readable = run != nullptr && offset >= run->base &&
                        offset <= run->base + static_cast<int64_t>(run->tokens.size());
  if (!readable) {
    HttpResponse response = ErrorResponse(
        {ErrorCode::kNotFound, RunState::kUnknown, "no such run or offset", Duration{0}});
    co_await exchange.Respond(std::move(response));
    co_return;
  }
  co_await SendFrames(exchange, run, offset);
}

Awaitable<void> AgentService::HandleCancel(HttpExchange& exchange) {
  const std::shared_ptr<AgentRun> run = FindRun(exchange.target());
  if (run != nullptr) {
    for (const auto& [name, dispatcher] : dispatchers_) dispatcher->Cancel(run->run, run->attempt);
  }
  HttpResponse response = JsonResponse(200, "{}");
  co_await exchange.Respond(std::move(response));
}

Awaitable<void> AgentService::SendFrames(HttpExchange& exchange, std::shared_ptr<AgentRun> run,
                                         int64_t offset) {
  HttpHeaders headers{{"Content-Type", "application/x-ndjson"}};
  bool open = co_await exchange.BeginStream(200, std::move(headers));
  ++run->readers;
  bool ended = false;
  while (open && !ended) {
    const int64_t available = run->base + static_cast<int64_t>(run->tokens.size());
    Frame frame;
    frame.run = run->run;
    frame.attempt = run->attempt;
    frame.offset = offset;
    frame.tokens.assign(run->tokens.begin() + (offset - run->base), run->tokens.end());
    frame.done = run->done;
    frame.finish = run->finish;
    frame.usage = run->usage;
    frame.error = run->error;
    ended = run->ended();
    offset = available;
    open = co_await exchange.WriteChunk(EncodeFrame(frame));
    if (!open || ended) break;
    const bool current = offset == run->base + static_cast<int64_t>(run->tokens.size());
    if (current && !run->ended()) {
      boost::system::error_code woken;
      run->changed.expires_after(kHeartbeat);
      co_await run->changed.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, woken));
    }
    open = !exchange.peer_gone();
  }
  --run->readers;
  run->unattended_since = SteadyNow();
  if (open) co_await exchange.EndStream();
}

Awaitable<void> AgentService::HandleCall(HttpExchange& exchange) {
  Result<ServiceCall> call = DecodeServiceCall(exchange.request().body);
  std::optional<Error> refusal;
  if (!call) refusal = call.error();
  if (!refusal) refusal = RefusalOfNewWork();
  Result<ServiceAnswer> answer = ServiceAnswer{};
  if (!refusal) {
    const std::shared_ptr<const ConfigSnapshot> config = config_.current();
    const Service* service = FindByName(config->inventory.services, call.value().replica);
    if (service == nullptr || service->host != settings_.host) {
      refusal = Error{ErrorCode::kNoTarget, RunState::kNotRun,
                      "no such service on this host: " + call.value().replica, Duration{0}};
    } else {
      answer = co_await calls_.Dispatch(std::move(call.value()), *service,
                                        Seconds(config->inventory.rules.claim_lifetime_s));
      if (!answer) refusal = answer.error();
    }
  }
  HttpResponse response =
      refusal ? ErrorResponse(*refusal) : JsonResponse(200, EncodeServiceAnswer(answer.value()));
  co_await exchange.Respond(std::move(response));
}

}  // namespace fuchsiaweir
