#include "net/entry_service.h"

#include <absl/strings/match.h>

#include <memory>
#include <string>
#include <utility>

#include "core/digest.h"
#include "net/common_routes.h"
#include "net/listen_retry.h"
#include "net/suspect_service.h"

namespace fuchsiaweir {
namespace {

constexpr char kBearerPrefix[] = "Bearer ";

}  // namespace

EntryService::EntryService(ComponentRegistry& components, const Settings& settings,
                           HttpServerOptions options)
    : components_(components),
      settings_(settings),
      config_(components.Find<ConfigService>("config")),
      models_(components),
      services_(config_, components.Find<ServiceGate>("service_gate"),
                components.Find<TeamQuotas>("team_quotas"),
                components.Find<HttpClients>("http_clients").peers()),
      server_(components.io(), std::move(options),
              [this](HttpExchange& exchange) { return Handle(exchange); }) {}

void EntryService::Start() {
  const Endpoint address{settings_.listen_address, static_cast<uint16_t>(settings_.listen_port)};
  ListenWithRetry(components_.io(), {"requests", address, [this]() { server_.Start(); },
                                     [this]() { return !stopping_; }});
}

Awaitable<void> EntryService::Stop() {
  stopping_ = true;
  // The load balancer opens new connections until its check of /readyz has failed.
  co_await SleepFor(Millis(settings_.shutdown_grace_ms));
  co_await server_.Drain();
}

std::optional<Team> EntryService::Authenticate(const HttpRequest& request) const {
  const std::string header = HeaderValue(request.headers, "Authorization");
  if (!absl::StartsWith(header, kBearerPrefix)) return std::nullopt;
  const std::string digest = Sha256Hex(header.substr(std::string(kBearerPrefix).size()));
  const std::shared_ptr<const ConfigSnapshot> config = config_.current();
  for (const Team& team : config->inventory.teams) {
    for (const std::string& valid : team.key_digests) {
      if (valid == digest) return team;
    }
  }
  return std::nullopt;
}

Awaitable<void> EntryService::Handle(HttpExchange& exchange) {
  if (co_await ServeCommonRoute(exchange, "entry", components_)) co_return;
  const std::string& method = exchange.request().method;
  const std::string& path = exchange.target().path;
  if (method == "POST" && path == "/internal/v1/suspects") {
    co_return co_await components_.Find<SuspectService>("suspects").Serve(exchange);
  }
  const std::optional<Team> team = Authenticate(exchange.request());
  HttpResponse response;
  if (!team) {
    response = ErrorResponse({ErrorCode::kUnauthorized, RunState::kNotRun,
                              "the bearer key is missing or unknown", Duration{0}});
  } else if (method == "POST" && path == "/v1/completions") {
    co_return co_await HandleCompletion(exchange, CompletionKind::kText, *team);
  } else if (method == "POST" && path == "/v1/chat/completions") {
    co_return co_await HandleCompletion(exchange, CompletionKind::kChat, *team);
  } else if (method == "GET" && path == "/v1/models") {
    response = JsonResponse(200, RenderModels(config_.current()->inventory.models));
  } else if (absl::StartsWith(path, "/v1/services/")) {
    co_return co_await services_.Serve(exchange, *team);
  } else {
    response = ErrorResponse({ErrorCode::kNotFound, RunState::kNotRun,
                              "no such route: " + method + " " + path, Duration{0}});
  }
  co_await exchange.Respond(std::move(response));
}

Awaitable<void> EntryService::HandleCompletion(HttpExchange& exchange, CompletionKind kind,
                                               Team team) {
  Result<CompletionRequest> request = ParseCompletionRequest(kind, exchange.request().body);
  if (request) {
    co_return co_await models_.Serve(exchange, std::move(request.value()), std::move(team));
  }
  HttpResponse response = ErrorResponse(request.error());
  co_await exchange.Respond(std::move(response));
}

}  // namespace fuchsiaweir
