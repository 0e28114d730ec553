#include "gateway/fleet_view.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "core/rendezvous.h"
#include "gateway/peer_registration.h"
#include "gateway/runner_gauges.h"
#include "net/log.h"
#include "net/timer_service.h"
#include "platform/decode.h"
#include "platform/names.h"

namespace fuchsiaweir {
namespace {

using platform::StoredObject;

/// Share of the key revocation limit for which a confirmation is valid. The rest covers the time
/// between the check of a key and the request's arrival at the runner.
constexpr double kAuthorityShare = 0.7;
constexpr Duration kHelloPeriod = Millis(700);
constexpr Duration kTickPeriod = Millis(100);

}  // namespace

/// How one kind of object is followed.
struct FleetView::KindRow {
  const char* name = "";
  Duration watch_timeout{0};
  Duration watch_delay{0};
  Duration sidecar_watch_delay{0};  ///< Same for sidecars; zero: they do not follow the kind.
  bool urgent = false;
  /// See `WatchedKind`.
  bool large = false;
  bool keeps_missing = false;
  bool (*newer)(const StoredObject& known, const StoredObject& read) = nullptr;
  void (FleetView::*apply)(const StoredObject& object, const ChangeOrigin& origin) = nullptr;
  void (FleetView::*listed)() = nullptr;  ///< Called when all objects have been applied once.
};

// Short watch timeouts for the desired state and the runners detect a dead connection early, and
// each response for the desired state renews the authority to accept keys. A relay of an urgent
// kind that stalls is passed over: hellos of other gateways name the newest change, and the next
// read goes to the store.
const FleetView::KindRow FleetView::kKindRows[] = {
    {.name = platform::kConfigKind,
     .watch_timeout = Millis(1000),
     .urgent = true,
     .large = true,
     .keeps_missing = true,
     .newer = &platform::IsLaterVersion,
     .apply = &FleetView::ApplyConfig,
     .listed = &FleetView::OnConfigListed},
    {.name = platform::kRunnerKind,
     .watch_timeout = Millis(500),
     .watch_delay = Millis(400),
     .sidecar_watch_delay = Millis(1500),
     .newer = &platform::IsLaterRunnerEntry,
     .apply = &FleetView::ApplyRunner,
     .listed = &FleetView::OnRunnersListed},
    {.name = platform::kEvacuationKind,
     .watch_timeout = Millis(2500),
     .watch_delay = Millis(50),
     .urgent = true,
     .keeps_missing = true,
     .apply = &FleetView::ApplyEvacuation,
     .listed = &FleetView::OnEvacuationsListed},
    {.name = platform::kRolloutKind,
     .watch_timeout = Millis(2500),
     .watch_delay = Millis(50),
     .urgent = true,
     .keeps_missing = true,
     .apply = &FleetView::ApplyRollout,
     .listed = &FleetView::OnRolloutsListed},
    {.name = platform::kVersionKind,
     .watch_timeout = Millis(2500),
     .watch_delay = Millis(50),
     .sidecar_watch_delay = Millis(50),
     .keeps_missing = true,
     .newer = &platform::IsLaterVersion,
     .apply = &FleetView::ApplyWeights},
    {.name = kPeerKind,
     .watch_timeout = Millis(4000),
     .watch_delay = Millis(500),
     .sidecar_watch_delay = Millis(1000),
     .keeps_missing = true,
     .apply = &FleetView::ApplyPeer,
     .listed = &FleetView::OnPeersListed},
};

FleetView::FleetView(ComponentRegistry& components, const GatewaySettings& settings,
                     PlatformRole role)
    : io_(components.io()),
      settings_(settings),
      role_(role),
      metrics_(components.Find<Metrics>("metrics")),
      authority_(Millis(0)),
      peers_(settings, role, components.Find<PeerLink>("peer_link")),
      mirror_(io_, components.Find<HttpClients>("http_clients").external(), metrics_, settings,
              peers_) {
  SetSettings(settings);
  for (const KindRow& row : kKindRows) {
    if (Follows(row)) mirror_.Add(MakeKind(row));
  }
  mirror_.SetRestoreListener([this]() { Register(); });

  components.Find<TimerService>("timer").Subscribe("fleet_view", kTickPeriod,
                                                   [this](TimePoint now) { Tick(now); });
  if (role == PlatformRole::kGateway) {
    components.Find<TimerService>("timer").Subscribe(
        "hello", kHelloPeriod, [this](TimePoint) { peers_.BroadcastToGateways(MakeHello()); });
  }
}

HelloMessage FleetView::MakeHello() const {
  HelloMessage hello;
  hello.name = settings_.name;
  hello.revision = table_ ? table_->revision : 0;
  hello.confirmed_age = authority_.Age(SuspendAwareNow());
  for (const auto& [model, history] : weights_) {
    for (const auto& [version, at] : history.named()) {
      hello.weights.push_back({model, version, SteadyNow() - at});
    }
  }
  hello.changes = mirror_.NewestChanges();
  return hello;
}

void FleetView::SetSettings(const GatewaySettings& settings) {
  settings_ = settings;
  mirror_.SetSettings(settings);
  authority_.SetValidity(Micros(static_cast<int64_t>(
      static_cast<double>(settings.key_revocation_ms) * 1e3 * kAuthorityShare)));
}

void FleetView::Start() {
  mirror_.Start();
  Register();
}

void FleetView::Register() {
  ++registrations_due_;
  if (std::exchange(registering_, true)) return;
  SpawnService(io_, "register", [this]() { return RegisterWhileDue(); });
}

Awaitable<void> FleetView::RegisterWhileDue() {
  while (registrations_done_ < registrations_due_) {
    const int64_t due = registrations_due_;
    GatewaySettings settings = settings_;
    co_await RegisterPeer(mirror_.store(), std::move(settings), role_);
    registrations_done_ = due;
  }
  registering_ = false;
}

void FleetView::LearnFromPeer(const std::string& kind) {
  const bool listed = peers_.listed() && mirror_.Age(kind).has_value();
  if (role_ != PlatformRole::kGateway || !listed) return;
  std::vector<std::string> others = peers_.live_gateways();
  std::erase(others, settings_.name);
  if (others.empty()) return;
  const std::string peer = RendezvousTop(settings_.name, others, 1).front();
  mirror_.LearnFrom(kind, peers_.peers().at(peer).endpoint);
}

bool FleetView::Follows(const KindRow& row) const {
  if (role_ == PlatformRole::kSidecar && row.sidecar_watch_delay == Duration{0}) return false;
  return row.apply != &FleetView::ApplyRollout || settings_.rollouts_enabled();
}

WatchedKind FleetView::MakeKind(const KindRow& row) {
  WatchedKind kind;
  kind.name = row.name;
  kind.watch_timeout = row.watch_timeout;
  kind.watch_delay = role_ == PlatformRole::kGateway ? row.watch_delay : row.sidecar_watch_delay;
  kind.urgent = row.urgent;
  kind.large = row.large;
  kind.keeps_missing = row.keeps_missing;
  kind.newer = row.newer;
  kind.lists_runners = row.apply == &FleetView::ApplyRunner;
  kind.apply = [this, &row](const StoredObject& object, const ChangeOrigin& origin) {
    (this->*row.apply)(object, origin);
  };
  if (row.listed != nullptr) kind.on_listed = [this, &row]() { (this->*row.listed)(); };
  if (row.apply != &FleetView::ApplyConfig) return kind;
  kind.on_current = [this](TimePoint as_of) {
    if (table_ != nullptr) authority_.Confirm(as_of);
  };
  // Gateways without the store read from those whose hello tells a current desired state.
  kind.on_regained = [this]() {
    if (role_ == PlatformRole::kGateway) peers_.BroadcastToGateways(MakeHello());
  };
  return kind;
}

void FleetView::OnConfigListed() { LearnFromPeer(platform::kConfigKind); }

void FleetView::OnRunnersListed() { runners_listed_ = true; }

void FleetView::OnEvacuationsListed() { LearnFromPeer(platform::kEvacuationKind); }

void FleetView::OnRolloutsListed() { rollouts_listed_ = true; }

void FleetView::OnPeersListed() {
  peers_.MarkListed(SteadyNow());
  LearnFromPeer(platform::kConfigKind);
  LearnFromPeer(platform::kEvacuationKind);
}

Awaitable<void> FleetView::Stop() {
  mirror_.Stop();
  co_return;
}

const WeightsHistory* FleetView::weights(const std::string& model) const {
  const auto found = weights_.find(model);
  return found == weights_.end() ? nullptr : &found->second;
}

std::optional<Duration> FleetView::RunnerListAge() const {
  if (!runners_listed_) return std::nullopt;
  return mirror_.Age(platform::kRunnerKind);
}

bool FleetView::CanRefuseUnknown() const {
  if (!HoldsAuthority()) return false;
  const Duration limit = Millis(settings_.desired_state_ms);
  return limit == Duration{0} || authority_.Age(SuspendAwareNow()) < limit;
}

int64_t FleetView::AuthorityAgeMs() const {
  const std::optional<Duration> age = authority_.Age(SuspendAwareNow());
  return age ? ToMillis(*age) : -1;
}

std::set<std::string> FleetView::ClosedDataCentres(
    const std::vector<std::string>& home_regions) const {
  std::set<std::string> closed = evacuated_;
  if (home_regions.empty()) return closed;
  for (const auto& [data_centre, region] : settings_.regions) {
    if (std::find(home_regions.begin(), home_regions.end(), region) == home_regions.end()) {
      closed.insert(data_centre);
    }
  }
  return closed;
}

Duration FleetView::ColdTime(const std::string& service) const {
  const ServiceSpec* const spec = Service(service);
  return spec == nullptr ? Duration{0} : spec->cold_time;
}

const ServiceSpec* FleetView::Service(const std::string& name) const {
  if (table_ == nullptr) return nullptr;
  const auto found = table_->services.find(name);
  return found == table_->services.end() ? nullptr : &found->second;
}

void FleetView::ApplyConfig(const StoredObject& object, const ChangeOrigin& origin) {
  if (object.removed || object.name != "main") return;
  const TimePoint start = SteadyNow();
  std::optional<RouteTable> table = platform::DecodeRouteTable(object.content);
  if (!table) {
    LogWarning("desired_state_malformed", {{"source", origin.source}});
    return;
  }
  const int64_t replaced = table_ == nullptr ? 0 : table_->revision;
  if (table->revision <= replaced) return;
  metrics_.Gauge("fuchsiaweir_desired_state_revision", "Revision of the desired state in force.")
      .Set(static_cast<double>(table->revision));
  table_ = std::make_shared<const RouteTable>(std::move(*table));
  for (const auto& listener : table_listeners_) listener(*table_);
  LogInfo("desired_state_adopted", {{"revision", absl::StrCat(table_->revision)},
                                    {"replaces", absl::StrCat(replaced)},
                                    {"source", origin.source},
                                    {"routes", absl::StrCat(table_->routes.size())},
                                    {"took_ms", absl::StrCat(ToMillis(SteadyNow() - start))}});
}

void FleetView::ApplyPeer(const StoredObject& object, const ChangeOrigin&) {
  if (object.removed && object.name == settings_.name) Register();
  peers_.Apply(object);
}

void FleetView::ApplyRollout(const StoredObject& object, const ChangeOrigin& origin) {
  if (rollout_listener_) rollout_listener_(object, origin);
}

void FleetView::ApplyRunner(const StoredObject& object, const ChangeOrigin& origin) {
  const TimePoint now = SteadyNow();
  std::optional<RunnerRecord> record;
  if (!object.removed) {
    platform::FieldError error;
    record = platform::DecodeRunner(object.name, object.content, error);
    if (!record) RecordUnreadable(object, error);
  }
  const RunnerState* known = runner_registry_.Find(object.name);
  if (object.removed) unreadable_revisions_.erase(object.name);
  if (!record) {
    if (known == nullptr) return;
    const bool hold = mirror_.runner_outage() || origin.older_copy;
    LogInfo("runner_unlisted", {{"runner", object.name},
                                {"service", known->record.service},
                                {"held", hold ? "yes" : "no"},
                                {"readable", object.removed ? "yes" : "no"}});
    runner_registry_.Remove(object.name, hold, now);
    return;
  }
  unreadable_revisions_.erase(object.name);
  if (origin.older_copy && runner_registry_.Departed(*record)) {
    return LogInfo("departed_runner_ignored",
                   {{"runner", record->id}, {"sequence", absl::StrCat(record->sequence)}});
  }
  if (known == nullptr || known->record.draining != record->draining ||
      known->record.started_ms != record->started_ms || record->cold_left > Duration{0}) {
    LogInfo("runner_listed", {{"runner", record->id},
                              {"service", record->service},
                              {"address", absl::StrCat(record->address, ":", record->port)},
                              {"draining", record->draining ? "yes" : "no"},
                              {"cold_ms", absl::StrCat(ToMillis(record->cold_left))},
                              {"weights", absl::StrCat(record->weights_version)},
                              {"sequence", absl::StrCat(record->sequence)}});
  }
  runner_registry_.Upsert(*record, now);
}

void FleetView::RecordUnreadable(const StoredObject& object, const platform::FieldError& error) {
  // Each listing brings the entry again.
  if (std::exchange(unreadable_revisions_[object.name], object.revision) == object.revision) return;
  LogWarning("runner_entry_unreadable", {{"runner", object.name},
                                         {"revision", absl::StrCat(object.revision)},
                                         {"field", error.field},
                                         {"value", error.value},
                                         {"reason", object.unreadable}});
  metrics_
      .Counter("fuchsiaweir_unreadable_entries_total",
               "Entries of the list of runners that could not be read.", {})
      .Increment();
}

void FleetView::ApplyEvacuation(const StoredObject& object, const ChangeOrigin& origin) {
  const bool changed =
      object.removed ? evacuated_.erase(object.name) > 0 : evacuated_.insert(object.name).second;
  if (!changed) return;
  LogInfo(object.removed ? "data_centre_restored" : "data_centre_evacuated",
          {{"data_centre", object.name},
           {"revision", absl::StrCat(object.revision)},
           {"source", origin.source}});
}

void FleetView::ApplyWeights(const StoredObject& object, const ChangeOrigin& origin) {
  if (object.removed) return;
  const std::optional<platform::NamedWeights> named = platform::DecodeNamedWeights(object.content);
  if (!named) {
    LogWarning("weights_malformed", {{"object", object.name}});
    return;
  }
  WeightsHistory& history = weights_[named->model];
  const int64_t replaced = history.newest();
  if (named->version <= replaced) return;
  const TimePoint now = SteadyNow();
  if (origin.first_listing) {
    // The listing does not say when the version was named, nor which versions preceded it. The
    // assumed times apply until a peer's hello brings the actual ones.
    const Duration bound = Millis(settings_.weights_ms);
    history.NameWithAssumedTime(named->version - 1, now - bound);
    history.NameWithAssumedTime(named->version, now - bound * 6 / 10);
  } else {
    history.Name(named->version, now);
  }
  LogInfo("weights_named", {{"model", named->model},
                            {"version", absl::StrCat(named->version)},
                            {"replaces", absl::StrCat(replaced)}});
}

void FleetView::Tick(TimePoint now) {
  for (const std::string& id : runner_registry_.Expire(now)) {
    LogInfo("runner_gone", {{"runner", id}, {"reason", "not listed again after an outage"}});
  }
  peers_.Update(now);
  UpdateGauges(now);
  const bool holds = HoldsAuthority();
  if (holds != authority_held_) {
    LogInfo(holds ? "authority_gained" : "authority_lost",
            {{"age_ms", absl::StrCat(AuthorityAgeMs())},
             {"revision", absl::StrCat(table_ ? table_->revision : 0)}});
    authority_held_ = holds;
  }
}

void FleetView::UpdateGauges(TimePoint now) {
  metrics_.Gauge("fuchsiaweir_ready", "Whether callers can be served.").Set(Ready() ? 1 : 0);
  metrics_
      .Gauge("fuchsiaweir_authority_age_ms",
             "Age of the last confirmation of the desired state; -1 before the first.")
      .Set(static_cast<double>(AuthorityAgeMs()));
  mirror_.UpdateGauges();
  SetRunnerGauges(metrics_, runner_registry_, now);
}

void FleetView::OnHello(const HelloMessage& message) {
  const Peer* const sender = peers_.OnHello(message);
  if (sender == nullptr) return;
  mirror_.OnPeerChanges(message.changes, sender->endpoint);
  // The sender may know a desired state that the store has lost.
  if (table_ != nullptr && message.revision > table_->revision) {
    mirror_.LearnFrom(platform::kConfigKind, sender->endpoint);
  }
  for (const HelloMessage::Weights& item : message.weights) {
    // A peer may know earlier versions, and when each was named.
    weights_[item.model].Name(item.version, SteadyNow() - item.age);
  }
}

}  // namespace fuchsiaweir
