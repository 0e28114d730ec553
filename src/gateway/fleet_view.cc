#include "gateway/fleet_view.h"

#include <absl/strings/str_cat.h>
#include <time.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "core/rendezvous.h"
#include "net/log.h"
#include "net/timer_service.h"
#include "platform/decode.h"
#include "platform/names.h"

namespace fuchsiaweir {
namespace {

namespace json = boost::json;
using platform::StoredObject;
using platform::StoreOutcome;
using platform::StoreResult;

/// Object kind under which gateways and sidecars register their addresses.
constexpr char kPeerKind[] = "fuchsiaweir-peers";
constexpr char kRelayPath[] = "/internal/v1/objects";

/// Share of the key revocation limit for which a confirmation is valid. The rest covers the time
/// between the check of a key and the request's arrival at the runner.
constexpr double kAuthorityShare = 0.7;
constexpr Duration kHelloPeriod = Millis(700);
constexpr Duration kTickPeriod = Millis(100);
constexpr Duration kInitialBackoff = Millis(150);
constexpr Duration kMaxBackoff = Millis(600);
/// Added to the time that a relay waits for changes to get the timeout of the call.
constexpr Duration kRelayResponseMargin = Millis(500);
constexpr Duration kMaxRelayWait = Seconds(5);
/// A relay whose state is older than one watch timeout plus this has lost the store.
constexpr Duration kMaxRelayLag = Millis(1200);
/// Number of gateways in a data centre for each additional relay. Most processes read from relays
/// because the store's request rates grow more slowly than the fleet.
constexpr size_t kGatewaysPerRelay = 8;
/// A gateway without a hello for this long counts as down and gets no calls.
constexpr Duration kPeerTimeout = Seconds(6);

}  // namespace

TimePoint SuspendAwareNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) + Micros(now.tv_nsec / 1000));
}

/// How one kind of object is watched.
struct FleetView::WatchedKind {
  const char* name;
  Duration watch_timeout;  ///< Longest time that one watch call stays open.
  Duration watch_delay;    ///< Between two watch calls, so that one call returns several changes.
  Duration sidecar_watch_delay;  ///< Same for sidecars; zero: they do not watch the kind.
  bool prefer_relay;             ///< Read from a relay first; otherwise only when the store fails.
  void (FleetView::*apply)(const StoredObject& object);
};

// Short watch timeouts for the desired state and the runners detect a dead connection early, and
// each answer for the desired state renews the authority to accept keys. Kinds whose changes must
// take effect within one or two seconds are read from the store itself, since a stalled relay would
// delay them.
const FleetView::WatchedKind FleetView::kWatchedKinds[] = {
    {platform::kConfigKind, Millis(1000), Millis(0), Millis(0), false, &FleetView::ApplyConfig},
    {platform::kRunnerKind, Millis(500), Millis(400), Millis(1500), true, &FleetView::ApplyRunner},
    {platform::kEvacuationKind, Millis(2500), Millis(50), Millis(0), false,
     &FleetView::ApplyEvacuation},
    {platform::kVersionKind, Millis(2500), Millis(50), Millis(50), true, &FleetView::ApplyWeights},
    {kPeerKind, Millis(4000), Millis(500), Millis(1000), true, &FleetView::ApplyPeer},
};

FleetView::FleetView(ComponentRegistry& components, const GatewaySettings& settings,
                     PlatformRole role)
    : io_(components.io()),
      settings_(settings),
      role_(role),
      client_(components.Find<HttpClients>("http_clients").external()),
      link_(components.Find<PeerLink>("peer_link")),
      metrics_(components.Find<Metrics>("metrics")),
      store_(client_, settings.store_endpoint()),
      authority_(Millis(0)) {
  SetSettings(settings);

  components.Find<TimerService>("timer").Subscribe("fleet_view", kTickPeriod,
                                                   [this](TimePoint now) { Tick(now); });
  if (role == PlatformRole::kGateway) {
    components.Find<TimerService>("timer").Subscribe("hello", kHelloPeriod, [this](TimePoint) {
      HelloMessage hello;
      hello.name = settings_.name;
      hello.revision = table_ ? table_->revision : 0;
      hello.confirmed_age = authority_.Age(SuspendAwareNow());
      for (const auto& [model, target] : weights_) {
        for (const auto& [version, at] : target.named()) {
          hello.weights.push_back({model, version, SteadyNow() - at});
        }
      }
      BroadcastToGateways(hello);
    });
  }
}

void FleetView::SetSettings(const GatewaySettings& settings) {
  settings_ = settings;
  store_.SetEndpoint(settings.store_endpoint());
  authority_.SetValidity(Micros(static_cast<int64_t>(
      static_cast<double>(settings.key_revocation_ms) * 1e3 * kAuthorityShare)));
}

void FleetView::Start() {
  for (const WatchedKind& kind : kWatchedKinds) {
    if (role_ == PlatformRole::kSidecar && kind.sidecar_watch_delay == Duration{0}) continue;
    Spawn(io_, absl::StrCat("watch_", kind.name), [this, &kind]() { return WatchKind(kind); });
  }
  Spawn(io_, "register", [this]() { return Register(); });
}

Awaitable<void> FleetView::Stop() {
  stopping_ = true;
  co_return;
}

const WeightsHistory* FleetView::weights(const std::string& model) const {
  const auto found = weights_.find(model);
  return found == weights_.end() ? nullptr : &found->second;
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
  if (table_ == nullptr) return Duration{0};
  const auto found = table_->services.find(service);
  return found == table_->services.end() ? Duration{0} : found->second.cold_time;
}

Awaitable<void> FleetView::WatchKind(const WatchedKind& kind) {
  const std::string name = kind.name;
  Duration backoff = kInitialBackoff;
  int64_t failures = 0;
  while (!stopping_) {
    const std::optional<Endpoint> relay = ChooseRelay(kind, failures);
    const bool listing = kind_states_[name].log.revision() == 0;
    const TimePoint sent = SuspendAwareNow();
    StoreResult answer;
    Duration age{0};
    bool outage = false;
    bool listed = listing;
    if (relay) {
      const ObjectChanges changes = co_await ReadFromRelay(kind, *relay);
      listed = changes.full;
      age = changes.age;
      answer.revision = changes.revision;
      answer.objects = changes.objects;
      answer.outcome = changes.revision > 0 ? StoreOutcome::kDone : StoreOutcome::kUnknown;
      outage = changes.outage;
    } else if (listing) {
      answer = co_await store_.List(name);
    } else {
      answer = co_await store_.Watch(name, kind_states_[name].log.revision(), kind.watch_timeout);
    }
    if (!relay) RecordStoreCall(kind, answer);
    if (answer.outcome == StoreOutcome::kHistoryGone) {
      LogInfo("store_history_gone",
              {{"kind", name}, {"revision", absl::StrCat(kind_states_[name].log.revision())}});
      answer = co_await store_.List(name);
      RecordStoreCall(kind, answer);
      listed = true;
    }
    if (answer.outcome != StoreOutcome::kDone) {
      ++failures;
      co_await SleepFor(backoff);
      backoff = std::min(kMaxBackoff, backoff * 2);
      continue;
    }
    backoff = kInitialBackoff;
    // A relay that has lost the store counts as a failed source.
    const bool stale = age > kind.watch_timeout + kMaxRelayLag;
    failures = stale ? failures + 1 : 0;
    // No store call would clear an earlier failure of a kind that is now read from a relay.
    if (relay && !stale) RecordHealth(kind, true, "");
    // The state is only known to be current as of the call's start: the store does not say when
    // during the wait it produced the answer.
    KindState& state = kind_states_[name];
    state.as_of = std::max(state.as_of, sent - age);
    if (kind.apply == &FleetView::ApplyRunner) {
      health_.OnRunnerListRead(relay ? std::optional<bool>(outage) : std::nullopt, SteadyNow());
    }
    ApplyAnswer(kind, answer, listed);
    if (kind.apply == &FleetView::ApplyConfig && table_ != nullptr) authority_.Confirm(state.as_of);
    Duration delay = role_ == PlatformRole::kGateway ? kind.watch_delay : kind.sidecar_watch_delay;
    if (relay) delay = stale ? kInitialBackoff : Duration{0};
    if (delay > Duration{0}) co_await SleepFor(delay);
  }
}

std::optional<Endpoint> FleetView::PreferredRelay(const WatchedKind& kind) const {
  std::vector<std::string> names;
  if (role_ == PlatformRole::kGateway) names.push_back(settings_.name);
  const TimePoint now = SteadyNow();
  for (const auto& [name, peer] : peers_) {
    // Hellos go to gateways only, so a sidecar cannot tell which gateways are alive.
    const bool live = role_ == PlatformRole::kSidecar || now - peer.last_seen < kPeerTimeout;
    if (peer.gateway && live && peer.data_centre == settings_.data_centre) names.push_back(name);
  }
  if (names.empty()) return std::nullopt;
  const size_t count = 1 + names.size() / kGatewaysPerRelay;
  const std::vector<std::string> chosen = RendezvousTop(kind.name, names, count);
  if (std::find(chosen.begin(), chosen.end(), settings_.name) != chosen.end()) return std::nullopt;
  return peers_.at(RendezvousTop(settings_.name, chosen, 1).front()).endpoint;
}

std::optional<Endpoint> FleetView::AnyRelay() {
  std::vector<const Peer*> gateways;
  const TimePoint now = SteadyNow();
  for (const auto& [name, peer] : peers_) {
    const bool live = role_ == PlatformRole::kSidecar || now - peer.last_seen < kPeerTimeout;
    if (peer.gateway && live) gateways.push_back(&peer);
  }
  if (gateways.empty()) return std::nullopt;
  return gateways[++next_relay_ % gateways.size()]->endpoint;
}

std::optional<Endpoint> FleetView::ChooseRelay(const WatchedKind& kind, int64_t failures) {
  std::optional<Endpoint> preferred = kind.prefer_relay ? PreferredRelay(kind) : std::nullopt;
  // While calls fail, the store and any gateway take the place of the preferred source in turn.
  switch (failures % 3) {
    case 0:
      return preferred;
    case 1:
      return preferred ? std::nullopt : AnyRelay();
    default:
      return AnyRelay();
  }
}

Awaitable<ObjectChanges> FleetView::ReadFromRelay(const WatchedKind& kind, Endpoint relay) {
  HttpRequest request{"GET",
                      absl::StrCat(kRelayPath, "?kind=", kind.name,
                                   "&since=", kind_states_[kind.name].log.revision(),
                                   "&wait_ms=", ToMillis(kind.watch_timeout)),
                      {},
                      ""};
  CallOptions options;
  options.timeout = kind.watch_timeout + kRelayResponseMargin;
  options.connect_timeout = kRelayResponseMargin / 2;
  const std::string address = ToString(relay);
  const HttpResult result = co_await client_.Call(std::move(relay), std::move(request), options);
  ObjectChanges changes;
  if (!result.ok()) {
    LogInfo("relay_failed", {{"kind", kind.name}, {"relay", address}, {"reason", result.failure}});
    co_return changes;
  }
  std::optional<ObjectChanges> decoded = DecodeObjectChanges(result.response->body);
  if (!decoded) {
    LogWarning("relay_malformed", {{"kind", kind.name}, {"relay", address}});
    co_return changes;
  }
  co_return *decoded;
}

void FleetView::ApplyAnswer(const WatchedKind& kind, StoreResult& answer, bool listed) {
  KindState& state = kind_states_[kind.name];
  // A relay may be behind this process.
  if (answer.revision < state.log.revision()) return;
  std::vector<StoredObject> changes;
  first_listing_ = state.log.revision() == 0;
  if (listed) {
    changes = state.log.Reset(std::move(answer.objects), answer.revision);
  } else {
    changes = std::move(answer.objects);
    state.log.Append(changes, answer.revision);
  }
  for (const StoredObject& object : changes) (this->*kind.apply)(object);
  if (first_listing_) MarkListed(kind);
  if (changes.empty()) return;
  for (boost::asio::steady_timer* timer : state.relay_timers) timer->cancel();
}

void FleetView::MarkListed(const WatchedKind& kind) {
  if (kind.apply == &FleetView::ApplyRunner) runners_listed_ = true;
  if (kind.apply == &FleetView::ApplyPeer) {
    peers_listed_ = true;
    UpdateGateways(SteadyNow());
  }
}

Awaitable<HttpResponse> FleetView::ServeRelay(HttpTarget target) {
  const auto found = kind_states_.find(target.Query("kind"));
  if (found == kind_states_.end() || found->second.log.revision() == 0)
    co_return HttpResponse{503, {}, ""};
  KindState& state = found->second;
  const int64_t since = target.QueryInteger("since", 0);
  const Duration wait = std::min(Millis(target.QueryInteger("wait_ms", 0)), kMaxRelayWait);
  if (!state.log.HasChangesSince(since)) {
    boost::asio::steady_timer timer(io_);
    timer.expires_after(wait);
    state.relay_timers.push_back(&timer);
    boost::system::error_code ignored;  // A cancelled wait means that there are changes.
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    std::erase(state.relay_timers, &timer);
  }
  ObjectChanges changes = state.log.ChangesSince(since);
  changes.age = SuspendAwareNow() - state.as_of;

  changes.outage = health_.runner_outage();
  co_return JsonResponse(200, EncodeObjectChanges(changes));
}

void FleetView::RecordStoreCall(const WatchedKind& kind, const StoreResult& answer) {
  const bool succeeded =
      answer.outcome == StoreOutcome::kDone || answer.outcome == StoreOutcome::kHistoryGone;
  metrics_
      .Counter("fuchsiaweir_store_calls_total", "Calls to the platform's store by outcome.",
               {{"kind", kind.name}, {"outcome", std::string(Name(answer.outcome))}})
      .Increment();
  if (!succeeded && kind.apply == &FleetView::ApplyRunner) health_.OnRunnerListReadFailed();
  RecordHealth(kind, succeeded,
               absl::StrCat(std::string(Name(answer.outcome)), " ", answer.failure));
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
  AdoptTable(object.content, "store");
}

void FleetView::AdoptTable(const json::value& spec, const std::string& source) {
  std::optional<RouteTable> table = platform::DecodeRouteTable(spec);
  if (!table) {
    LogWarning("desired_state_malformed", {{"source", source}});
    return;
  }
  const int64_t replaced = table_ == nullptr ? 0 : table_->revision;
  if (table->revision <= replaced) return;
  LogInfo("desired_state_adopted", {{"revision", absl::StrCat(table->revision)},
                                    {"replaces", absl::StrCat(replaced)},
                                    {"source", source},
                                    {"routes", absl::StrCat(table->routes.size())}});
  metrics_.Gauge("fuchsiaweir_desired_state_revision", "Revision of the desired state in force.")
      .Set(static_cast<double>(table->revision));
  table_ = std::make_shared<const RouteTable>(std::move(*table));
  for (const auto& listener : table_listeners_) listener(*table_);
}

void FleetView::ApplyRunner(const StoredObject& object) {
  const TimePoint now = SteadyNow();
  std::optional<RunnerRecord> record;
  if (!object.removed) record = platform::DecodeRunner(object.name, object.content);
  const RunnerState* known = runner_registry_.Find(object.name);
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

void FleetView::ApplyEvacuation(const StoredObject& object) {
  const bool changed =
      object.removed ? evacuated_.erase(object.name) > 0 : evacuated_.insert(object.name).second;
  if (!changed) return;
  LogInfo(object.removed ? "data_centre_restored" : "data_centre_evacuated",
          {{"data_centre", object.name}, {"revision", absl::StrCat(object.revision)}});
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

void FleetView::ApplyPeer(const StoredObject& object) {
  if (object.name == settings_.name) return;
  if (object.removed) {
    peers_.erase(object.name);
  } else if (object.content.is_object()) {
    const json::object& spec = object.content.as_object();
    const json::value* address = spec.if_contains("address");
    const json::value* role = spec.if_contains("role");
    if (address == nullptr || !address->is_string() || role == nullptr) return;
    Peer& peer = peers_[object.name];
    peer.endpoint = ParseEndpoint(std::string(address->as_string()));
    peer.gateway = role->is_string() && role->as_string() == "gateway";
    const json::value* data_centre = spec.if_contains("data_centre");
    if (data_centre != nullptr && data_centre->is_string()) {
      peer.data_centre = std::string(data_centre->as_string());
    }
    peer.last_seen = SteadyNow();
  }
}

void FleetView::UpdateGateways(TimePoint now) {
  gateways_.clear();
  live_gateways_.clear();
  if (!peers_listed_) return;
  if (role_ == PlatformRole::kGateway) {
    gateways_.push_back(settings_.name);
    live_gateways_.push_back(settings_.name);
  }
  for (const auto& [name, peer] : peers_) {
    if (!peer.gateway) continue;
    gateways_.push_back(name);
    if (now - peer.last_seen < kPeerTimeout) live_gateways_.push_back(name);
  }
}

void FleetView::Tick(TimePoint now) {
  for (const std::string& id : runner_registry_.Expire(now)) {
    LogInfo("runner_gone", {{"runner", id}, {"reason", "not listed again after an outage"}});
  }
  UpdateGateways(now);
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
  std::map<std::string, double> states{
      {"avoided", 0}, {"cold", 0}, {"leaving", 0}, {"missing", 0}, {"in_use", 0}};
  for (const auto& [id, state] : runner_registry_.runners()) {
    const char* name = state.record.draining || state.replaced ? "leaving"
                       : state.missing_since                   ? "missing"
                       : state.Avoided(now)                    ? "avoided"
                       : state.Cold(now)                       ? "cold"
                                                               : "in_use";
    ++states[name];
  }
  for (const auto& [name, count] : states) {
    metrics_.Gauge("fuchsiaweir_runners", "Runners by what is believed of them.", {{"state", name}})
        .Set(count);
  }
}

void FleetView::BroadcastToGateways(const PeerMessage& message) {
  for (const auto& [name, peer] : peers_) {
    if (peer.gateway) link_.Send(peer.endpoint, message);
  }
}

void FleetView::BroadcastToSidecars(const PeerMessage& message) {
  for (const auto& [name, peer] : peers_) {
    if (!peer.gateway) link_.Send(peer.endpoint, message);
  }
}

void FleetView::OnHello(const HelloMessage& message) {
  const auto found = peers_.find(message.name);
  if (found == peers_.end()) return;
  found->second.last_seen = SteadyNow();
  for (const HelloMessage::Weights& item : message.weights) {
    // A peer may know earlier versions, and when each was named.
    weights_[item.model].Name(item.version, SteadyNow() - item.age);
  }
}

Awaitable<void> FleetView::Register() {
  const json::value spec =
      json::object{{"address", ToString(settings_.peer_endpoint())},
                   {"data_centre", settings_.data_centre},
                   {"role", role_ == PlatformRole::kGateway ? "gateway" : "sidecar"}};
  const std::string kind = kPeerKind;
  while (!stopping_) {
    StoreResult answer = co_await store_.Create(kind, settings_.name, spec);
    if (answer.outcome == StoreOutcome::kConflict) {
      // An earlier process on this host registered, maybe with another address. The store ignores
      // writes of equal content, so an equal entry is left as it is.
      StoreResult existing = co_await store_.Read(kind, settings_.name);
      if (existing.outcome == StoreOutcome::kDone && !existing.objects.empty()) {
        if (existing.objects.front().content == spec) co_return;
        answer = co_await store_.Replace(kind, settings_.name, existing.revision, spec);
      }
    }
    if (answer.outcome == StoreOutcome::kDone) {
      LogInfo("registered", {{"address", ToString(settings_.peer_endpoint())},
                             {"revision", absl::StrCat(answer.revision)}});
      co_return;
    }
    LogInfo("not_registered",
            {{"outcome", std::string(Name(answer.outcome))}, {"reason", answer.failure}});
    co_await SleepFor(kMaxBackoff);
  }
}

}  // namespace fuchsiaweir
