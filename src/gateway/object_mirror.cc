#include "gateway/object_mirror.h"

#include <absl/cleanup/cleanup.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <set>
#include <utility>

#include "core/read_pace.h"
#include "gateway/relay_client.h"
#include "net/deflate.h"
#include "net/log.h"

namespace fuchsiaweir {
namespace {

using platform::StoredObject;
using platform::StoreOutcome;
using platform::StoreResult;

/// Time in which operators and runners write again what the store has lost.
constexpr Duration kRestoreGrace = Seconds(5);
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
/// Answers to other processes from this size on are logged. A link of 10 Mbit/s takes 50 ms for
/// one.
constexpr size_t kLargeAnswerBytes = 65'536;
/// Answers to other processes from this size on are compressed. Below, a link of 10 Mbit/s takes at
/// most 13 ms for one.
constexpr size_t kMinDeflatedBytes = 16'384;

}  // namespace

ObjectMirror::ObjectMirror(boost::asio::io_context& io, HttpClient& client, Metrics& metrics,
                           const GatewaySettings& settings, PeerDirectory& peers)
    : io_(io),
      client_(client),
      metrics_(metrics),
      store_(client, settings.store_endpoint()),
      peers_(peers),
      store_backoff_(settings.name) {}

void ObjectMirror::Add(WatchedKind kind) {
  if (kind.large) contents_[kind.name].log.KeepPatches();
  kinds_.push_back(std::move(kind));
}

void ObjectMirror::Start() {
  for (const WatchedKind& kind : kinds_) {
    SpawnService(io_, absl::StrCat("watch_", kind.name),
                 [this, &kind]() { return WatchKind(kind); });
  }
}

void ObjectMirror::SetSettings(const GatewaySettings& settings) {
  store_.SetEndpoint(settings.store_endpoint());
}

std::optional<Duration> ObjectMirror::Age(const std::string& kind) const {
  const auto found = contents_.find(kind);
  if (found == contents_.end() || found->second.log.position().revision == 0) return std::nullopt;
  return SuspendAwareNow() - found->second.as_of;
}

bool ObjectMirror::Restoring(const std::string& kind) const {
  const auto found = contents_.find(kind);
  return found != contents_.end() && found->second.Restoring(SuspendAwareNow());
}

std::vector<HelloMessage::Change> ObjectMirror::NewestChanges() const {
  std::vector<HelloMessage::Change> changes;
  for (const WatchedKind& kind : kinds_) {
    const auto state = contents_.find(kind.name);
    if (!kind.urgent || state == contents_.end()) continue;
    changes.push_back({kind.name, state->second.log.changed_position()});
  }
  return changes;
}

void ObjectMirror::OnPeerChanges(const std::vector<HelloMessage::Change>& changes,
                                 const Endpoint& peer) {
  for (const HelloMessage::Change& change : changes) {
    for (const WatchedKind& kind : kinds_) {
      if (kind.name != change.kind) continue;
      WatchedContents& state = contents_[kind.name];
      if (state.catching_up) continue;
      if (change.position <= state.log.position()) continue;
      state.catching_up = true;
      Spawn(io_, "catch_up", [this, &kind, peer]() { return CatchUp(kind, peer); });
    }
  }
}

/// A read of one kind from the store or from a relay.
struct ObjectMirror::KindRead {
  StoreResult result;
  ReadSource from = ReadSource::kStore;
  TimePoint sent;                 ///< By `SuspendAwareNow`.
  StorePosition since;            ///< Position of the known contents at that time.
  bool full = false;              ///< The objects are the whole contents, not only changes.
  std::optional<Endpoint> relay;  ///< Nothing if the store was read.
  Duration age{0};                ///< Time since the relay's contents were known to be current.
  bool outage = false;            ///< The relay reports an outage of the store.
  bool relayed = false;           ///< The relay did not read its contents from the store.
  bool restoring = false;         ///< See `ObjectChanges`.
  bool ahead = false;             ///< The same.

  /// When the contents were current. The store does not say when during a wait it produced its
  /// response, so this is at most the begin of the call.
  TimePoint AsOf() const { return sent - age; }

  std::string Source() const { return relay ? ToString(*relay) : "store"; }

  ReadRelation RelationTo(StorePosition known) const {
    return RelationOf({since, result.position(), full, !relay}, known);
  }
};

StorePosition ObjectMirror::ReadFrom(const WatchedKind& kind) {
  const WatchedContents& state = contents_[kind.name];
  return state.ListDue(SuspendAwareNow()) ? StorePosition{} : state.log.position();
}

Awaitable<ObjectMirror::KindRead> ObjectMirror::ReadStore(const WatchedKind& kind, Duration wait) {
  const std::string name = kind.name;
  KindRead read;
  read.sent = SuspendAwareNow();
  read.since = contents_[name].log.position();
  read.full = ReadFrom(kind).revision == 0;
  if (!read.full) {
    read.result = co_await store_.Watch(name, read.since.revision, wait);
    RecordStoreCall(kind, read.result);
    const bool gone = read.result.outcome == StoreOutcome::kHistoryGone;
    if (gone) {
      LogInfo("store_history_gone",
              {{"kind", name}, {"revision", absl::StrCat(read.since.revision)}});
    }
    // The changes of another history do not follow the known contents.
    const bool restored =
        read.result.outcome == StoreOutcome::kDone && read.result.history > read.since.history;
    read.full = gone || restored;
  }
  if (read.full) {
    read.result = co_await store_.List(name);
    RecordStoreCall(kind, read.result);
  }
  co_return read;
}

Awaitable<ObjectMirror::KindRead> ObjectMirror::ReadNext(const WatchedKind& kind) {
  WatchedContents& state = contents_[kind.name];
  const bool use_relays = !kind.urgent || peers_.LocalGateways() >= kMinGatewaysForUrgentRelays;
  std::optional<Endpoint> relay =
      use_relays ? peers_.PreferredRelay(kind.name, kind.large) : std::nullopt;
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
    const StorePosition since = ReadFrom(kind);
    read = co_await ReadRelay(kind, std::move(*relay), since, wait);
  } else {
    read = co_await ReadStore(kind, wait);
  }
  read.from = from;
  co_return read;
}

Awaitable<void> ObjectMirror::WatchKind(const WatchedKind& kind) {
  WatchedContents& state = contents_[kind.name];
  Duration backoff = kInitialBackoff;
  while (!stopping_) {
    KindRead read = co_await ReadNext(kind);
    const bool answered = read.result.outcome == StoreOutcome::kDone;
    const bool done = answered && read.RelationTo(state.log.position()) != ReadRelation::kUnusable;
    if (answered && !done) LogDropped(kind, read);
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
    if (regained && kind.on_regained) kind.on_regained();
    if (at_once) continue;
    const Duration passed = SuspendAwareNow() - read.sent;
    const Duration pause = NextReadPause({.delay = kind.watch_delay,
                                          .from_relay = read.relay.has_value(),
                                          .relayed = read.relayed,
                                          .current = current,
                                          .took = passed});
    if (pause > Duration{0}) co_await SleepFor(pause);
  }
}

Duration ObjectMirror::MaxAge(const WatchedKind& kind) {
  return 2 * kind.watch_timeout + (kind.urgent ? kMaxUrgentRelayLag : kMaxRelayLag);
}

void ObjectMirror::ApplyRead(const WatchedKind& kind, KindRead& read) {
  WatchedContents& state = contents_[kind.name];
  const ReadRelation relation = read.RelationTo(state.log.position());
  if (relation == ReadRelation::kUnusable) return LogDropped(kind, read);
  if (relation == ReadRelation::kRestored) OnRestored(kind, read);
  if (kind.lists_runners) {
    health_.OnRunnerListRead(read.relay ? std::optional<bool>(read.outage) : std::nullopt,
                             SteadyNow());
  }
  if (relation == ReadRelation::kBehind) {
    LogDropped(kind, read);
  } else {
    // A relay that has not listed the store again may still tell what the store does not have.
    if (read.restoring) {
      if (!state.restore_ends_at) state.restore_ends_at = SuspendAwareNow() + kRestoreGrace;
    } else if (read.full && state.ListDue(read.sent)) {
      state.restore_ends_at.reset();
    }
    const ChangeOrigin origin{read.Source(), state.log.position().revision == 0,
                              read.full && state.Restoring(SuspendAwareNow())};
    KeepNewer(kind, read);
    if (read.full) {
      const std::vector<StoredObject> changes =
          state.log.Reset(std::move(read.result.objects), read.result.position());
      ApplyChanges(kind, changes, origin);
    } else {
      // Applied first, because a copy of a large content takes a small host 50 ms.
      ApplyChanges(kind, read.result.objects, origin);
      state.log.Append(std::move(read.result.objects), read.result.revision);
    }
    if (origin.first_listing && kind.on_listed) kind.on_listed();
  }
  // While the store has an older state than this process, nobody knows whether that was the newest.
  if (kind.on_current && state.ahead && state.Restoring(SuspendAwareNow())) return;
  state.as_of = std::max(state.as_of, read.AsOf());
  if (kind.on_current) kind.on_current(state.as_of);
}

void ObjectMirror::OnRestored(const WatchedKind& kind, const KindRead& read) {
  WatchedContents& state = contents_[kind.name];
  LogWarning("contents_restored", {{"kind", kind.name},
                                   {"source", read.Source()},
                                   {"history", absl::StrCat(read.result.history)},
                                   {"revision", absl::StrCat(read.result.revision)},
                                   {"own_history", absl::StrCat(state.log.position().history)},
                                   {"own_revision", absl::StrCat(state.log.position().revision)}});
  state.restore_ends_at = SuspendAwareNow() + kRestoreGrace;
  // Entries of runners that registered since the copy was made are missing from it.
  if (kind.lists_runners) health_.OnRunnerListReadFailed();
}

void ObjectMirror::KeepNewer(const WatchedKind& kind, KindRead& read) {
  WatchedContents& state = contents_[kind.name];
  std::vector<StoredObject>& objects = read.result.objects;
  bool ahead = read.ahead;
  std::set<std::string> names;
  for (StoredObject& object : objects) {
    names.insert(object.name);
    const StoredObject* const known = state.log.Find(object.name);
    if (known == nullptr || object.removed || kind.newer == nullptr) continue;
    if (!kind.newer(*known, object)) continue;
    ahead = true;
    object = *known;
  }
  if (read.full && kind.keeps_missing && state.Restoring(SuspendAwareNow())) {
    for (const StoredObject& known : state.log.ChangesSince({}).objects) {
      if (known.removed || names.count(known.name) > 0) continue;
      ahead = true;
      objects.push_back(known);
    }
  }
  if (read.full || !objects.empty()) state.ahead = ahead;
}

void ObjectMirror::ApplyChanges(const WatchedKind& kind, const std::vector<StoredObject>& changes,
                                const ChangeOrigin& origin) {
  for (const StoredObject& object : changes) {
    try {
      kind.apply(object, origin);
    } catch (const std::exception& e) {
      // One bad object must not hide those behind it.
      LogError("object_rejected",
               {{"kind", kind.name}, {"object", object.name}, {"reason", e.what()}});
    }
  }
  if (!changes.empty()) contents_[kind.name].EndWaitingReads();
}

Awaitable<void> ObjectMirror::CatchUp(const WatchedKind& kind, Endpoint peer) {
  WatchedContents& state = contents_[kind.name];
  const absl::Cleanup caught_up = [&state]() { state.catching_up = false; };
  const StorePosition since = ReadFrom(kind);
  KindRead read = co_await ReadRelay(kind, std::move(peer), since, Duration{0});
  if (read.result.outcome == StoreOutcome::kDone) ApplyRead(kind, read);
}

const WatchedKind* ObjectMirror::FindKind(const std::string& name) const {
  const auto kind = std::find_if(kinds_.begin(), kinds_.end(),
                                 [&](const WatchedKind& item) { return item.name == name; });
  return kind == kinds_.end() ? nullptr : &*kind;
}

void ObjectMirror::LearnFrom(const std::string& kind, const Endpoint& peer) {
  const WatchedKind* const found = FindKind(kind);
  if (found == nullptr || contents_[kind].catching_up) return;
  contents_[kind].catching_up = true;
  Spawn(io_, "learn", [this, found, peer]() { return Learn(*found, peer); });
}

Awaitable<void> ObjectMirror::Learn(const WatchedKind& kind, Endpoint peer) {
  WatchedContents& state = contents_[kind.name];
  const absl::Cleanup caught_up = [&state]() { state.catching_up = false; };
  const ChangeOrigin origin{ToString(peer)};
  const StorePosition from_begin;
  KindRead read = co_await ReadRelay(kind, std::move(peer), from_begin, Duration{0});
  if (read.result.outcome != StoreOutcome::kDone) co_return;
  std::vector<StoredObject> newer;
  for (StoredObject& object : read.result.objects) {
    const StoredObject* const known = state.log.Find(object.name);
    // The peer may not have seen yet that the store came back from an older copy.
    const bool kept = read.restoring || read.result.history < state.log.position().history;
    const bool lost = known == nullptr && kind.keeps_missing && kept;
    const bool later = known != nullptr && kind.newer != nullptr && kind.newer(object, *known);
    if (lost || later) newer.push_back(std::move(object));
  }
  if (newer.empty() || state.log.position().revision == 0) co_return;
  state.ahead = true;
  if (!state.restore_ends_at) state.restore_ends_at = SuspendAwareNow() + kRestoreGrace;
  ApplyChanges(kind, newer, origin);
  state.log.Append(std::move(newer), state.log.position().revision);
}

void ObjectMirror::LogStaleRelay(const WatchedKind& kind, const KindRead& read) {
  LogInfo("relay_stale",
          {{"kind", kind.name},
           {"relay", read.Source()},
           {"age_ms", absl::StrCat(ToMillis(SuspendAwareNow() - read.AsOf()))},
           {"relayed", read.relayed ? "yes" : "no"},
           {"revision", absl::StrCat(read.result.revision)},
           {"own_revision", absl::StrCat(contents_[kind.name].log.position().revision)}});
}

void ObjectMirror::RecordSource(const WatchedKind& kind, const KindRead& read) {
  WatchedContents& state = contents_[kind.name];
  if (state.source == read.Source()) return;
  const std::string replaced = std::exchange(state.source, read.Source());
  LogInfo("source_changed", {{"kind", kind.name},
                             {"source", state.source},
                             {"replaces", replaced},
                             {"age_ms", absl::StrCat(ToMillis(read.age))},
                             {"revision", absl::StrCat(read.result.revision)}});
}

void ObjectMirror::LogDropped(const WatchedKind& kind, const KindRead& read) {
  LogInfo("contents_dropped",
          {{"kind", kind.name},
           {"source", read.Source()},
           {"history", absl::StrCat(read.result.history)},
           {"revision", absl::StrCat(read.result.revision)},
           {"own_history", absl::StrCat(contents_[kind.name].log.position().history)},
           {"own_revision", absl::StrCat(contents_[kind.name].log.position().revision)},
           {"full", read.full ? "yes" : "no"}});
}

void ObjectMirror::RecordHistory(const WatchedKind& kind, StorePosition position,
                                 const std::string& source) {
  // A call that failed does not tell the history.
  if (position.history <= history() && (history_ || position.revision == 0)) return;
  const std::optional<int64_t> replaced = std::exchange(history_, position.history);
  metrics_.Gauge("fuchsiaweir_store_history", "History of the platform's store.")
      .Set(static_cast<double>(history()));
  if (!replaced) return;
  LogWarning("store_history_changed",
             {{"kind", kind.name},
              {"source", source},
              {"history", absl::StrCat(history())},
              {"replaces", absl::StrCat(*replaced)},
              {"revision", absl::StrCat(position.revision)},
              {"own_revision", absl::StrCat(contents_[kind.name].log.position().revision)}});
  if (on_restored_) on_restored_();
}

Awaitable<ObjectMirror::KindRead> ObjectMirror::ReadRelay(const WatchedKind& kind, Endpoint relay,
                                                          StorePosition since, Duration wait) {
  KindRead read;
  read.sent = SuspendAwareNow();
  read.relay = relay;
  WatchedContents& state = contents_[kind.name];
  read.since = state.log.position();
  RelayQuery query{kind.name, since, state.log.Digests(), wait};
  std::optional<ObjectChanges> changes = co_await ReadFromRelay(client_, relay, query);
  // Another read may have replaced the contents that the patches belong to.
  if (changes && !state.log.ApplyPatches(*changes)) {
    LogInfo("patches_unusable", {{"kind", kind.name}, {"relay", read.Source()}});
    query.known_digests.clear();
    query.wait = Duration{0};
    changes = co_await ReadFromRelay(client_, std::move(relay), std::move(query));
  }
  metrics_
      .Counter("fuchsiaweir_relay_reads_total", "Reads of other gateways by outcome.",
               {{"kind", kind.name}, {"outcome", changes ? "done" : "failed"}})
      .Increment();
  if (!changes) co_return read;
  read.full = changes->full;
  read.age = changes->age;
  read.outage = changes->outage;
  read.relayed = changes->relayed;
  read.restoring = changes->restoring;
  read.ahead = changes->ahead;
  read.result.revision = changes->position.revision;
  read.result.history = changes->position.history;
  read.result.objects = std::move(changes->objects);
  if (changes->position.revision > 0) {
    read.result.outcome = StoreOutcome::kDone;
    RecordHistory(kind, changes->position, read.Source());
  }
  co_return read;
}

Awaitable<HttpResponse> ObjectMirror::ServeRelay(HttpTarget target, std::string accepted_coding) {
  const auto found = contents_.find(target.Query("kind"));
  if (found == contents_.end() || found->second.log.position().revision == 0) {
    co_return HttpResponse{503, {}, ""};
  }
  const WatchedKind* const kind = FindKind(found->first);
  if (kind == nullptr) co_return HttpResponse{404, {}, ""};
  // Processes of an earlier version do not name a history.
  const StorePosition since{target.QueryInteger("history", found->second.log.position().history),
                            target.QueryInteger("since", 0)};
  const Duration wait =
      Millis(std::clamp<int64_t>(target.QueryInteger("wait_ms", 0), 0, ToMillis(kMaxRelayWait)));
  std::vector<std::string> known_digests =
      absl::StrSplit(target.Query(kKnownDigestsField), ',', absl::SkipEmpty());
  ObjectChanges changes =
      co_await found->second.Changes(io_, since, std::move(known_digests), wait, MaxAge(*kind));
  changes.outage = health_.runner_outage();
  HttpResponse response = JsonResponse(200, EncodeObjectChanges(changes));
  const size_t bytes = response.body.size();
  if (bytes >= kMinDeflatedBytes && accepted_coding == kDeflateCoding) {
    response.body = Deflate(response.body, DeflateEffort::kSpeed);
    response.headers.emplace_back("Content-Encoding", kDeflateCoding);
  }
  RecordSent(*kind, changes, since, bytes, response.body.size());
  co_return response;
}

void ObjectMirror::RecordSent(const WatchedKind& kind, const ObjectChanges& changes,
                              StorePosition since, size_t bytes, size_t sent_bytes) {
  metrics_
      .Counter("fuchsiaweir_relay_sent_bytes_total",
               "Bytes of contents of the platform's store sent to other processes.",
               {{"kind", kind.name}})
      .Increment(static_cast<double>(sent_bytes));
  if (bytes < kLargeAnswerBytes) return;
  LogInfo("large_contents_sent", {{"kind", kind.name},
                                  {"bytes", absl::StrCat(bytes)},
                                  {"sent_bytes", absl::StrCat(sent_bytes)},
                                  {"full", changes.full ? "yes" : "no"},
                                  {"since", absl::StrCat(since.revision)},
                                  {"revision", absl::StrCat(changes.position.revision)}});
}

void ObjectMirror::RecordStoreCall(const WatchedKind& kind, const StoreResult& result) {
  RecordHistory(kind, result.position(), "store");
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
    if (kind.lists_runners) health_.OnRunnerListReadFailed();
  }
  RecordHealth(kind, succeeded,
               absl::StrCat(std::string(Name(result.outcome)), " ", result.failure));
}

void ObjectMirror::RecordHealth(const WatchedKind& kind, bool succeeded,
                                const std::string& reason) {
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

void ObjectMirror::UpdateGauges() const {
  metrics_
      .Gauge("fuchsiaweir_store_kinds_failing",
             "Kinds of objects whose last call to the platform's store failed.")
      .Set(static_cast<double>(health_.failing_kinds()));
  for (const auto& [kind, state] : contents_) {
    if (state.log.position().revision == 0) continue;
    metrics_
        .Gauge("fuchsiaweir_contents_age_ms",
               "Time since a kind of the store's objects was known to be current.",
               {{"kind", kind}})
        .Set(static_cast<double>(ToMillis(SuspendAwareNow() - state.as_of)));
  }
}

}  // namespace fuchsiaweir
