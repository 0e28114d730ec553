#include "gateway/stream_origins.h"

#include <absl/cleanup/cleanup.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/json.hpp>
#include <map>
#include <utility>

#include "core/rendezvous.h"
#include "net/log.h"
#include "net/timer_service.h"
#include "platform/decode.h"
#include "platform/field_access.h"
#include "platform/names.h"

namespace fuchsiaweir {
namespace {

namespace json = boost::json;

constexpr Duration kTickPeriod = Millis(200);
/// An older list of runners may lack a version that other gateways use.
constexpr Duration kMaxListAge = Seconds(3);
/// The attempts of a caller together last no longer than this multiple of a route's timeout.
constexpr int64_t kTimeoutsOfLifetime = 2;
/// Other gateways that hold the record of a stream.
constexpr size_t kGatewayHolders = 1;
/// Sidecars that hold the record: all gateways may be killed at once, and two sidecars seldom leave
/// together.
constexpr size_t kSidecarHolders = 2;
/// Streams in one message, which has to fit into one Ethernet frame.
constexpr size_t kMaxKeys = 50;
/// More are asked than hold the record: two processes may differ in which sidecars they take for
/// alive.
constexpr size_t kAskedSidecars = 3;
/// Time after the first list of runners until each sidecar that is alive has reported.
constexpr Duration kReportWait = Millis(300);
constexpr Duration kAskTimeout = Millis(300);
/// The list of runners is usually read within milliseconds. If the store rejects that, the next
/// regular read, also through another gateway, takes up to 1.5 s.
constexpr Duration kListTimeout = Seconds(2);
/// Share of the caller's time that the search may take.
constexpr int64_t kSearchesPerCaller = 2;
/// Many streams are resumed at once after a gateway has ended; they share these reads.
constexpr Duration kListReadPeriod = Millis(200);
/// The same after a read has failed.
constexpr Duration kListRetryPeriod = Seconds(1);
/// Until then, the regular reads bring a gateway that stood still up to date.
constexpr Duration kUnknownRetryAfter = Seconds(1);
constexpr Duration kAskPollInterval = Millis(5);
/// The same once the holders have had time to answer. Many requests may wait while the list cannot
/// be read.
constexpr Duration kListPollInterval = Millis(25);
constexpr int64_t kMaxAnswerBytes = 100'000;

std::string KeyText(uint64_t key) { return absl::StrCat(absl::Hex(key, absl::kZeroPad16)); }

}  // namespace

struct StreamOrigins::Inquiry {
  std::optional<std::string> version;  ///< Of the stream, as a holder recorded it.
  OriginEvidence evidence;
};

StreamOrigins::StreamOrigins(ComponentRegistry& components, FleetView& view)
    : io_(components.io()),
      view_(view),
      metrics_(components.Find<Metrics>("metrics")),
      link_(components.Find<PeerLink>("peer_link")),
      client_(components.Find<HttpClients>("http_clients").external()) {
  components.Find<TimerService>("timer").Subscribe("stream_origins", kTickPeriod,
                                                   [this](TimePoint) { Tick(); });
  view.AddTableListener([this](const RouteTable& table) { OnTable(table); });
}

void StreamOrigins::OnTable(const RouteTable& table) {
  lifetime_ = kMinStreamLifetime;
  for (const Route& route : table.routes) {
    if (route.kind == RouteKind::kStream) {
      lifetime_ = std::max(lifetime_, route.timeout * kTimeoutsOfLifetime);
    }
  }
  lifetime_ = std::min(lifetime_, kMaxStreamLifetime);
}

SeenVersions StreamOrigins::Seen(const std::string& service, Duration lifetime) const {
  SeenVersions seen = listed_.Seen(service, lifetime, SuspendAwareNow());
  // `listed_` follows with the next tick, while the age of the list tells that it is current.
  for (const auto& [id, state] : view_.runner_registry().runners()) {
    if (state.record.service == service) seen.versions.insert(state.record.version);
  }
  return seen;
}

void StreamOrigins::Tick() {
  const TimePoint now = SuspendAwareNow();
  table_.Expire(now - std::max(lifetime_, replicated_lifetime_));
  std::map<std::string, std::set<std::string>> versions;
  for (const auto& [id, state] : view_.runner_registry().runners()) {
    versions[state.record.service].insert(state.record.version);
  }
  const std::optional<Duration> age = view_.RunnerListAge();
  if (age && !first_list_at_) first_list_at_ = now;
  if (age && *age <= kMaxListAge) listed_.OnListed(versions, now);
  std::set<std::string> several;
  for (const auto& [service, ignored] : versions) {
    if (!OnlyVersion({Seen(service, lifetime_)}, lifetime_)) several.insert(service);
  }
  UpdateReplication(std::move(several));
  metrics_.Gauge("fuchsiaweir_stream_origins", "Streams whose software version is known.")
      .Set(static_cast<double>(table_.size()));
}

void StreamOrigins::UpdateReplication(std::set<std::string> services) {
  // Sidecars, which do not read the desired state, begin no streams.
  if (services.empty() || view_.table() == nullptr) return replicated_services_.clear();
  const std::vector<std::string> former = std::exchange(sidecars_, LiveSidecars());
  for (const std::string& service : services) {
    if (replicated_services_.count(service) == 0) {
      ReplicateBegun(service, std::nullopt);
    } else if (former != sidecars_) {
      ReplicateBegun(service, former);
    }
  }
  replicated_services_ = std::move(services);
}

bool StreamOrigins::ReportsKnown() const {
  return first_list_at_ && SuspendAwareNow() - *first_list_at_ >= kReportWait;
}

std::vector<std::string> StreamOrigins::LiveSidecars() const {
  // Entries of sidecars that have left stay registered. A sidecar reports the runner on its host,
  // and leaves with it.
  std::set<std::string> reporting;
  const TimePoint now = SteadyNow();
  for (const auto& [id, state] : view_.runner_registry().runners()) {
    if (state.ReportFresh(now) && !state.record.draining) reporting.insert(state.record.address);
  }
  std::vector<std::string> live;
  for (const auto& [name, peer] : view_.peers()) {
    if (!peer.gateway && reporting.count(peer.endpoint.address) > 0) live.push_back(name);
  }
  return live;
}

std::vector<Endpoint> StreamOrigins::Holders(uint64_t key, const std::vector<std::string>& sidecars,
                                             size_t count) const {
  std::vector<std::string> gateways = view_.live_gateways();
  std::erase(gateways, view_.settings().name);
  std::vector<std::string> holders = RendezvousTop(KeyText(key), gateways, kGatewayHolders);
  for (std::string& name : RendezvousTop(KeyText(key), sidecars, count)) {
    if (view_.peers().count(name) > 0) holders.push_back(std::move(name));
  }
  std::vector<Endpoint> endpoints;
  endpoints.reserve(holders.size());
  for (const std::string& name : holders) endpoints.push_back(view_.peers().at(name).endpoint);
  return endpoints;
}

void StreamOrigins::ReplicateBegun(const std::string& service,
                                   const std::optional<std::vector<std::string>>& former_sidecars) {
  std::map<std::string, std::vector<uint64_t>> begun;
  for (const StreamOriginTable::Begun& stream : table_.BegunHere(service)) {
    const std::string key = KeyText(stream.key);
    const bool held = former_sidecars && RendezvousTop(key, *former_sidecars, kSidecarHolders) ==
                                             RendezvousTop(key, sidecars_, kSidecarHolders);
    if (!held) begun[stream.version].push_back(stream.key);
  }
  for (const auto& [version, keys] : begun) Replicate(version, keys);
}

void StreamOrigins::Replicate(const std::string& version, const std::vector<uint64_t>& keys) {
  std::map<std::string, std::pair<Endpoint, StreamsMessage>> messages;
  for (const uint64_t key : keys) {
    for (const Endpoint& holder : Holders(key, sidecars_, kSidecarHolders)) {
      auto& [endpoint, message] = messages[ToString(holder)];
      endpoint = holder;
      message.version = version;
      message.lifetime = lifetime_;
      message.keys.push_back(key);
      if (message.keys.size() < kMaxKeys) continue;
      link_.Send(endpoint, message);
      message.keys.clear();
    }
  }
  for (const auto& [address, item] : messages) {
    if (!item.second.keys.empty()) link_.Send(item.first, item.second);
  }
}

void StreamOrigins::OnBegun(const std::string& service, const std::string& first_attempt,
                            const std::string& version) {
  if (first_attempt.empty()) return;  // No caller can name it.
  const uint64_t key = StreamOriginTable::Key(service, first_attempt);
  table_.OnBegun(service, key, version, SuspendAwareNow());
  if (replicated_services_.count(service) > 0) Replicate(version, {key});
}

void StreamOrigins::OnMessage(const StreamsMessage& message) {
  replicated_lifetime_ =
      std::max(replicated_lifetime_, std::min(message.lifetime, kMaxStreamLifetime));
  for (const uint64_t key : message.keys) {
    table_.Record(key, message.version, SuspendAwareNow());
  }
}

HttpResponse StreamOrigins::Serve(const HttpTarget& target) const {
  uint64_t key = 0;
  if (!absl::SimpleHexAtoi(target.Query("key"), &key)) return HttpResponse{400, {}, ""};
  // Sidecars do not read the desired state, which the lifetime follows from.
  const Duration lifetime =
      Millis(std::clamp<int64_t>(target.QueryInteger("lifetime_ms", 0),
                                 ToMillis(kMinStreamLifetime), ToMillis(kMaxStreamLifetime)));
  const SeenVersions seen = Seen(target.Query("service"), lifetime);
  json::object body{{"seen", json::array(seen.versions.begin(), seen.versions.end())},
                    {"watched_ms", ToMillis(seen.watched)}};
  if (const std::optional<std::string> version = table_.Find(key)) body["version"] = *version;
  return JsonResponse(200, json::serialize(body));
}

Awaitable<void> StreamOrigins::Ask(Endpoint holder, std::string target,
                                   std::shared_ptr<Inquiry> inquiry) {
  HttpRequest request{"GET", std::move(target), {}, ""};
  CallOptions options;
  options.timeout = kAskTimeout;
  options.connect_timeout = kAskTimeout;
  options.max_body_bytes = kMaxAnswerBytes;
  const HttpResult result = co_await client_.Call(std::move(holder), std::move(request), options);
  ++inquiry->evidence.holders_failed;  // Until the answer has been read.
  if (!result.ok()) co_return;
  try {
    const json::object body = json::parse(result.response->body).as_object();
    SeenVersions seen;
    for (const json::value& version : body.at("seen").as_array()) {
      seen.versions.emplace(version.as_string());
    }
    // Without it, the versions that the holder has seen count all the same.
    seen.watched = platform::MillisAt(body, "watched_ms");
    if (const json::value* version = body.if_contains("version")) {
      inquiry->version = std::string(version->as_string());
    }
    inquiry->evidence.seen.push_back(std::move(seen));
    --inquiry->evidence.holders_failed;
    ++inquiry->evidence.holders_answered;
  } catch (const std::exception& e) {
    LogWarning("stream_origin_malformed", {{"reason", e.what()}});
  }
}

Awaitable<std::optional<Refusal>> StreamOrigins::AdmitResumption(ForwardedRequest& request) {
  std::string service = request.service;
  std::string first_attempt = request.caller.first_attempt;
  const Duration limit = std::min(
      kListTimeout, request.caller.time_left.value_or(kDefaultTimeLeft) / kSearchesPerCaller);
  const Origin origin = co_await Find(std::move(service), std::move(first_attempt), limit);
  LogInfo("stream_resumed", {{"first_attempt", request.caller.first_attempt},
                             {"service", request.service},
                             {"version", origin.version.value_or("")},
                             {"source", origin.source}});
  metrics_
      .Counter("fuchsiaweir_streams_resumed_total",
               "Streams that callers resumed, by where their software version was known.",
               {{"source", origin.source}})
      .Increment();
  request.stream_version = origin.version;
  if (request.stream_version) co_return std::nullopt;
  co_return Refusal{503, ErrorCode::kNoTarget, RunState::kNotRun,
                    "the software version that began the stream is not known", kUnknownRetryAfter};
}

std::optional<TimePoint> StreamOrigins::ListAsOf() const {
  // The list of a store that came back from an older copy lacks the runners that joined since.
  if (view_.RestoringRunners()) return std::nullopt;
  std::optional<TimePoint> as_of = list_read_at_;
  if (const std::optional<Duration> age = view_.RunnerListAge()) {
    const TimePoint watched_at = SuspendAwareNow() - *age;
    as_of = as_of ? std::max(*as_of, watched_at) : watched_at;
  }
  return as_of;
}

void StreamOrigins::RequestList() {
  if (reading_list_ || SteadyNow() < next_list_read_at_) return;
  reading_list_ = true;
  Spawn(io_, "stream_origin_list", [this]() { return ReadList(); });
}

Awaitable<void> StreamOrigins::ReadList() {
  const absl::Cleanup ended = [this]() { reading_list_ = false; };
  next_list_read_at_ = SteadyNow() + kListRetryPeriod;
  const TimePoint sent_at = SuspendAwareNow();
  const std::string kind = platform::kRunnerKind;
  const platform::StoreResult result = co_await view_.store().List(kind);
  if (result.outcome != platform::StoreOutcome::kDone) co_return;
  if (result.history != view_.store_history()) co_return;
  next_list_read_at_ = SteadyNow() + kListReadPeriod;
  std::map<std::string, std::set<std::string>> versions;
  for (const platform::StoredObject& object : result.objects) {
    platform::FieldError error;
    const std::optional<RunnerRecord> record =
        platform::DecodeRunner(object.name, object.content, error);
    if (record) versions[record->service].insert(record->version);
  }
  listed_.OnListed(versions, SuspendAwareNow());
  list_read_at_ = sent_at;
}

Awaitable<StreamOrigins::Origin> StreamOrigins::AskHolders(std::string service, uint64_t key,
                                                           Duration limit) {
  const auto inquiry = std::make_shared<Inquiry>();
  OriginEvidence& evidence = inquiry->evidence;
  evidence.resumed_at = SuspendAwareNow();
  evidence.inferred = table_.FindInferred(key);
  evidence.seen.emplace_back();  // Of this process.
  const TimePoint started_at = SteadyNow();
  while (!ReportsKnown() && SteadyNow() - started_at < kReportWait * 2) {
    co_await SleepFor(kAskPollInterval);
  }
  const std::string target =
      absl::StrCat(kStreamOriginPath, "?service=", PercentEncode(service), "&key=", KeyText(key),
                   "&lifetime_ms=", ToMillis(lifetime_));
  const TimePoint asked_at = SteadyNow();
  for (const Endpoint& holder : Holders(key, LiveSidecars(), kAskedSidecars)) {
    ++evidence.holders_asked;
    Spawn(io_, "stream_origin",
          [this, holder, target, inquiry]() { return Ask(holder, target, inquiry); });
  }
  while (!inquiry->version) {
    evidence.seen.front() = Seen(service, lifetime_);
    evidence.list_as_of = ListAsOf();
    const Duration waited = SteadyNow() - asked_at;
    const OriginDecision decision = InferOrigin(evidence, lifetime_, waited, limit);
    if (decision.version) co_return Origin{decision.version, "list", true};
    if (decision.done) co_return Origin{};
    if (!evidence.list_as_of || *evidence.list_as_of < evidence.resumed_at) RequestList();
    co_await SleepFor(waited < kAskTimeout ? kAskPollInterval : kListPollInterval);
  }
  co_return Origin{inquiry->version, "peer"};
}

Awaitable<StreamOrigins::Origin> StreamOrigins::Find(std::string service, std::string first_attempt,
                                                     Duration limit) {
  const uint64_t key = StreamOriginTable::Key(service, first_attempt);
  Origin origin;
  if (!first_attempt.empty()) origin = {table_.Find(key), "record"};
  // Also if this process has seen one version only: the list is up to some seconds old, and the
  // stream may have begun at a version that is new on it.
  if (!origin.version) origin = co_await AskHolders(service, key, limit);
  if (!origin.version || first_attempt.empty()) co_return origin;
  // The caller goes on to name the same attempt if this one is cut too.
  if (origin.inferred) {
    table_.RecordInferred(key, *origin.version, SuspendAwareNow());
  } else {
    OnBegun(service, first_attempt, *origin.version);
  }
  co_return origin;
}

}  // namespace fuchsiaweir
