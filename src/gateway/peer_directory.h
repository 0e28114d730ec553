#ifndef FUCHSIAWEIR_GATEWAY_PEER_DIRECTORY_H_
#define FUCHSIAWEIR_GATEWAY_PEER_DIRECTORY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "gateway/gateway_settings.h"
#include "gateway/peer_link.h"
#include "net/http_types.h"
#include "platform/object_store.h"

namespace fuchsiaweir {

/// Another registered gateway or sidecar.
struct Peer {
  Endpoint endpoint;
  bool gateway = false;
  std::string data_centre;
  double link_mbps = 0;  ///< Bandwidth of its host's link; 0: unknown.
  TimePoint last_seen;   ///< Last hello or change of its entry in the store.
  /// When its desired state was last known to be the newest, by `SuspendAwareNow`.
  std::optional<TimePoint> state_as_of;
};

/// The other registered gateways and sidecars: which are alive, and which serve as relays.
class PeerDirectory {
 public:
  PeerDirectory(const GatewaySettings& settings, PlatformRole role, PeerLink& link);

  /// Applies a peer's entry in the store.
  void Apply(const platform::StoredObject& object);
  /// Records that all entries have been applied once.
  void MarkListed(TimePoint now);
  bool listed() const { return listed_; }
  /// Records a gateway's hello and returns its entry; null if it is not registered.
  Peer* OnHello(const HelloMessage& message);
  /// Recomputes which gateways are registered and alive.
  void Update(TimePoint now);

  const std::map<std::string, Peer>& peers() const { return peers_; }
  /// Names of all registered gateways, including this process if it is one. Fleet-wide limits are
  /// divided by their number, so gateways without a recent hello count too: they may be
  /// unreachable only from here. Empty until the peers have been listed.
  const std::vector<std::string>& gateways() const { return gateways_; }
  /// Names of the gateways with a recent hello, including this process if it is one.
  const std::vector<std::string>& live_gateways() const { return live_gateways_; }

  /// Returns the gateway of this data centre that relays the kind; nothing if it is this process.
  /// `large`: gateways with fast links come first.
  std::optional<Endpoint> PreferredRelay(const std::string& kind, bool large) const;
  /// Number of live gateways of this data centre, including this process if it is one.
  size_t LocalGateways() const;
  /// Returns another live gateway, a different one at each call.
  std::optional<Endpoint> NextRelay();

  void BroadcastToGateways(const PeerMessage& message);
  void BroadcastToSidecars(const PeerMessage& message);

 private:
  /// Returns the names of the other gateways that are believed to be alive.
  std::vector<std::string> Relays() const;

  std::string name_;
  std::string data_centre_;
  double link_mbps_;
  PlatformRole role_;
  PeerLink& link_;
  std::map<std::string, Peer> peers_;
  std::vector<std::string> gateways_;
  std::vector<std::string> live_gateways_;
  bool listed_ = false;
  size_t next_relay_ = 0;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_PEER_DIRECTORY_H_
