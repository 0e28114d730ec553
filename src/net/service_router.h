#ifndef FUCHSIAWEIR_NET_SERVICE_ROUTER_H_
#define FUCHSIAWEIR_NET_SERVICE_ROUTER_H_

#include <string>
#include <vector>

#include "core/inventory.h"
#include "core/run_message.h"
#include "net/config_service.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/service_gate.h"
#include "net/team_quotas.h"

namespace fuchsiaweir {

/// Routes calls under /v1/services/NAME/ to the agent on the host of a replica of the service.
class ServiceRouter {
 public:
  ServiceRouter(ConfigService& config, ServiceGate& gate, TeamQuotas& quotas, HttpClient& agents);

  Awaitable<void> Serve(HttpExchange& exchange, Team team);

 private:
  Awaitable<Result<ServiceResponse>> RouteWithinQuota(ServiceCall call);
  Awaitable<Result<ServiceResponse>> Route(ServiceCall call,
                                           std::shared_ptr<const ConfigSnapshot> config);
  Awaitable<Result<ServiceResponse>> CallAgent(const ServiceCall& call, Host host);

  ConfigService& config_;
  ServiceGate& gate_;
  TeamQuotas& quotas_;
  HttpClient& agents_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_SERVICE_ROUTER_H_
