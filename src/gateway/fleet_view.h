#ifndef FUCHSIAWEIR_GATEWAY_FLEET_VIEW_H_
#define FUCHSIAWEIR_GATEWAY_FLEET_VIEW_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/authority_lease.h"
#include "core/route_table.h"
#include "core/runner_registry.h"
#include "core/store_health.h"
#include "core/weights_history.h"
#include "gateway/gateway_settings.h"
#include "gateway/object_log.h"
#include "gateway/peer_link.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/kernel.h"
#include "net/metrics.h"
#include "platform/object_store.h"

namespace fuchsiaweir {

/// Monotonic time that also passes while the host is suspended; for leases.
TimePoint SuspendAwareNow();

/// Another process of the system.
struct Peer {
  Endpoint endpoint;
  bool gateway = false;
  std::string data_centre;
  TimePoint heard;  ///< Last hello.
};

/// What this process knows of the fleet: desired state, runners, evacuated data centres, named
/// weights and peers, all read from the platform's store, and newer states from peers.
class FleetView : public Component {
 public:
  FleetView(Kernel& kernel, const GatewaySettings& settings, PlatformRole role);

  /// The newest desired state; null before the first.
  std::shared_ptr<const RouteTable> table() const { return table_; }
  RunnerRegistry& runner_registry() { return runner_registry_; }
  /// Runners of these data centres get nothing new.
  const std::set<std::string>& evacuated() const { return evacuated_; }
  /// Weights of a model that the operator named, or null.
  const WeightsHistory* weights(const std::string& model) const;
  const std::map<std::string, WeightsHistory>& all_weights() const { return weights_; }
  /// Names of all registered gateways, this process's own among them if it is one. Limits that
  /// gateways divide count also those that are not heard of, as they may only be cut off from here.
  /// Empty before the others are known.
  const std::vector<std::string>& gateways() const { return gateways_; }
  /// Names of the gateways that were heard of lately.
  const std::vector<std::string>& live_gateways() const { return live_gateways_; }
  const std::map<std::string, Peer>& peers() const { return peers_; }
  const GatewaySettings& settings() const { return settings_; }

  /// Whether API keys may be accepted: the held desired state was lately the newest.
  bool HoldsAuthority() const { return authority_.Holds(SuspendAwareNow()); }
  /// Age of the last confirmation in milliseconds for logs; -1 before the first.
  int64_t AuthorityAgeMs() const;
  /// Whether callers can be served.
  bool Ready() const {
    return table_ != nullptr && runners_listed_ && peers_listed_ && HoldsAuthority();
  }

  /// Data centres that a request with these home regions may not be sent to.
  std::set<std::string> ClosedDataCentres(const std::vector<std::string>& home_regions) const;

  /// Cold time of a service's runners; zero for an unknown service.
  Duration ColdTime(const std::string& service) const;

  /// Tells all gateways.
  void Broadcast(const PeerMessage& message);
  /// Tells all sidecars.
  void TellSidecars(const PeerMessage& message);
  /// Takes a hello of a gateway.
  void OnHello(const HelloMessage& message);
  /// Answers a process that asks this one in place of the store. The target's query names the kind,
  /// the revision that is held and how long to wait for changes.
  Awaitable<HttpResponse> ServeRelay(HttpTarget target);

  /// Follows changed settings.
  void SetSettings(const GatewaySettings& settings);
  /// Is called with each adopted desired state.
  void OnTable(std::function<void(const RouteTable&)> listener) {
    table_listeners_.push_back(std::move(listener));
  }

  platform::ObjectStore& store() { return store_; }

  void Start() override;
  Awaitable<void> Stop() override;

 private:
  struct Kind;

  Awaitable<void> WatchKind(const Kind& kind);
  Awaitable<void> Register();
  /// Asks a gateway in place of the store. A revision of 0 means that it did not answer.
  Awaitable<ObjectChanges> AskRelay(const Kind& kind, Endpoint relay);
  /// Returns the gateway to ask, or nothing for the store itself. `failures` counts the failed
  /// calls since the last one that succeeded.
  std::optional<Endpoint> Source(const Kind& kind, int64_t failures);
  std::optional<Endpoint> PreferredRelay(const Kind& kind) const;
  std::optional<Endpoint> AnyRelay();
  void NoteListed(const Kind& kind);
  void Learn(const Kind& kind, platform::StoreResult& answer, bool listed);

  void ApplyConfig(const platform::StoredObject& object);
  void ApplyRunner(const platform::StoredObject& object);
  void ApplyEvacuation(const platform::StoredObject& object);
  void ApplyWeights(const platform::StoredObject& object);
  void ApplyPeer(const platform::StoredObject& object);
  void AdoptTable(const boost::json::value& spec, const std::string& source);
  void NoteStore(const Kind& kind, const platform::StoreResult& answer);
  void CountGateways(TimePoint now);
  /// Notes how a kind could be read, from the store or a relay, and logs a loss or return.
  void NoteHealth(const Kind& kind, bool sound, const std::string& reason);
  void Tick(TimePoint now);
  void SetGauges(TimePoint now);

  static const Kind kKinds[];

  /// What is held of one kind.
  struct Held {
    ObjectLog log;
    TimePoint as_of;  ///< When it was known to be the newest state, by `SuspendAwareNow`.
    std::vector<boost::asio::steady_timer*> waiting;  ///< Of processes that wait for changes.
  };

  boost::asio::io_context& io_;
  GatewaySettings settings_;
  PlatformRole role_;
  HttpClient& client_;
  PeerLink& link_;
  Metrics& metrics_;
  platform::ObjectStore store_;
  std::map<std::string, Held> held_;  ///< By kind.
  AuthorityLease authority_;
  bool authority_held_ = false;

  std::shared_ptr<const RouteTable> table_;

  std::vector<std::function<void(const RouteTable&)>> table_listeners_;
  RunnerRegistry runner_registry_;
  bool runners_listed_ = false;
  std::set<std::string> evacuated_;
  std::map<std::string, WeightsHistory> weights_;
  std::map<std::string, Peer> peers_;
  std::vector<std::string> gateways_;
  std::vector<std::string> live_gateways_;
  StoreHealth health_;
  bool peers_listed_ = false;
  bool first_listing_ = false;  ///< The changes being applied are the first contents.

  size_t relay_turn_ = 0;
  bool stopping_ = false;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_FLEET_VIEW_H_
