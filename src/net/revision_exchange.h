#ifndef FUCHSIAWEIR_NET_REVISION_EXCHANGE_H_
#define FUCHSIAWEIR_NET_REVISION_EXCHANGE_H_

#include <string>

#include "core/settings.h"
#include "net/component_registry.h"
#include "net/config_service.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace fuchsiaweir {

/// Tells peers the configuration revision in every internal message and fetches the document from
/// a peer that is ahead. Messages to peers need nothing from their senders: the client's hook adds
/// X-Fw-Revision and X-Fw-Host to requests and reads them from responses.
class RevisionExchange : public Component {
 public:
  RevisionExchange(ConfigService& config, HttpClient& peers, const Settings& settings);

  /// Does the same for a request that a server received. The server calls it before it answers.
  void Serve(HttpExchange& exchange);

 private:
  HttpHeaders OwnHeaders() const;

  ConfigService& config_;
  const Settings& settings_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_REVISION_EXCHANGE_H_
