#include "net/config_service.h"

#include <absl/random/random.h>
#include <absl/strings/str_cat.h>

#include <optional>
#include <utility>

#include "core/rendezvous.h"
#include "core/watcher_choice.h"
#include "net/config_client.h"
#include "net/deflate.h"
#include "net/log.h"

namespace fuchsiaweir {
namespace {

/// A change must be in force everywhere within 10 s. A process whose watch or poll gets no response
/// switches to another source after the wait plus the timeout, so their sum stays below 10 s.
constexpr Duration kPollWait = Seconds(5);
constexpr Duration kPeerTimeout = Millis(1'500);
/// Maximum wait that a poll may request.
constexpr Duration kMaxPollWait = Seconds(10);
/// Poll wait of a watcher while the platform is unavailable, before it tries the platform again.
constexpr Duration kOutagePollWait = Seconds(1);
constexpr Duration kRetryDelay = Millis(250);
/// After a failed poll the process keeps to the next poll target for this long before it returns to
/// the preferred one.
constexpr Duration kPreferredTargetRetryInterval = Seconds(60);
/// Added to the platform timeout, which limits the duration of the start, for the responses of the
/// peers.
constexpr Duration kStartPeerAllowance = Millis(500);
constexpr size_t kMaxStartPeers = 8;

/// Shortens a duration by up to a fifth, so that processes that started together do not poll at the
/// same time.
Duration Jittered(Duration duration) {
  thread_local absl::BitGen generator;
  return Micros(absl::Uniform<int64_t>(generator, duration.count() * 4 / 5, duration.count() + 1));
}

}  // namespace

struct ConfigService::InitialSources {
  StartAnswers answers;
  Notifier changed;

  bool AllFailed() const {
    return answers.platform_failed && answers.peers_failed == answers.peers_queried;
  }
};

ConfigService::ConfigService(boost::asio::io_context& io, const Settings& settings,
                             ObjectApi& objects, Membership& membership, HttpClient& peers)
    : io_(io), settings_(settings), objects_(objects), membership_(membership), peers_(peers) {}

void ConfigService::Start() {
  Spawn(io_, "config", [this]() { return Run(); });
}

Awaitable<void> ConfigService::Stop() {
  stopping_ = true;
  co_return;
}

Awaitable<void> ConfigService::Run() {
  co_await LoadInitialConfig();
  while (!stopping_) {
    bool succeeded = false;
    const bool watch = ShouldWatchPlatform();
    if (watch) succeeded = co_await WatchOnce();
    if (!succeeded) succeeded = co_await PollOnce(watch ? kOutagePollWait : Jittered(kPollWait));
    if (!succeeded) co_await SleepFor(Jittered(kRetryDelay));
  }
}

Awaitable<void> ConfigService::LoadInitialConfig() {
  auto sources = std::make_shared<InitialSources>();
  Spawn(io_, "config_start", [this, sources]() { return ReadInitialFromPlatform(sources); });
  for (const std::string& peer : settings_.peers) {
    if (sources->answers.peers_queried == kMaxStartPeers) break;
    ++sources->answers.peers_queried;
    Spawn(io_, "config_start",
          [this, sources, peer]() { return FetchInitialFromPeer(sources, ParseEndpoint(peer)); });
  }
  const TimePoint deadline =
      SteadyNow() + Millis(settings_.platform_timeout_ms) + kStartPeerAllowance;
  const ConfigDocument* chosen = nullptr;
  while (chosen == nullptr && !sources->answers.deadline_passed && !sources->AllFailed()) {
    co_await sources->changed.WaitUntil(deadline);
    sources->answers.deadline_passed = SteadyNow() >= deadline;
    chosen = ChooseStartDocument(sources->answers);
  }
  if (chosen != nullptr) AdoptIfNewer(*chosen, "start");
}

Awaitable<void> ConfigService::ReadInitialFromPlatform(std::shared_ptr<InitialSources> sources) {
  const ObjectRead read =
      co_await objects_.Read(kConfigObject, Millis(settings_.platform_timeout_ms));
  if (read.outcome == CallOutcome::kDone && read.found) {
    Result<ConfigDocument> document = DecodeConfigDocument(read.value);
    if (document) sources->answers.platform = std::move(document.value());
  }
  sources->answers.platform_failed = !sources->answers.platform.has_value();
  sources->changed.NotifyAll();
}

Awaitable<void> ConfigService::FetchInitialFromPeer(std::shared_ptr<InitialSources> sources,
                                                    Endpoint peer) {
  Result<std::optional<ConfigDocument>> fetched =
      co_await FetchConfig(peers_, std::move(peer), 0, Duration{0}, kPeerTimeout);
  if (fetched && fetched.value().has_value()) {
    sources->answers.peers.push_back(std::move(*fetched.value()));
  } else {
    ++sources->answers.peers_failed;
  }
  sources->changed.NotifyAll();
}

bool ConfigService::ShouldWatchPlatform() const {
  if (ShouldWatch(*membership_.hosts(), settings_.data_centre, settings_.host, &RendezvousScore)) {
    return true;
  }
  // The platform is the fallback source once every poll target has failed.
  return failed_polls_ > 0 && failed_polls_ % (PollEndpoints().size() + 1) == 0;
}

Awaitable<bool> ConfigService::WatchOnce() {
  const Duration wait = object_version_ == 0 ? Duration{0} : Jittered(kPollWait);
  const TimePoint begin = SteadyNow();
  const ObjectRead read = co_await objects_.Watch(kConfigObject, object_version_, wait,
                                                  Millis(settings_.platform_timeout_ms));
  if (read.outcome != CallOutcome::kDone) co_return false;
  failed_polls_ = 0;
  if (read.found && read.version > object_version_) {
    object_version_ = read.version;
    const Result<ConfigDocument> document = DecodeConfigDocument(read.value);
    if (document) AdoptIfNewer(document.value(), "platform");
    if (!document) LogError("config_rejected", {{"reason", document.error().message}});
  } else if (SteadyNow() - begin < wait / 2 || !read.found) {
    // Without this delay, a platform that responds at once with an older object would be polled in
    // a tight loop.
    co_await SleepFor(Jittered(kRetryDelay));
  }
  co_return true;
}

std::vector<Endpoint> ConfigService::PollEndpoints() const {
  std::vector<Endpoint> endpoints;
  const std::vector<std::string> targets =
      PollTargets(*membership_.hosts(), settings_.data_centre, settings_.host, &RendezvousScore);
  for (const std::string& name : targets) {
    const Host* host = FindByName(current_->inventory.hosts, name);
    if (host != nullptr) endpoints.push_back({host->address, static_cast<uint16_t>(host->port)});
  }
  if (!endpoints.empty()) return endpoints;
  for (const std::string& peer : settings_.peers) endpoints.push_back(ParseEndpoint(peer));
  return endpoints;
}

Awaitable<bool> ConfigService::PollOnce(Duration wait) {
  const std::vector<Endpoint> endpoints = PollEndpoints();
  const bool retry_preferred = SteadyNow() - last_failed_poll_ > kPreferredTargetRetryInterval;
  if (retry_preferred) failed_polls_ = 0;
  bool succeeded = false;
  if (!endpoints.empty()) {
    Endpoint peer = endpoints[failed_polls_ % endpoints.size()];
    const std::string source = ToString(peer);
    const Result<std::optional<ConfigDocument>> fetched =
        co_await FetchConfig(peers_, std::move(peer), NewestKnownRevision(), wait, kPeerTimeout);
    succeeded = fetched.has_value();
    if (succeeded && fetched.value().has_value()) AdoptIfNewer(*fetched.value(), source);
    if (!succeeded) LogDebug("config_poll_failed", {{"reason", fetched.error().message}});
  }
  if (!succeeded) {
    ++failed_polls_;
    last_failed_poll_ = SteadyNow();
  }
  co_return succeeded;
}

void ConfigService::FetchIfNewer(int64_t revision, const Endpoint& peer) {
  if (revision <= NewestKnownRevision() || fetch_in_progress_ || stopping_) return;
  fetch_in_progress_ = true;
  Spawn(io_, "config_fetch", [this, peer]() { return FetchFromPeer(peer); });
}

Awaitable<void> ConfigService::FetchFromPeer(Endpoint peer) {
  const std::string source = ToString(peer);
  const Result<std::optional<ConfigDocument>> fetched = co_await FetchConfig(
      peers_, std::move(peer), NewestKnownRevision(), Duration{0}, kPeerTimeout);
  fetch_in_progress_ = false;
  if (fetched && fetched.value().has_value()) AdoptIfNewer(*fetched.value(), source);
}

void ConfigService::AdoptIfNewer(ConfigDocument document, const std::string& source) {
  // Keeps only the newest audit record: operators read the audit trail from the platform, and every
  // process fetches the document after every change. A record takes 148 bytes, a full trail 38 KB.
  if (document.audit.size() > 1) {
    document.audit.erase(document.audit.begin(), document.audit.end() - 1);
  }
  const Adoption adoption = adoption_.Offer(document);
  if (adoption == Adoption::kInvalid) {
    rejected_revision_ = std::max(rejected_revision_, document.revision);
    LogError("config_rejected", {{"source", source}, {"findings", adoption_.rejection()}});
  }
  if (adoption != Adoption::kAdopted) return;
  const Inventory& inventory = adoption_.active()->inventory;
  auto snapshot = std::make_shared<ConfigSnapshot>();
  snapshot->revision = document.revision;
  snapshot->inventory = inventory;
  const std::vector<ListedHost> no_hosts;
  const std::vector<TightenOrder> no_orders;
  snapshot->states = ServiceStates(ServiceView{inventory, no_hosts, no_orders, TimePoint{}});
  current_ = std::move(snapshot);
  encoded_.clear();
  deflated_.clear();
  adopted_.NotifyAll();
  LogInfo("config_adopted", {{"revision", absl::StrCat(current_->revision)}, {"source", source}});
}

HttpResponse ConfigService::DocumentResponse(const std::string& accepted_coding) {
  if (encoded_.empty()) encoded_ = EncodeConfigDocument(adoption_.active()->document);
  if (accepted_coding != kDeflateCoding) return JsonResponse(200, encoded_);
  if (deflated_.empty()) deflated_ = Deflate(encoded_);
  HttpResponse response = JsonResponse(200, deflated_);
  response.headers.emplace_back("Content-Encoding", kDeflateCoding);
  return response;
}

Awaitable<void> ConfigService::ServePoll(HttpExchange& exchange) {
  const int64_t after = exchange.target().QueryInteger("after", 0);
  const Duration wait =
      std::clamp(Millis(exchange.target().QueryInteger("wait_ms", 0)), Duration{0}, kMaxPollWait);
  const TimePoint end = SteadyNow() + wait;
  while (current_->revision <= after && SteadyNow() < end && !rejecting_polls_ &&
         !exchange.peer_closed()) {
    co_await adopted_.WaitUntil(end);
  }
  HttpResponse response{204, {}, ""};
  if (current_->revision > after) {
    response = DocumentResponse(HeaderValue(exchange.request().headers, "Accept-Encoding"));
  } else if (rejecting_polls_) {
    // The error makes the poller switch to another process; after status 204 it would poll this one
    // again.
    response = ErrorResponse(
        {ErrorCode::kOutOfService, RunState::kNotRun, "the process is stopping", Duration{0}});
  }
  co_await exchange.Respond(std::move(response));
}

void ConfigService::RejectPolls() {
  rejecting_polls_ = true;
  adopted_.NotifyAll();
}

}  // namespace fuchsiaweir
