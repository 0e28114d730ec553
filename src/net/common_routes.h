#ifndef FUCHSIAWEIR_NET_COMMON_ROUTES_H_
#define FUCHSIAWEIR_NET_COMMON_ROUTES_H_

#include <string>

#include "net/config_service.h"
#include "net/http_server.h"
#include "net/metrics.h"

namespace fuchsiaweir {

/// Whether a daemon accepts new requests; a stopping one says so to the balancer first.
class Readiness : public Component {
 public:
  bool ready() const { return !stopping_; }
  void BeginStop() { stopping_ = true; }

 private:
  bool stopping_ = false;
};

/// Answers the routes that all daemons have: /healthz, /readyz, /metrics and
/// /internal/v1/{status,config,tighten}. Returns false when the request is for another route. For
/// every internal route it exchanges the configuration revision with the sender.
Awaitable<bool> ServeCommonRoute(HttpExchange& exchange, const std::string& role,
                                 ComponentRegistry& components);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_COMMON_ROUTES_H_
