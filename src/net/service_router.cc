#include "net/service_router.h"

#include <absl/cleanup/cleanup.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <memory>
#include <optional>
#include <utility>

#include "core/rendezvous.h"
#include "core/run_outcome.h"
#include "net/peer_error.h"

namespace fuchsiaweir {
namespace {

constexpr char kServicesPath[] = "/v1/services/";
/// Maximum number of replicas that a call is sent to, one after the other.
constexpr size_t kMaxReplicas = 3;
constexpr Duration kNoReplicaRetryAfter = Seconds(1);
// The agent ends a call at the call's deadline. The entry waits longer, so that a response sent
// just before the deadline is not lost, even if the agent is short of CPU time.
constexpr Duration kAgentResponseMargin = Seconds(3);

/// Returns whether a service may normalize the path to a different one.
bool IsAmbiguous(const std::string& path) {
  return absl::StrContains(path, "%") || absl::StrContains(path, "//") ||
         absl::StrContains(path, "/.");
}

bool IsNonIdempotent(const Service& service, const ServiceCall& call) {
  if (call.method == "GET" || call.method == "HEAD") return false;
  const std::string path = call.path.substr(0, call.path.find('?'));
  // A different spelling of a listed path must not pass as idempotent and be sent twice.
  if (!service.non_idempotent.empty() && IsAmbiguous(path)) return true;
  for (const std::string& prefix : service.non_idempotent) {
    if (absl::StartsWith(path, prefix)) return true;
  }
  return false;
}

/// Returns whether the call may be retried on another replica after this failure.
bool IsRetryable(const ServiceCall& call, const Error& failure) {
  switch (failure.code) {
    case ErrorCode::kBadRequest:
    case ErrorCode::kTooLarge:
    case ErrorCode::kUnauthorized:
    case ErrorCode::kKeyReused:
    case ErrorCode::kKeyExpired:
      return false;  // Another replica would return the same error.
    default:
      return failure.run_state == RunState::kNotRun || !call.non_idempotent;
  }
}

std::vector<Service> ReplicasInService(const Inventory& inventory, ServiceGate& gate,
                                       const ServiceCall& call) {
  std::vector<std::string> names;
  for (const Service& service : inventory.services) {
    const bool matches = service.service == call.service;
    if (matches && gate.HostAccepts(service.host)) names.push_back(service.name);
  }
  const std::string key = absl::StrCat(call.team, "/", call.service, "/", call.idempotency_key);
  std::vector<Service> replicas;
  for (const std::string& name : RendezvousTop(key, names, kMaxReplicas)) {
    replicas.push_back(*FindByName(inventory.services, name));
  }
  return replicas;
}

bool ServiceExists(const Inventory& inventory, const std::string& name) {
  for (const Service& service : inventory.services) {
    if (service.service == name) return true;
  }
  return false;
}

ServiceCall MakeCall(const HttpExchange& exchange, const Team& team) {
  const HttpRequest& request = exchange.request();
  const std::string rest = request.target.substr(std::string(kServicesPath).size());
  const size_t slash = rest.find('/');
  ServiceCall call;
  call.team = team.name;
  call.service = rest.substr(0, slash);
  call.path = slash == std::string::npos ? "/" : rest.substr(slash);
  call.method = request.method;
  call.content_type = HeaderValue(request.headers, "Content-Type");
  call.idempotency_key = HeaderValue(request.headers, "Idempotency-Key");
  call.body = request.body;
  return call;
}

}  // namespace

ServiceRouter::ServiceRouter(ConfigService& config, ServiceGate& gate, TeamQuotas& quotas,
                             HttpClient& agents)
    : config_(config), gate_(gate), quotas_(quotas), agents_(agents) {}

Awaitable<void> ServiceRouter::Serve(HttpExchange& exchange, Team team) {
  ServiceCall call = MakeCall(exchange, team);
  const Result<ServiceResponse> result = co_await RouteWithinQuota(std::move(call));
  HttpResponse response;
  if (result) {
    response.status = static_cast<int>(result.value().status);
    response.headers.emplace_back("Content-Type", result.value().content_type);
    if (result.value().replayed) response.headers.emplace_back("Idempotent-Replayed", "true");
    response.body = result.value().body;
  } else {
    response = ErrorResponse(result.error());
  }
  co_await exchange.Respond(std::move(response));
}

Awaitable<Result<ServiceResponse>> ServiceRouter::RouteWithinQuota(ServiceCall call) {
  const std::string team = call.team;
  const std::optional<Error> refusal = quotas_.Admit(team, /*tokens=*/0);
  if (refusal) co_return *refusal;
  const absl::Cleanup release = [this, &team]() { quotas_.Release(team); };
  co_return co_await Route(std::move(call), config_.current());
}

Awaitable<Result<ServiceResponse>> ServiceRouter::Route(
    ServiceCall call, std::shared_ptr<const ConfigSnapshot> config) {
  const Inventory& inventory = config->inventory;
  if (!ServiceExists(inventory, call.service)) {
    co_return Error{ErrorCode::kUnknownService, RunState::kNotRun,
                    "unknown service \"" + call.service + "\"", Duration{0}};
  }
  Error failure{ErrorCode::kNoTarget, RunState::kNotRun, "no replica of the service is in service",
                kNoReplicaRetryAfter};
  const TimePoint deadline = SteadyNow() + Millis(inventory.rules.request_deadline_ms);
  std::vector<RunState> attempts;
  const std::vector<Service> replicas = ReplicasInService(inventory, gate_, call);
  for (const Service& service : replicas) {
    call.deadline_ms = ToMillis(deadline - SteadyNow());
    if (call.deadline_ms <= 0) break;
    call.replica = service.name;
    call.non_idempotent = IsNonIdempotent(service, call);
    const Host* host = FindByName(inventory.hosts, service.host);
    Result<ServiceResponse> result = co_await CallAgent(call, *host);
    if (result) co_return result;
    failure = result.error();
    attempts.push_back(failure.run_state);
    if (!IsRetryable(call, failure)) break;
  }
  if (!attempts.empty()) failure.run_state = CombineOutcomes(attempts);
  co_return failure;
}

Awaitable<Result<ServiceResponse>> ServiceRouter::CallAgent(const ServiceCall& call, Host host) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/internal/v1/calls";
  request.body = EncodeServiceCall(call);
  CallOptions options;
  options.timeout = Millis(call.deadline_ms) + kAgentResponseMargin;
  options.fresh_connection = call.non_idempotent;
  const Endpoint agent{host.address, static_cast<uint16_t>(host.port)};
  const HttpResult result = co_await agents_.Call(agent, std::move(request), options);
  if (!result.response) {
    const RequestStage stage = result.stage == CallStage::kSent ? RequestStage::kWriteStarted
                                                                : RequestStage::kNotConnected;
    co_return Error{ErrorCode::kTargetFailed, RunOutcome(stage), result.failure, Duration{0}};
  }
  if (!result.ok()) co_return DecodeErrorResponse(*result.response);
  Result<ServiceResponse> response = DecodeServiceResponse(result.response->body);
  if (response) co_return response;
  co_return Error{ErrorCode::kIncompleteAnswer, RunOutcome(RequestStage::kAnswerIncomplete),
                  response.error().message, Duration{0}};
}

}  // namespace fuchsiaweir
