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

/// A change is to be in force everywhere within 10 s. A process whose watch or poll went silent
/// turns to another source after the wait and the timeout, which together stay below that.
constexpr Duration kWait = Seconds(5);
constexpr Duration kPeerTimeout = Millis(1'500);
/// Longest wait that a peer may ask for.
constexpr Duration kMaxServedWait = Seconds(10);
/// A watcher that the platform does not answer asks a peer for so long before it tries again.
constexpr Duration kOutageWait = Seconds(1);
constexpr Duration kRetryPause = Millis(250);
/// After a failure the process stays with the next poll target for so long, then tries the
/// preferred one again.
constexpr Duration kTargetReturn = Seconds(60);
/// The platform's own timeout bounds the start; this is added for the peers' answers.
constexpr Duration kStartSlack = Millis(500);
constexpr size_t kMaxPeersQueried = 8;

/// Shortens a duration by up to a fifth, so that processes that started together spread out.
Duration Jittered(Duration duration) {
  thread_local absl::BitGen generator;
  return Micros(absl::Uniform<int64_t>(generator, duration.count() * 4 / 5, duration.count() + 1));
}

}  // namespace

struct ConfigService::StartSources {
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
  co_await ChooseStart();
  while (!stopping_) {
    bool answered = false;
    const bool watch = HoldsWatchNow();
    if (watch) answered = co_await WatchOnce();
    if (!answered) answered = co_await PollOnce(watch ? kOutageWait : Jittered(kWait));
    if (!answered) co_await SleepFor(Jittered(kRetryPause));
  }
}

Awaitable<void> ConfigService::ChooseStart() {
  auto sources = std::make_shared<StartSources>();
  Spawn(io_, "config_start", [this, sources]() { return AskPlatform(sources); });
  for (const std::string& peer : settings_.peers) {
    if (sources->answers.peers_queried == kMaxPeersQueried) break;
    ++sources->answers.peers_queried;
    Spawn(io_, "config_start",
          [this, sources, peer]() { return AskPeer(sources, ParseEndpoint(peer)); });
  }
  const TimePoint deadline = SteadyNow() + Millis(settings_.platform_timeout_ms) + kStartSlack;
  const ConfigDocument* chosen = nullptr;
  while (chosen == nullptr && !sources->answers.deadline_passed && !sources->AllFailed()) {
    co_await sources->changed.WaitUntil(deadline);
    sources->answers.deadline_passed = SteadyNow() >= deadline;
    chosen = ChooseStartDocument(sources->answers);
  }
  if (chosen != nullptr) Offer(*chosen, "start");
}

Awaitable<void> ConfigService::AskPlatform(std::shared_ptr<StartSources> sources) {
  const ObjectRead read =
      co_await objects_.Read(kConfigObject, Millis(settings_.platform_timeout_ms));
  if (read.outcome == CallOutcome::kDone && read.found) {
    Result<ConfigDocument> document = DecodeConfigDocument(read.value);
    if (document) sources->answers.platform = std::move(document.value());
  }
  sources->answers.platform_failed = !sources->answers.platform.has_value();
  sources->changed.NotifyAll();
}

Awaitable<void> ConfigService::AskPeer(std::shared_ptr<StartSources> sources, Endpoint peer) {
  Result<std::optional<ConfigDocument>> answer =
      co_await FetchConfig(peers_, std::move(peer), 0, Duration{0}, kPeerTimeout);
  if (answer && answer.value().has_value()) {
    sources->answers.peers.push_back(std::move(*answer.value()));
  } else {
    ++sources->answers.peers_failed;
  }
  sources->changed.NotifyAll();
}

bool ConfigService::HoldsWatchNow() const {
  if (ShouldWatch(*membership_.hosts(), settings_.data_centre, settings_.host, &RendezvousScore)) {
    return true;
  }
  // With no target left that answers, the platform itself is the last source.
  return failed_polls_ > 0 && failed_polls_ % (PollEndpoints().size() + 1) == 0;
}

Awaitable<bool> ConfigService::WatchOnce() {
  const Duration wait = object_version_ == 0 ? Duration{0} : Jittered(kWait);
  const TimePoint begin = SteadyNow();
  const ObjectRead read = co_await objects_.Watch(kConfigObject, object_version_, wait,
                                                  Millis(settings_.platform_timeout_ms));
  if (read.outcome != CallOutcome::kDone) co_return false;
  failed_polls_ = 0;
  if (read.found && read.version > object_version_) {
    object_version_ = read.version;
    const Result<ConfigDocument> document = DecodeConfigDocument(read.value);
    if (document) Offer(document.value(), "platform");
    if (!document) LogError("config_rejected", {{"reason", document.error().message}});
  } else if (SteadyNow() - begin < wait / 2 || !read.found) {
    // Without this pause, a platform that answers with an older object at once is asked in a loop.
    co_await SleepFor(Jittered(kRetryPause));
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
  const bool retry_preferred = SteadyNow() - last_failed_poll_ > kTargetReturn;
  if (retry_preferred) failed_polls_ = 0;
  bool answered = false;
  if (!endpoints.empty()) {
    Endpoint peer = endpoints[failed_polls_ % endpoints.size()];
    const std::string source = ToString(peer);
    const Result<std::optional<ConfigDocument>> answer =
        co_await FetchConfig(peers_, std::move(peer), Seen(), wait, kPeerTimeout);
    answered = answer.has_value();
    if (answered && answer.value().has_value()) Offer(*answer.value(), source);
    if (!answered) LogDebug("config_poll_failed", {{"reason", answer.error().message}});
  }
  if (!answered) {
    ++failed_polls_;
    last_failed_poll_ = SteadyNow();
  }
  co_return answered;
}

void ConfigService::FetchIfNewer(int64_t revision, const Endpoint& peer) {
  if (revision <= Seen() || fetching_ || stopping_) return;
  fetching_ = true;
  Spawn(io_, "config_fetch", [this, peer]() { return Fetch(peer); });
}

Awaitable<void> ConfigService::Fetch(Endpoint peer) {
  const std::string source = ToString(peer);
  const Result<std::optional<ConfigDocument>> answer =
      co_await FetchConfig(peers_, std::move(peer), Seen(), Duration{0}, kPeerTimeout);
  fetching_ = false;
  if (answer && answer.value().has_value()) Offer(*answer.value(), source);
}

void ConfigService::Offer(ConfigDocument document, const std::string& source) {
  // Only operators read the audit trail, from the platform. It takes 148 bytes per record, 38 KB
  // when it is full, of the document that every process fetches with every change.
  if (document.audit.size() > 1)
    document.audit.erase(document.audit.begin(), document.audit.end() - 1);
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
      std::clamp(Millis(exchange.target().QueryInteger("wait_ms", 0)), Duration{0}, kMaxServedWait);
  const TimePoint end = SteadyNow() + wait;
  while (current_->revision <= after && SteadyNow() < end && !ending_ && !exchange.peer_closed()) {
    co_await adopted_.WaitUntil(end);
  }
  HttpResponse response{204, {}, ""};
  if (current_->revision > after) {
    response = DocumentResponse(HeaderValue(exchange.request().headers, "Accept-Encoding"));
  } else if (ending_) {
    // The poller turns to another process; 204 would make it ask this one again.
    response = ErrorResponse(
        {ErrorCode::kOutOfService, RunState::kNotRun, "the process is stopping", Duration{0}});
  }
  co_await exchange.Respond(std::move(response));
}

void ConfigService::RejectPolls() {
  ending_ = true;
  adopted_.NotifyAll();
}

}  // namespace fuchsiaweir
