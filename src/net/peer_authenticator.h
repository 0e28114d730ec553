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

/// Adds X-Fw-Auth with a proof by `key`, and X-Fw-Host with `sender` unless it is present.
void SignRequest(HttpRequest& request, const PeerKey& key, const std::string& sender);

/// Adds X-Fw-Auth to every message to a peer and checks it on every internal message. Without a
/// key file it does neither.
///
/// The first key of the file signs and all of its keys are accepted. The file is read again every
/// second. To rotate without refusals: append the new key on all hosts, then move it to the front
/// on all hosts, then remove the old one.
class PeerAuthenticator : public Component {
 public:
  /// Throws std::runtime_error when the key file is named and unusable.
  PeerAuthenticator(ComponentRegistry& components, HttpClient& peers, const Settings& settings);

  /// Returns why an internal message is refused, or nothing when its proof is valid.
  std::optional<Error> Refusal(const HttpExchange& exchange) const;

 private:
  bool active() const { return !settings_.peer_key_file.empty(); }
  void ReadKeys();

  const Settings& settings_;
  std::vector<PeerKey> keys_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_PEER_AUTHENTICATOR_H_
