#ifndef FUCHSIAWEIR_NET_AGENT_SERVICE_H_
#define FUCHSIAWEIR_NET_AGENT_SERVICE_H_

#include <optional>

#include "core/settings.h"
#include "net/agent_runs.h"
#include "net/block_mover.h"
#include "net/call_dispatcher.h"
#include "net/component_registry.h"
#include "net/config_service.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace fuchsiaweir {

/// The agent process on a host with targets. All requests to these targets pass through it.
class AgentService : public Component {
 public:
  AgentService(ComponentRegistry& components, const Settings& settings, HttpServerOptions options);

  void Start() override;
  /// Completes the accepted work, then closes the server. New work is refused meanwhile.
  Awaitable<void> Stop() override;

 private:
  Awaitable<void> Handle(HttpExchange& exchange);
  Awaitable<void> HandleRuns(HttpExchange& exchange);
  Awaitable<void> HandleCall(HttpExchange& exchange);

  /// Returns an error with run state not_run if this host accepts no new work.
  std::optional<Error> CheckAdmission() const;

  ComponentRegistry& components_;
  const Settings& settings_;
  ConfigService& config_;
  HttpClient& client_;
  CallDispatcher calls_;
  BlockMover mover_;
  AgentRuns runs_;
  HttpServer server_;
  bool stopping_ = false;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_AGENT_SERVICE_H_
