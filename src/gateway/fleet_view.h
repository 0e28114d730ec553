#ifndef FUCHSIAWEIR_GATEWAY_FLEET_VIEW_H_
#define FUCHSIAWEIR_GATEWAY_FLEET_VIEW_H_

#include <boost/asio/io_context.hpp>
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
#include "core/weights_history.h"
#include "gateway/gateway_settings.h"
#include "gateway/object_mirror.h"
#include "gateway/peer_directory.h"
#include "gateway/peer_link.h"
#include "net/component_registry.h"
#include "net/http_server.h"
#include "net/metrics.h"
#include "platform/field_access.h"
#include "platform/names.h"

namespace fuchsiaweir {

/// This process's view of the fleet: desired state, runners, evacuated data centres, named weights
/// and peers, decoded from the store's contents.
class FleetView : public Component {
 public:
  FleetView(ComponentRegistry& components, const GatewaySettings& settings, PlatformRole role);

  /// Newest desired state; null until one has been read.
  std::shared_ptr<const RouteTable> table() const { return table_; }
  /// The service in the newest desired state, or null. The pointer is valid until the next
  /// suspension of the calling coroutine.
  const ServiceSpec* Service(const std::string& name) const;
  RunnerRegistry& runner_registry() { return runner_registry_; }
  /// Time since the list of runners was known to be current; nothing before it was read.
  std::optional<Duration> RunnerListAge() const;
  /// Whether the list of runners comes from an older copy of the store and may lack runners.
  bool RestoringRunners() const { return mirror_.Restoring(platform::kRunnerKind); }
  /// Data centres whose runners get no new requests.
  const std::set<std::string>& evacuated() const { return evacuated_; }
  /// Weights versions that the operator named for the model, or null.
  const WeightsHistory* weights(const std::string& model) const;
  const std::map<std::string, WeightsHistory>& all_weights() const { return weights_; }
  const std::vector<std::string>& gateways() const { return peers_.gateways(); }
  const std::vector<std::string>& live_gateways() const { return peers_.live_gateways(); }
  const std::map<std::string, Peer>& peers() const { return peers_.peers(); }
  const GatewaySettings& settings() const { return settings_; }

  /// Whether API keys may be accepted: the desired state was recently confirmed as the newest.
  bool HoldsAuthority() const { return authority_.Holds(SuspendAwareNow()); }
  /// Whether the desired state is recent enough to refuse for good what it does not have.
  bool CanRefuseUnknown() const;
  /// Milliseconds since the last confirmation, for logs; -1 before the first one.
  int64_t AuthorityAgeMs() const;
  /// Whether callers can be served.
  bool Ready() const {
    return table_ != nullptr && runners_listed_ && peers_.listed() && HoldsAuthority();
  }

  /// Data centres that may not serve a request with these home regions.
  std::set<std::string> ClosedDataCentres(const std::vector<std::string>& home_regions) const;

  /// How long the service's runners stay cold after a start; zero for an unknown service.
  Duration ColdTime(const std::string& service) const;

  /// Sends the message to all other gateways.
  void BroadcastToGateways(const PeerMessage& message) { peers_.BroadcastToGateways(message); }
  /// Sends the message to all other sidecars.
  void BroadcastToSidecars(const PeerMessage& message) { peers_.BroadcastToSidecars(message); }
  /// Processes a gateway's hello.
  void OnHello(const HelloMessage& message);
  /// Serves the store's contents to another process; see `ObjectMirror`.
  Awaitable<HttpResponse> ServeRelay(HttpTarget target, std::string accepted_coding) {
    return mirror_.ServeRelay(std::move(target), std::move(accepted_coding));
  }

  /// Applies changed settings.
  void SetSettings(const GatewaySettings& settings);
  /// Registers a listener that is called with each newly adopted desired state.
  void AddTableListener(std::function<void(const RouteTable&)> listener) {
    table_listeners_.push_back(std::move(listener));
  }

  /// Registers the listener that is called with each change of an order to roll out a version.
  /// In the first listing the order may be from long before this process started.
  using RolloutListener =
      std::function<void(const platform::StoredObject& object, const ChangeOrigin& origin)>;
  void SetRolloutListener(RolloutListener listener) { rollout_listener_ = std::move(listener); }
  /// Whether the orders to roll out versions have been read.
  bool rollouts_listed() const { return rollouts_listed_; }

  platform::ObjectStore& store() { return mirror_.store(); }
  /// See `ObjectMirror::history`.
  int64_t store_history() const { return mirror_.history(); }

  void Start() override;
  Awaitable<void> Stop() override;

 private:
  struct KindRow;
  static const KindRow kKindRows[];

  /// Whether this process follows the kind.
  bool Follows(const KindRow& row) const;
  /// Writes this process's entry among the peers, unless it is there.
  void Register();
  Awaitable<void> RegisterWhileDue();
  /// Asks another gateway for what it knows newer of the kind, when both the kind and the peers
  /// have been listed: the store may have come back from an older copy before this process started.
  void LearnFromPeer(const std::string& kind);
  WatchedKind MakeKind(const KindRow& row);
  HelloMessage MakeHello() const;

  void OnConfigListed();
  void OnRunnersListed();
  void OnEvacuationsListed();
  void OnRolloutsListed();
  void OnPeersListed();

  void ApplyConfig(const platform::StoredObject& object, const ChangeOrigin& origin);
  void ApplyRunner(const platform::StoredObject& object, const ChangeOrigin& origin);
  /// Logs and counts a runner's entry that cannot be read, once for each of its revisions.
  void RecordUnreadable(const platform::StoredObject& object, const platform::FieldError& error);
  void ApplyEvacuation(const platform::StoredObject& object, const ChangeOrigin& origin);
  void ApplyWeights(const platform::StoredObject& object, const ChangeOrigin& origin);
  void ApplyPeer(const platform::StoredObject& object, const ChangeOrigin& origin);
  void ApplyRollout(const platform::StoredObject& object, const ChangeOrigin& origin);
  void Tick(TimePoint now);
  void UpdateGauges(TimePoint now);

  boost::asio::io_context& io_;
  GatewaySettings settings_;
  PlatformRole role_;
  Metrics& metrics_;
  AuthorityLease authority_;
  bool authority_held_ = false;

  std::shared_ptr<const RouteTable> table_;

  std::vector<std::function<void(const RouteTable&)>> table_listeners_;
  RolloutListener rollout_listener_;
  bool rollouts_listed_ = false;
  RunnerRegistry runner_registry_;
  bool runners_listed_ = false;
  std::map<std::string, int64_t> unreadable_revisions_;  ///< By runner.
  std::set<std::string> evacuated_;
  std::map<std::string, WeightsHistory> weights_;
  PeerDirectory peers_;
  int64_t registrations_due_ = 0;  ///< Counts the reasons to register.
  int64_t registrations_done_ = 0;
  bool registering_ = false;
  ObjectMirror mirror_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_FLEET_VIEW_H_
