#ifndef FUCHSIAWEIR_NET_PEER_AUTHENTICATOR_H_
#define FUCHSIAWEIR_NET_PEER_AUTHENTICATOR_H_

#include <optional>
#include <string>
#include <vector>

#include "core/peer_auth.h"
#include "core/result.h"
#include "core/settings.h"
#include "net/component_registry.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace fuchsiaweir {

/// Adds X-Fw-Auth with a proof made with `key`, and X-Fw-Host with `sender` unless it is present.
void SignRequest(HttpRequest& request, const PeerKey& key, const std::string& sender);

/// Signs every message to a peer and verifies every internal message; the proof is in X-Fw-Auth.
/// Disabled if the settings name no key file.
///
/// Messages are signed with the first key of the file and accepted with any of its keys. The file
/// is reloaded every second. To rotate keys without rejected messages: append the new key on all
/// hosts, then move it to the front on all hosts, then remove the old one.
class PeerAuthenticator : public Component {
 public:
  /// Throws std::runtime_error if the settings name a key file that yields no key.
  PeerAuthenticator(ComponentRegistry& components, HttpClient& peers, const Settings& settings);

  /// Verifies the proof of an internal message. Returns the error if it is not valid.
  std::optional<Error> Verify(const HttpExchange& exchange) const;

 private:
  bool enabled() const { return !settings_.peer_key_file.empty(); }
  void ReloadKeys();

  const Settings& settings_;
  std::vector<PeerKey> keys_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_PEER_AUTHENTICATOR_H_
