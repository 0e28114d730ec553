#ifndef FUCHSIAWEIR_NET_AGENT_SERVICE_H_
#define FUCHSIAWEIR_NET_AGENT_SERVICE_H_

#include <map>
#include <memory>
#include <string>

#include "core/settings.h"
#include "net/call_dispatcher.h"
#include "net/config_service.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/kernel.h"
#include "net/runner_dispatcher.h"

namespace fuchsiaweir {

/// The process beside the targets of one host: the only gate to them.
class AgentService : public Component {
 public:
  AgentService(Kernel& kernel, const Settings& settings, HttpServerOptions options);

  void Start() override;
  Awaitable<void> Stop() override;

 private:
  Awaitable<void> Handle(HttpExchange& exchange);
  Awaitable<void> HandleRun(HttpExchange& exchange);
  Awaitable<void> HandleAttach(HttpExchange& exchange);
  Awaitable<void> HandleCancel(HttpExchange& exchange);
  Awaitable<void> HandleCall(HttpExchange& exchange);
  Awaitable<void> SendFrames(HttpExchange& exchange, std::shared_ptr<AgentRun> run, int64_t offset);

  /// Returns an error when this host takes no new work.
  std::optional<Error> RefusalOfNewWork() const;
  /// Returns the dispatcher of a runner on this host, or null.
  RunnerDispatcher* DispatcherOf(const std::string& runner);
  std::shared_ptr<AgentRun> FindRun(const HttpTarget& target);

  Kernel& kernel_;
  const Settings& settings_;
  ConfigService& config_;
  HttpClient& client_;
  CallDispatcher calls_;
  HttpServer server_;
  std::map<std::string, std::unique_ptr<RunnerDispatcher>> dispatchers_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_AGENT_SERVICE_H_
