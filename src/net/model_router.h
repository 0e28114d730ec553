#ifndef FUCHSIAWEIR_NET_MODEL_ROUTER_H_
#define FUCHSIAWEIR_NET_MODEL_ROUTER_H_

#include <memory>
#include <string>
#include <vector>

#include "core/completion_api.h"
#include "core/inventory.h"
#include "core/run_message.h"
#include "net/config_service.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/service_gate.h"

namespace fuchsiaweir {

/// Runs completions: chooses a runner, relays its output to the caller and resumes on another
/// runner when the first one fails.
class ModelRouter {
 public:
  ModelRouter(ConfigService& config, ServiceGate& gate, HttpClient& agents);

  Awaitable<void> Serve(HttpExchange& exchange, CompletionRequest request, Team team);

 private:
  struct Session;

  Awaitable<std::optional<Error>> RunAttempt(Session& session, Runner runner, Host host);
  Awaitable<bool> Deliver(Session& session, const std::vector<std::string>& tokens);
  Awaitable<void> Finish(Session& session);
  Awaitable<void> Fail(Session& session, Error error);
  std::vector<Runner> Candidates(const Session& session) const;

  ConfigService& config_;
  ServiceGate& gate_;
  HttpClient& agents_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_MODEL_ROUTER_H_
