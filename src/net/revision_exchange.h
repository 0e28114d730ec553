#ifndef FUCHSIAWEIR_NET_REVISION_EXCHANGE_H_
#define FUCHSIAWEIR_NET_REVISION_EXCHANGE_H_

#include <string>

#include "core/settings.h"
#include "net/component_registry.h"
#include "net/config_service.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace fuchsiaweir {

/// Exchanges the configuration revision with peers in every internal message, and fetches the
/// configuration from a peer with a newer one. A hook of the HTTP client adds X-Fw-Revision and
/// X-Fw-Host to all requests to peers and reads X-Fw-Revision from their responses.
class RevisionExchange : public Component {
 public:
  RevisionExchange(ConfigService& config, HttpClient& peers, const Settings& settings);

  /// Reads the header fields of a received request and adds those of this process to the response.
  /// Must be called before the response is sent.
  void OnRequest(HttpExchange& exchange);

 private:
  HttpHeaders RevisionHeaders() const;

  ConfigService& config_;
  const Settings& settings_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_REVISION_EXCHANGE_H_
