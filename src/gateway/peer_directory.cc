#include "gateway/peer_directory.h"

#include <algorithm>
#include <boost/json.hpp>

#include "core/relay_choice.h"
#include "net/log.h"
#include "platform/field_access.h"

namespace fuchsiaweir {
namespace {

namespace json = boost::json;

/// A gateway with an older desired state is asked only if there is no other. Longer than a watch of
/// the desired state and a hello period together.
constexpr Duration kMaxRelayStateAge = Millis(2200);
/// A gateway without a hello for this long counts as down and gets no calls.
constexpr Duration kPeerTimeout = Seconds(6);

}  // namespace

PeerDirectory::PeerDirectory(const GatewaySettings& settings, PlatformRole role, PeerLink& link)
    : name_(settings.name),
      data_centre_(settings.data_centre),
      link_mbps_(settings.link_mbps),
      role_(role),
      link_(link) {}

void PeerDirectory::MarkListed(TimePoint now) {
  listed_ = true;
  Update(now);
}

Peer* PeerDirectory::OnHello(const HelloMessage& message) {
  const auto found = peers_.find(message.name);
  if (found == peers_.end()) return nullptr;
  found->second.last_seen = SteadyNow();
  if (message.confirmed_age) {
    found->second.state_as_of = SuspendAwareNow() - *message.confirmed_age;
  }
  return &found->second;
}

void PeerDirectory::Apply(const platform::StoredObject& object) {
  if (object.name == name_) return;
  if (object.removed) {
    peers_.erase(object.name);
  } else if (object.content.is_object()) {
    const json::object& spec = object.content.as_object();
    const json::value* address = spec.if_contains("address");
    const json::value* role = spec.if_contains("role");
    if (address == nullptr || !address->is_string() || role == nullptr) return;
    if (ParseEndpoint(std::string(address->as_string())).port == 0) {
      return LogWarning("peer_address_malformed", {{"peer", object.name}});
    }
    Peer& peer = peers_[object.name];
    peer.endpoint = ParseEndpoint(std::string(address->as_string()));
    peer.gateway = role->is_string() && role->as_string() == "gateway";
    const json::value* data_centre = spec.if_contains("data_centre");
    if (data_centre != nullptr && data_centre->is_string()) {
      peer.data_centre = std::string(data_centre->as_string());
    }
    // Processes of an earlier version do not write this field.
    peer.link_mbps = platform::NumberAt(spec, "link_mbps").value_or(0);
    peer.last_seen = SteadyNow();
  }
}

void PeerDirectory::Update(TimePoint now) {
  gateways_.clear();
  live_gateways_.clear();
  if (!listed_) return;
  if (role_ == PlatformRole::kGateway) {
    gateways_.push_back(name_);
    live_gateways_.push_back(name_);
  }
  for (const auto& [name, peer] : peers_) {
    if (!peer.gateway) continue;
    gateways_.push_back(name);
    if (now - peer.last_seen < kPeerTimeout) live_gateways_.push_back(name);
  }
}

std::vector<std::string> PeerDirectory::Relays() const {
  std::vector<std::string> names;
  const TimePoint now = SteadyNow();
  for (const auto& [name, peer] : peers_) {
    // Hellos go to gateways only, so a sidecar cannot tell which gateways are alive.
    const bool live = role_ == PlatformRole::kSidecar || now - peer.last_seen < kPeerTimeout;
    if (peer.gateway && live) names.push_back(name);
  }
  return names;
}

std::optional<Endpoint> PeerDirectory::PreferredRelay(const std::string& kind, bool large) const {
  std::vector<std::string> names = Relays();
  std::erase_if(
      names, [&](const std::string& name) { return peers_.at(name).data_centre != data_centre_; });
  std::vector<std::string> first;
  if (large) {
    std::map<std::string, double> mbps;
    for (const std::string& name : names) mbps[name] = peers_.at(name).link_mbps;
    if (role_ == PlatformRole::kGateway) mbps[name_] = link_mbps_;
    first = FastestGateways(mbps);
  }
  if (role_ == PlatformRole::kGateway) names.insert(names.begin(), name_);
  const std::optional<std::string> relay = fuchsiaweir::PreferredRelay(kind, name_, names, first);
  if (!relay) return std::nullopt;
  return peers_.at(*relay).endpoint;
}

size_t PeerDirectory::LocalGateways() const {
  const std::vector<std::string> names = Relays();
  const auto count = std::count_if(names.begin(), names.end(), [&](const std::string& name) {
    return peers_.at(name).data_centre == data_centre_;
  });
  return static_cast<size_t>(count) + (role_ == PlatformRole::kGateway ? 1 : 0);
}

std::optional<Endpoint> PeerDirectory::NextRelay() {
  const TimePoint now = SuspendAwareNow();
  std::vector<FallbackRelay> gateways;
  for (const std::string& name : Relays()) {
    const std::optional<TimePoint> as_of = peers_.at(name).state_as_of;
    gateways.push_back({name, as_of ? std::optional<Duration>(now - *as_of) : std::nullopt});
  }
  const std::optional<std::string> relay =
      ChooseFallbackRelay(gateways, kMaxRelayStateAge, ++next_relay_);
  if (!relay) return std::nullopt;
  return peers_.at(*relay).endpoint;
}

void PeerDirectory::BroadcastToGateways(const PeerMessage& message) {
  for (const auto& [name, peer] : peers_) {
    if (peer.gateway) link_.Send(peer.endpoint, message);
  }
}

void PeerDirectory::BroadcastToSidecars(const PeerMessage& message) {
  for (const auto& [name, peer] : peers_) {
    if (!peer.gateway) link_.Send(peer.endpoint, message);
  }
}

}  // namespace fuchsiaweir
