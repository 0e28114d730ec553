#include "net/agent_service.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <optional>
#include <utility>

#include "net/common_routes.h"
#include "net/listen_retry.h"
#include "net/metrics.h"
#include "net/service_gate.h"
#include "net/timer_service.h"

namespace fuchsiaweir {
namespace {

constexpr char kRunsPath[] = "/internal/v1/runs";
constexpr Duration kTickInterval = Seconds(1);
/// Maximum time for recording outcomes at shutdown. A call whose outcome is not recorded keeps run
/// state unknown.
constexpr Duration kFlushTimeout = Seconds(10);

BlockMoverOptions MoverOptions(const Settings& settings) {
  return {settings.host, settings.data_centre, settings.block_memory_bytes};
}

std::shared_ptr<const Inventory> CurrentInventory(const ConfigService& config) {
  const std::shared_ptr<const ConfigSnapshot> snapshot = config.current();
  return {snapshot, &snapshot->inventory};
}

}  // namespace

AgentService::AgentService(ComponentRegistry& components, const Settings& settings,
                           HttpServerOptions options)
    : components_(components),
      settings_(settings),
      config_(components.Find<ConfigService>("config")),
      client_(components.Find<HttpClients>("http_clients").external()),
      calls_(components.io(), client_, components.Find<ObjectApi>("object_api"),
             components.Find<Metrics>("metrics"), Millis(settings.platform_timeout_ms)),
      mover_(
          components.io(), client_, [this]() { return CurrentInventory(config_); },
          components.Find<Metrics>("metrics"), MoverOptions(settings)),
      runs_(components.io(), settings, config_, client_),
      server_(components.io(), std::move(options),
              [this](HttpExchange& exchange) { return Handle(exchange); }) {
  runs_.SetTransfer(&mover_);
  components.Find<TimerService>("timer").Subscribe(
      "agent_runs", kTickInterval, [this](TimePoint now) {
        mover_.ApplyInventory();
        runs_.Tick(now);
        runs_.UpdateMetrics(components_.Find<Metrics>("metrics"));
      });
}

void AgentService::Start() {
  const Endpoint address{settings_.listen_address, static_cast<uint16_t>(settings_.listen_port)};
  ListenWithRetry(components_.io(), {"requests", address, [this]() { server_.Start(); },
                                     [this]() { return !stopping_; }});
}

Awaitable<void> AgentService::Stop() {
  stopping_ = true;
  // The server stays open while runs drain, so that an entry that lost its connection can reattach.
  co_await runs_.Drain();
  co_await server_.Drain();
  co_await calls_.Flush(kFlushTimeout);
}

Awaitable<void> AgentService::Handle(HttpExchange& exchange) {
  if (co_await ServeCommonRoute(exchange, "agent", components_)) co_return;
  const std::string& method = exchange.request().method;
  const std::string& path = exchange.target().path;
  if (method == "POST" && path == "/internal/v1/bids") {
    co_return co_await runs_.HandleBids(exchange, CheckAdmission());
  }
  if (method == "POST" && path == kRunsPath) co_return co_await HandleRuns(exchange);
  if (method == "POST" && path == "/internal/v1/calls") co_return co_await HandleCall(exchange);
  const bool one_run = absl::StartsWith(path, absl::StrCat(kRunsPath, "/"));
  if (one_run && (method == "GET" || method == "DELETE")) co_return co_await HandleRuns(exchange);
  HttpResponse response = ErrorResponse({ErrorCode::kNotFound, RunState::kNotRun,
                                         "no such route: " + method + " " + path, Duration{0}});
  co_await exchange.Respond(std::move(response));
}

std::optional<Error> AgentService::CheckAdmission() const {
  if (!components_.Find<Readiness>("readiness").ready()) {
    return Error{ErrorCode::kOutOfService, RunState::kNotRun,
                 absl::StrCat("host ", settings_.host, " is shutting down"), Duration{0}};
  }
  return components_.Find<ServiceGate>("service_gate").CheckAdmission();
}

Awaitable<void> AgentService::HandleRuns(HttpExchange& exchange) {
  const std::string& method = exchange.request().method;
  if (method == "POST") co_return co_await runs_.HandleRun(exchange, CheckAdmission());
  if (method == "DELETE") co_return co_await runs_.HandleCancel(exchange);
  co_await runs_.HandleAttach(exchange);
}

Awaitable<void> AgentService::HandleCall(HttpExchange& exchange) {
  Result<ServiceCall> call = DecodeServiceCall(exchange.request().body);
  std::optional<Error> refusal;
  if (!call) refusal = call.error();
  if (!refusal) refusal = CheckAdmission();
  Result<ServiceResponse> result = ServiceResponse{};
  if (!refusal) {
    const std::shared_ptr<const ConfigSnapshot> config = config_.current();
    const Service* service = FindByName(config->inventory.services, call.value().replica);
    if (service == nullptr || service->host != settings_.host) {
      refusal = Error{ErrorCode::kNoTarget, RunState::kNotRun,
                      "no such service on this host: " + call.value().replica, Duration{0}};
    } else {
      result = co_await calls_.Dispatch(std::move(call.value()), *service,
                                        Seconds(config->inventory.rules.claim_lifetime_s));
      if (!result) refusal = result.error();
    }
  }
  HttpResponse response =
      refusal ? ErrorResponse(*refusal) : JsonResponse(200, EncodeServiceResponse(result.value()));
  co_await exchange.Respond(std::move(response));
}

}  // namespace fuchsiaweir
