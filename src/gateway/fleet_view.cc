#include "gateway/fleet_view.h"

#include <absl/cleanup/cleanup.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "gateway/peer_registration.h"
#include "gateway/relay_client.h"
#include "gateway/runner_gauges.h"
#include "net/log.h"
#include "net/timer_service.h"
#include "platform/decode.h"
#include "platform/names.h"

namespace fuchsiaweir {
namespace {

using platform::StoredObject;
using platform::StoreOutcome;
using platform::StoreResult;

/// Share of the key revocation limit for which a confirmation is valid. The rest covers the time
/// between the check of a key and the request's arrival at the runner.
constexpr double kAuthorityShare = 0.7;
constexpr Duration kHelloPeriod = Millis(700);
constexpr Duration kTickPeriod = Millis(100);
constexpr Duration kInitialBackoff = Millis(150);
constexpr Duration kMaxBackoff = Millis(600);
constexpr Duration kMaxRelayWait = Seconds(5);
/// A relay whose contents are older than two watch timeouts plus this cannot reach the store.
/// Contents are as old as the begin of the watch that brought them, until the next watch ends.
constexpr Duration kMaxRelayLag = Millis(1200);
/// The same for kinds whose changes must take effect within one or two seconds.
constexpr Duration kMaxUrgentRelayLag = Millis(500);
/// How long a relay holds a read of such a kind. A relay that stands still is noticed after this
/// time and the margin of the call.
constexpr Duration kUrgentRelayWait = Millis(700);
/// Live gateways of the data centre from which on such kinds are read from relays. Below, the store
/// has few callers, and a relay that stands still would delay a large share of them.
constexpr size_t kMinGatewaysForUrgentRelays = 6;

}  // namespace

/// How one kind of object is watched.
struct FleetView::WatchedKind {
  const char* name;
  Duration watch_timeout;  ///< Longest time that one watch call stays open.
  Duration watch_delay;    ///< Between two watch calls, so that one call returns several changes.
  Duration sidecar_watch_delay;  ///< Same for sidecars; zero: they do not watch the kind.
  /// Changes must take effect within one or two seconds: gateways tell each other of them, and only
  /// large data centres read them from relays.
  bool urgent;
  void (FleetView::*apply)(const StoredObject& object);
};

// Short watch timeouts for the desired state and the runners detect a dead connection early, and
// each response for the desired state renews the authority to accept keys. A relay of an urgent
// kind that stalls is passed over: hellos of other gateways name the newest change, and the next
// read goes to the store.
const FleetView::WatchedKind FleetView::kWatchedKinds[] = {
    {platform::kConfigKind, Millis(1000), Millis(0), Millis(0), true, &FleetView::ApplyConfig},
    {platform::kRunnerKind, Millis(500), Millis(400), Millis(1500), false, &FleetView::ApplyRunner},
    {platform::kEvacuationKind, Millis(2500), Millis(50), Millis(0), true,
     &FleetView::ApplyEvacuation},
    {platform::kRolloutKind, Millis(2500), Millis(50), Millis(0), true, &FleetView::ApplyRollout},
    {platform::kVersionKind, Millis(2500), Millis(50), Millis(50), false, &FleetView::ApplyWeights},
    {kPeerKind, Millis(4000), Millis(500), Millis(1000), false, &FleetView::ApplyPeer},
};

FleetView::FleetView(ComponentRegistry& components, const GatewaySettings& settings,
                     PlatformRole role)
    : io_(components.io()),
      settings_(settings),
      role_(role),
      client_(components.Find<HttpClients>("http_clients").external()),
      metrics_(components.Find<Metrics>("metrics")),
      store_(client_, settings.store_endpoint()),
      authority_(Millis(0)),
      peers_(settings, role, components.Find<PeerLink>("peer_link")),
      store_backoff_(settings.name) {
  SetSettings(settings);

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
  for (const WatchedKind& kind : kWatchedKinds) {
    const auto state = contents_.find(kind.name);
    if (!kind.urgent || state == contents_.end()) continue;
    hello.changes.push_back({kind.name, state->second.log.changed_revision()});
  }
  return hello;
}

void FleetView::SetSettings(const GatewaySettings& settings) {
  settings_ = settings;
  store_.SetEndpoint(settings.store_endpoint());
  authority_.SetValidity(Micros(static_cast<int64_t>(
      static_cast<double>(settings.key_revocation_ms) * 1e3 * kAuthorityShare)));
}

void FleetView::Start() {
  for (const WatchedKind& kind : kWatchedKinds) {
    if (!Watches(kind)) continue;
    SpawnService(io_, absl::StrCat("watch_", kind.name),
                 [this, &kind]() { return WatchKind(kind); });
  }
  SpawnService(io_, "register", [this]() {
    GatewaySettings settings = settings_;
    return RegisterPeer(store_, std::move(settings), role_);
  });
}

bool FleetView::Watches(const WatchedKind& kind) const {
  if (role_ == PlatformRole::kSidecar && kind.sidecar_watch_delay == Duration{0}) return false;
  return kind.apply != &FleetView::ApplyRollout || settings_.rollouts_enabled();
}

Awaitable<void> FleetView::Stop() {
  stopping_ = true;
  co_return;
}

const WeightsHistory* FleetView::weights(const std::string& model) const {
  const auto found = weights_.find(model);
  return found == weights_.end() ? nullptr : &found->second;
}

std::optional<Duration> FleetView::RunnerListAge() const {
  const auto found = contents_.find(platform::kRunnerKind);
  if (!runners_listed_ || found == contents_.end()) return std::nullopt;
  return SuspendAwareNow() - found->second.as_of;
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

/// A read of one kind from the store or from a relay.
struct FleetView::KindRead {
  StoreResult result;
  ReadSource from = ReadSource::kStore;
  TimePoint sent;                 ///< By `SuspendAwareNow`.
  bool full = false;              ///< The objects are the whole contents, not only changes.
  std::optional<Endpoint> relay;  ///< Nothing if the store was read.
  Duration age{0};                ///< Time since the relay's contents were known to be current.
  bool outage = false;            ///< The relay reports an outage of the store.
  bool relayed = false;           ///< The relay did not read its contents from the store.

  /// When the contents were current. The store does not say when during a wait it produced its
  /// response, so this is at most the begin of the call.
  TimePoint AsOf() const { return sent - age; }

  std::string Source() const { return relay ? ToString(*relay) : "store"; }
};

Awaitable<FleetView::KindRead> FleetView::ReadStore(const WatchedKind& kind, Duration wait) {
  const std::string name = kind.name;
  KindRead read;
  read.sent = SuspendAwareNow();
  read.full = contents_[name].log.revision() == 0;
  if (read.full) {
    read.result = co_await store_.List(name);
  } else {
    read.result = co_await store_.Watch(name, contents_[name].log.revision(), wait);
  }
  RecordStoreCall(kind, read.result);
  if (read.result.outcome == StoreOutcome::kHistoryGone) {
    LogInfo("store_history_gone",
            {{"kind", name}, {"revision", absl::StrCat(contents_[name].log.revision())}});
    read.result = co_await store_.List(name);
    RecordStoreCall(kind, read.result);
    read.full = true;
  }
  co_return read;
}

Awaitable<FleetView::KindRead> FleetView::ReadNext(const WatchedKind& kind) {
  WatchedContents& state = contents_[kind.name];
  const bool use_relays = !kind.urgent || peers_.LocalGateways() >= kMinGatewaysForUrgentRelays;
  std::optional<Endpoint> relay = use_relays ? peers_.PreferredRelay(kind.name) : std::nullopt;
  ReadSource from =
      state.choice.Next(relay.has_value(), store_backoff_.Active(SteadyNow()), SteadyNow());
  if (from == ReadSource::kStore) relay = std::nullopt;
  if (from == ReadSource::kOtherGateway) relay = peers_.NextRelay();
  if (!relay) from = ReadSource::kStore;
  // After a failure the sources are polled until one is current. A watch would last for its whole
  // timeout at each source that does not reach the store either.
  const Duration longest = relay && kind.urgent ? kUrgentRelayWait : kind.watch_timeout;
  const Duration wait = state.choice.failures() == 0 ? longest : Duration{0};
  KindRead read;
  if (relay) {
    read = co_await ReadRelay(kind, std::move(*relay), wait);
  } else {
    read = co_await ReadStore(kind, wait);
  }
  read.from = from;
  co_return read;
}

Awaitable<void> FleetView::WatchKind(const WatchedKind& kind) {
  WatchedContents& state = contents_[kind.name];
  Duration backoff = kInitialBackoff;
  while (!stopping_) {
    KindRead read = co_await ReadNext(kind);
    const bool done = read.result.outcome == StoreOutcome::kDone;
    // The store answers with its current state, however long that takes.
    const bool fresh = done && (!read.relay || SuspendAwareNow() - read.AsOf() <= MaxAge(kind));
    // The contents of a relay that reads from other gateways may be those of this process.
    const bool current = fresh && !(read.from == ReadSource::kPreferredRelay && read.relayed);
    const bool regained = state.choice.failures() > 0 && current && !read.relay;
    state.choice.OnRead(read.from, current, SteadyNow());
    state.SetFromStore(done && !read.relay);
    // The store is read at once in place of its relay.
    const bool at_once = !current && read.from == ReadSource::kPreferredRelay;
    if (!done) {
      if (!at_once) co_await SleepFor(backoff);
      backoff = std::min(kMaxBackoff, backoff * 2);
      continue;
    }
    backoff = kInitialBackoff;
    if (!current) LogStaleRelay(kind, read);
    if (fresh) RecordSource(kind, read);
    // No store call would clear an earlier failure of a kind that is now read from a relay.
    if (read.relay && fresh) RecordHealth(kind, true, "");
    ApplyRead(kind, read);
    // Gateways without the store read from those whose hello tells a current desired state.
    if (regained && kind.apply == &FleetView::ApplyConfig && role_ == PlatformRole::kGateway) {
      peers_.BroadcastToGateways(MakeHello());
    }
    Duration delay = role_ == PlatformRole::kGateway ? kind.watch_delay : kind.sidecar_watch_delay;
    if (read.relay) delay = current || at_once ? Duration{0} : kInitialBackoff;
    if (delay > Duration{0}) co_await SleepFor(delay);
  }
}

Duration FleetView::MaxAge(const WatchedKind& kind) {
  return 2 * kind.watch_timeout + (kind.urgent ? kMaxUrgentRelayLag : kMaxRelayLag);
}

void FleetView::ApplyRead(const WatchedKind& kind, KindRead& read) {
  WatchedContents& state = contents_[kind.name];
  state.as_of = std::max(state.as_of, read.AsOf());
  if (kind.apply == &FleetView::ApplyRunner) {
    health_.OnRunnerListRead(read.relay ? std::optional<bool>(read.outage) : std::nullopt,
                             SteadyNow());
  }
  ApplyResult(kind, read);
  if (kind.apply == &FleetView::ApplyConfig && table_ != nullptr) authority_.Confirm(state.as_of);
}

Awaitable<void> FleetView::CatchUp(const WatchedKind& kind, Endpoint peer) {
  WatchedContents& state = contents_[kind.name];
  const absl::Cleanup caught_up = [&state]() { state.catching_up = false; };
  KindRead read = co_await ReadRelay(kind, std::move(peer), Duration{0});
  if (read.result.outcome == StoreOutcome::kDone) ApplyRead(kind, read);
}

void FleetView::LogStaleRelay(const WatchedKind& kind, const KindRead& read) {
  LogInfo("relay_stale", {{"kind", kind.name},
                          {"relay", read.Source()},
                          {"age_ms", absl::StrCat(ToMillis(SuspendAwareNow() - read.AsOf()))},
                          {"relayed", read.relayed ? "yes" : "no"},
                          {"revision", absl::StrCat(read.result.revision)},
                          {"own_revision", absl::StrCat(contents_[kind.name].log.revision())}});
}

void FleetView::RecordSource(const WatchedKind& kind, const KindRead& read) {
  WatchedContents& state = contents_[kind.name];
  if (state.source == read.Source()) return;
  const std::string replaced = std::exchange(state.source, read.Source());
  LogInfo("source_changed", {{"kind", kind.name},
                             {"source", state.source},
                             {"replaces", replaced},
                             {"age_ms", absl::StrCat(ToMillis(read.age))},
                             {"revision", absl::StrCat(read.result.revision)}});
}

void FleetView::LogDropped(const WatchedKind& kind, const KindRead& read) {
  LogInfo("contents_dropped", {{"kind", kind.name},
                               {"source", read.Source()},
                               {"history", absl::StrCat(read.result.history)},
                               {"revision", absl::StrCat(read.result.revision)},
                               {"own_revision", absl::StrCat(contents_[kind.name].log.revision())},
                               {"full", read.full ? "yes" : "no"}});
}

void FleetView::RecordHistory(const WatchedKind& kind, const StoreResult& result) {
  if (result.history == 0 || result.history == store_history_) return;
  const int64_t replaced = std::exchange(store_history_, result.history);
  LogWarning("store_history_changed",
             {{"kind", kind.name},
              {"history", absl::StrCat(result.history)},
              {"replaces", absl::StrCat(replaced)},
              {"outcome", std::string(Name(result.outcome))},
              {"revision", absl::StrCat(result.revision)},
              {"own_revision", absl::StrCat(contents_[kind.name].log.revision())}});
  metrics_.Gauge("fuchsiaweir_store_history", "History of the platform's store.")
      .Set(static_cast<double>(store_history_));
}

Awaitable<FleetView::KindRead> FleetView::ReadRelay(const WatchedKind& kind, Endpoint relay,
                                                    Duration wait) {
  KindRead read;
  read.sent = SuspendAwareNow();
  read.relay = relay;
  std::string name = kind.name;
  const int64_t since = contents_[name].log.revision();
  std::optional<ObjectChanges> changes =
      co_await ReadFromRelay(client_, std::move(relay), std::move(name), since, wait);
  metrics_
      .Counter("fuchsiaweir_relay_reads_total", "Reads of other gateways by outcome.",
               {{"kind", kind.name}, {"outcome", changes ? "done" : "failed"}})
      .Increment();
  if (!changes) co_return read;
  read.full = changes->full;
  read.age = changes->age;
  read.outage = changes->outage;
  read.relayed = changes->relayed;
  read.result.revision = changes->revision;
  read.result.objects = std::move(changes->objects);
  if (changes->revision > 0) read.result.outcome = StoreOutcome::kDone;
  co_return read;
}

void FleetView::ApplyResult(const WatchedKind& kind, KindRead& read) {
  WatchedContents& state = contents_[kind.name];
  // A relay may be behind this process.
  if (read.result.revision < state.log.revision()) return LogDropped(kind, read);
  std::vector<StoredObject> changes;
  first_listing_ = state.log.revision() == 0;
  source_ = read.Source();
  if (read.full) {
    changes = state.log.Reset(std::move(read.result.objects), read.result.revision);
  } else {
    changes = std::move(read.result.objects);
    state.log.Append(changes, read.result.revision);
  }
  for (const StoredObject& object : changes) {
    try {
      (this->*kind.apply)(object);
    } catch (const std::exception& e) {
      // One bad object must not hide those behind it.
      LogError("object_rejected",
               {{"kind", kind.name}, {"object", object.name}, {"reason", e.what()}});
    }
  }
  if (first_listing_) MarkListed(kind);
  if (changes.empty()) return;
  state.EndWaitingReads();
}

void FleetView::MarkListed(const WatchedKind& kind) {
  if (kind.apply == &FleetView::ApplyRunner) runners_listed_ = true;
  if (kind.apply == &FleetView::ApplyRollout) rollouts_listed_ = true;
  if (kind.apply == &FleetView::ApplyPeer) {
    peers_.MarkListed(SteadyNow());
  }
}

Awaitable<HttpResponse> FleetView::ServeRelay(HttpTarget target) {
  const auto found = contents_.find(target.Query("kind"));
  if (found == contents_.end() || found->second.log.revision() == 0) {
    co_return HttpResponse{503, {}, ""};
  }
  const auto kind =
      std::find_if(std::begin(kWatchedKinds), std::end(kWatchedKinds),
                   [&](const WatchedKind& item) { return item.name == found->first; });
  if (kind == std::end(kWatchedKinds)) co_return HttpResponse{404, {}, ""};
  const int64_t since = target.QueryInteger("since", 0);
  const Duration wait =
      Millis(std::clamp<int64_t>(target.QueryInteger("wait_ms", 0), 0, ToMillis(kMaxRelayWait)));
  ObjectChanges changes = co_await found->second.Changes(io_, since, wait, MaxAge(*kind));
  changes.outage = health_.runner_outage();
  co_return JsonResponse(200, EncodeObjectChanges(changes));
}

void FleetView::RecordStoreCall(const WatchedKind& kind, const StoreResult& result) {
  RecordHistory(kind, result);
  const bool succeeded =
      result.outcome == StoreOutcome::kDone || result.outcome == StoreOutcome::kHistoryGone;
  metrics_
      .Counter("fuchsiaweir_store_calls_total", "Calls to the platform's store by outcome.",
               {{"kind", kind.name}, {"outcome", std::string(Name(result.outcome))}})
      .Increment();
  if (succeeded) {
    store_backoff_.OnExecuted();
  } else {
    store_backoff_.OnRejected(SteadyNow());
    LogInfo("store_call_failed", {{"kind", kind.name},
                                  {"outcome", std::string(Name(result.outcome))},
                                  {"reason", result.failure},
                                  {"reused", result.reused ? "yes" : "no"},
                                  {"took_ms", absl::StrCat(ToMillis(result.elapsed))}});
    if (kind.apply == &FleetView::ApplyRunner) health_.OnRunnerListReadFailed();
  }
  RecordHealth(kind, succeeded,
               absl::StrCat(std::string(Name(result.outcome)), " ", result.failure));
}

void FleetView::RecordHealth(const WatchedKind& kind, bool succeeded, const std::string& reason) {
  switch (health_.OnCall(kind.name, succeeded)) {
    case StoreHealth::Change::kUnavailable:
      LogWarning("store_lost", {{"kind", kind.name}, {"reason", reason}});
      break;
    case StoreHealth::Change::kAvailable:
      LogInfo("store_regained", {{"kind", kind.name}});
      break;
    case StoreHealth::Change::kNone:
      break;
  }
}

void FleetView::ApplyConfig(const StoredObject& object) {
  if (object.removed || object.name != "main") return;
  std::optional<RouteTable> table = platform::DecodeRouteTable(object.content);
  if (!table) {
    LogWarning("desired_state_malformed", {{"source", source_}});
    return;
  }
  const int64_t replaced = table_ == nullptr ? 0 : table_->revision;
  if (table->revision <= replaced) return;
  LogInfo("desired_state_adopted", {{"revision", absl::StrCat(table->revision)},
                                    {"replaces", absl::StrCat(replaced)},
                                    {"source", source_},
                                    {"routes", absl::StrCat(table->routes.size())}});
  metrics_.Gauge("fuchsiaweir_desired_state_revision", "Revision of the desired state in force.")
      .Set(static_cast<double>(table->revision));
  table_ = std::make_shared<const RouteTable>(std::move(*table));
  for (const auto& listener : table_listeners_) listener(*table_);
}

void FleetView::ApplyPeer(const StoredObject& object) { peers_.Apply(object); }

void FleetView::ApplyRollout(const StoredObject& object) {
  if (rollout_listener_) rollout_listener_(object, first_listing_);
}

void FleetView::ApplyRunner(const StoredObject& object) {
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
    const bool hold = health_.runner_outage();
    LogInfo("runner_unlisted", {{"runner", object.name},
                                {"service", known->record.service},
                                {"held", hold ? "yes" : "no"},
                                {"readable", object.removed ? "yes" : "no"}});
    runner_registry_.Remove(object.name, hold, now);
    return;
  }
  unreadable_revisions_.erase(object.name);
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

void FleetView::ApplyEvacuation(const StoredObject& object) {
  const bool changed =
      object.removed ? evacuated_.erase(object.name) > 0 : evacuated_.insert(object.name).second;
  if (!changed) return;
  LogInfo(object.removed ? "data_centre_restored" : "data_centre_evacuated",
          {{"data_centre", object.name},
           {"revision", absl::StrCat(object.revision)},
           {"source", source_}});
}

void FleetView::ApplyWeights(const StoredObject& object) {
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
  if (first_listing_) {
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
  metrics_
      .Gauge("fuchsiaweir_store_kinds_failing",
             "Kinds of objects whose last call to the platform's store failed.")
      .Set(static_cast<double>(health_.failing_kinds()));
  for (const auto& [kind, state] : contents_) {
    if (state.log.revision() == 0) continue;
    metrics_
        .Gauge("fuchsiaweir_contents_age_ms",
               "Time since a kind of the store's objects was known to be current.",
               {{"kind", kind}})
        .Set(static_cast<double>(ToMillis(SuspendAwareNow() - state.as_of)));
  }
  SetRunnerGauges(metrics_, runner_registry_, now);
}

void FleetView::OnHello(const HelloMessage& message) {
  const Peer* const sender = peers_.OnHello(message);
  if (sender == nullptr) return;
  for (const HelloMessage::Change& change : message.changes) {
    for (const WatchedKind& kind : kWatchedKinds) {
      if (kind.name != change.kind || !Watches(kind)) continue;
      WatchedContents& state = contents_[kind.name];
      if (state.catching_up) continue;
      if (change.revision <= state.log.revision()) continue;
      state.catching_up = true;
      const Endpoint peer = sender->endpoint;
      Spawn(io_, "catch_up", [this, &kind, peer]() { return CatchUp(kind, peer); });
    }
  }
  for (const HelloMessage::Weights& item : message.weights) {
    // A peer may know earlier versions, and when each was named.
    weights_[item.model].Name(item.version, SteadyNow() - item.age);
  }
}

}  // namespace fuchsiaweir
