#ifndef FUCHSIAWEIR_NET_COMMON_ROUTES_H_
#define FUCHSIAWEIR_NET_COMMON_ROUTES_H_

#include <string>

#include "net/config_service.h"
#include "net/http_server.h"
#include "net/metrics.h"

namespace fuchsiaweir {

/// Whether a daemon accepts new requests. A stopping daemon first reports that it is not ready, so
/// that the load balancer sends it no more requests.
class Readiness : public Component {
 public:
  bool ready() const { return !stopping_; }
  void SetStopping() { stopping_ = true; }

 private:
  bool stopping_ = false;
};

/// Serves the routes that all daemons have: /healthz, /readyz, /metrics and
/// /internal/v1/{status,config,tighten}. Returns false if the request is for another route. For
/// every internal route, including those it does not serve itself, it authenticates the sender and
/// exchanges the configuration revision with it.
Awaitable<bool> ServeCommonRoute(HttpExchange& exchange, const std::string& role,
                                 ComponentRegistry& components);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_COMMON_ROUTES_H_
