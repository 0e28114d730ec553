#include "net/common_routes.h"

#include <absl/strings/match.h>

#include <boost/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "net/config_client.h"
#include "net/peer_authenticator.h"
#include "net/revision_exchange.h"
#include "net/service_gate.h"

namespace fuchsiaweir {
namespace {

/// A process whose place is out of service is not ready, so that the balancer moves its callers to
/// other places. It still serves those that arrive.
HttpResponse ReadyResponse(ComponentRegistry& components) {
  const bool ready =
      components.Find<Readiness>("readiness").ready() &&
      components.Find<ServiceGate>("service_gate").OwnHostState() == ServiceState::kAccepting;
  return {ready ? 200 : 503, {{"Content-Type", "text/plain"}}, ready ? "ready\n" : "not ready\n"};
}

HttpResponse StatusResponse(const std::string& role, ComponentRegistry& components) {
  const boost::json::object status{
      {"role", role},
      {"revision", components.Find<ConfigService>("config").current()->revision},
      {"state", std::string(Name(components.Find<ServiceGate>("service_gate").OwnHostState()))},
      {"ready", components.Find<Readiness>("readiness").ready()}};
  return JsonResponse(200, boost::json::serialize(status));
}

}  // namespace

Awaitable<bool> ServeCommonRoute(HttpExchange& exchange, const std::string& role,
                                 ComponentRegistry& components) {
  const std::string& method = exchange.request().method;
  const std::string& path = exchange.target().path;
  if (absl::StartsWith(path, "/internal/")) {
    const std::optional<Error> refusal =
        components.Find<PeerAuthenticator>("peer_authenticator").Refusal(exchange);
    if (refusal) {
      HttpResponse unauthorized = ErrorResponse(*refusal);
      co_await exchange.Respond(std::move(unauthorized));
      co_return true;
    }
    components.Find<RevisionExchange>("revision_exchange").Serve(exchange);
  }
  if (method == "GET" && path == kConfigPath) {
    co_await components.Find<ConfigService>("config").ServePoll(exchange);
    co_return true;
  }
  if (method == "POST" && path == "/internal/v1/tighten") {
    co_await components.Find<ServiceGate>("service_gate").ServeTighten(exchange);
    co_return true;
  }
  HttpResponse response;
  if (path == "/healthz") {
    response = {200, {{"Content-Type", "text/plain"}}, "ok\n"};
  } else if (path == "/readyz") {
    response = ReadyResponse(components);
  } else if (path == "/metrics") {
    response = {200,
                {{"Content-Type", "text/plain; version=0.0.4"}},
                components.Find<Metrics>("metrics").Text()};
  } else if (path == "/internal/v1/status") {
    response = StatusResponse(role, components);
  } else {
    co_return false;
  }
  co_await exchange.Respond(std::move(response));
  co_return true;
}

}  // namespace fuchsiaweir
