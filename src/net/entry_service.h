#ifndef FUCHSIAWEIR_NET_ENTRY_SERVICE_H_
#define FUCHSIAWEIR_NET_ENTRY_SERVICE_H_

#include <optional>

#include "core/settings.h"
#include "net/component_registry.h"
#include "net/config_service.h"
#include "net/http_server.h"
#include "net/model_router.h"
#include "net/service_router.h"

namespace fuchsiaweir {

/// The entry process, which accepts the requests of callers behind a load balancer.
class EntryService : public Component {
 public:
  EntryService(ComponentRegistry& components, const Settings& settings, HttpServerOptions options);

  void Start() override;
  Awaitable<void> Stop() override;

 private:
  Awaitable<void> Handle(HttpExchange& exchange);
  Awaitable<void> HandleCompletion(HttpExchange& exchange, CompletionKind kind, Team team);

  /// Returns the team whose bearer key the request carries.
  std::optional<Team> Authenticate(const HttpRequest& request) const;

  ComponentRegistry& components_;
  const Settings& settings_;
  ConfigService& config_;
  ModelRouter models_;
  ServiceRouter services_;
  HttpServer server_;
  bool stopping_ = false;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_ENTRY_SERVICE_H_
