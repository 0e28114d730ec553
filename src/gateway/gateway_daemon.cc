#include "gateway/gateway_daemon.h"

#include <absl/cleanup/cleanup.h>
#include <absl/strings/str_cat.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <optional>
#include <utility>

#include "core/file_text.h"
#include "core/memory_budget.h"
#include "core/version.h"
#include "gateway/fleet_view.h"
#include "gateway/forwarder.h"
#include "gateway/part_watch.h"
#include "gateway/peer_link.h"
#include "gateway/relay_client.h"
#include "gateway/rollout_control.h"
#include "gateway/stream_origins.h"
#include "gateway/uploads.h"
#include "gateway/weight_orders.h"
#include "net/crash_handler.h"
#include "net/heap_settings.h"
#include "net/http_server.h"
#include "net/listen_retry.h"
#include "net/log.h"
#include "net/metrics.h"
#include "net/process_signals.h"
#include "net/process_usage.h"
#include "net/timer_service.h"
#include "platform/names.h"

namespace fuchsiaweir {
namespace {

constexpr int kExitFailed = 1;
/// Exit code when the settings file is invalid.
constexpr int kExitInvalidSettings = 2;
/// The balancer checks readiness once a second and removes a process after two failed checks. Until
/// then it still opens new connections.
constexpr Duration kBalancerDelay = Millis(2600);
/// Subtracted from the time for a shutdown, so that the process exits before it is killed.
constexpr Duration kShutdownMargin = Millis(400);
/// Time before the end of a shutdown at which requests that still wait for a runner are answered.
constexpr Duration kLastAnswersTime = Millis(200);
/// File descriptors reserved for files and for connections to runners, peers and the store.
constexpr int64_t kReservedDescriptors = 700;
/// File descriptors reserved for files and for connections to peers and the store.
constexpr int64_t kReservedFileDescriptors = 300;
/// Share of the host's memory beyond which responses to peers are refused.
constexpr int64_t kPeerMemoryDivisor = 8;
/// Limit of the system's receive and of its send buffer of a caller's connection. The system would
/// let each grow to several megabytes; this is enough for 10 Mbit/s and a round trip of 50 ms.
constexpr int kCallerSocketBytes = 65'536;
/// Added to the time in which a request has to arrive: no request that is in time is without
/// progress for as long.
constexpr Duration kStallMargin = Seconds(1);
/// Longer than an upload waits for room, in which it is not read.
constexpr Duration kMinStallTime = Seconds(3);
constexpr int64_t kInternalBodyMemoryBytes = 8'000'000;
constexpr Duration kMemoryCheckInterval = Millis(500);
/// Requests of peers, of the balancer and for metrics have no body.
constexpr int64_t kMaxInternalBodyBytes = 4'096;
/// Time at the start for the platform to complete the settings.
constexpr Duration kSettingsWait = Seconds(3);
constexpr Duration kSettingsRetryDelay = Millis(50);
constexpr Duration kSettingsPollInterval = Millis(1000);
constexpr Duration kDrainPollInterval = Millis(20);
/// Caller connections that are allowed however few descriptors there are.
constexpr int64_t kMinCallerConnections = 64;

/// What to do about a file with sections that are not known.
enum class UnknownSections { kIgnore, kRefuse };

/// Reads the settings and logs the values that a default replaces.
std::optional<GatewaySettings> LoadSettings(const std::string& file, PlatformRole role,
                                            UnknownSections unknown, Findings& findings) {
  const std::optional<std::string> text = ReadFileText(file, findings);
  if (!text) return std::nullopt;
  Findings ignorable;
  const IniDocument document = ParseIni(*text, file, ignorable);
  std::optional<GatewaySettings> settings =
      ParseGatewaySettings(document, role, findings, ignorable);
  if (unknown == UnknownSections::kRefuse && HasUnknownSection(document)) settings.reset();
  for (const Finding& finding : ignorable.items()) {
    if (settings) {
      LogWarning("settings_value_ignored",
                 {{"finding", absl::StrCat(file, ":", finding.line, ": ", finding.message)}});
    } else {
      findings.Add(finding.file, finding.line, finding.message);
    }
  }
  return settings;
}

const char* RoleName(PlatformRole role) {
  return role == PlatformRole::kGateway ? "gateway" : "sidecar";
}

/// Modification time of the file in nanoseconds since the epoch; zero if it cannot be read.
int64_t ModifiedAtNs(const std::string& file) {
  struct stat info {};
  if (stat(file.c_str(), &info) != 0) return 0;
  return info.st_mtim.tv_sec * 1'000'000'000 + info.st_mtim.tv_nsec;
}

/// Servers and components of a gateway or a sidecar.
class Process {
 public:
  Process(boost::asio::io_context& io, PlatformRole role, GatewaySettings settings,
          std::string file)
      : io_(io),
        components_(io),
        role_(role),
        settings_(std::move(settings)),
        memory_(MemoryLimit()),
        file_(std::move(file)),
        modified_at_ns_(ModifiedAtNs(file_)) {
    AddComponents();
  }

  void Start() {
    components_.StartAll();
    StartServer("peers", *peer_server_, settings_.peer_endpoint());
    StartServer("metrics", *metrics_server_, MetricsEndpoint());
    if (ready_server_ != nullptr) {
      StartServer("readiness", *ready_server_, settings_.readiness_endpoint());
    }
    if (caller_server_ != nullptr) {
      StartServer("callers", *caller_server_, settings_.callers_endpoint());
    }
  }

  void Reload(const std::string& cause) {
    modified_at_ns_ = ModifiedAtNs(file_);
    Findings findings;
    // The file of another program says nothing about this one, which has settings already.
    const std::optional<GatewaySettings> loaded =
        LoadSettings(file_, role_, UnknownSections::kRefuse, findings);
    if (!loaded) {
      LogError("settings_refused", {{"cause", cause}, {"findings", findings.ToString()}});
      return;
    }
    LogInfo(
        "settings_loaded",
        {{"cause", cause}, {"restart_needed", NeedsRestart(settings_, *loaded) ? "yes" : "no"}});
    settings_ = *loaded;
    memory_.SetLimit(MemoryLimit());
    fleet_view_->SetSettings(settings_);
  }

  Awaitable<void> ShutDown() {
    const TimePoint started_at = SteadyNow();
    stopping_ = true;
    LogInfo("shutdown_started",
            {{"in_flight", absl::StrCat(forwarder_ ? forwarder_->in_flight() : 0)}});
    const TimePoint limit =
        started_at + Micros(static_cast<int64_t>(settings_.shutdown_s * 1e6)) - kShutdownMargin;
    if (callers_open_) {
      const TimePoint answer_by = limit - kLastAnswersTime;
      co_await SleepFor(std::min(kBalancerDelay, (limit - started_at) / 2));
      forwarder_->BeginDrain(answer_by);
      Spawn(io_, "drain", [this]() -> Awaitable<void> {
        co_await caller_server_->Drain();
        drained_ = true;
      });
      while (SteadyNow() < answer_by && !drained_) co_await SleepFor(kDrainPollInterval);
      forwarder_->EndRequests();
      while (SteadyNow() < limit && !drained_) co_await SleepFor(kDrainPollInterval);
    }
    if (forwarder_ != nullptr) forwarder_->RecordCutRequests();
    LogInfo("shutdown_finished",
            {{"in_flight", absl::StrCat(forwarder_ ? forwarder_->in_flight() : 0)}});
  }

 private:
  /// Returns the memory that callers, runners, peers and stores may fill together.
  int64_t MemoryLimit() {
    if (!rest_bytes_) rest_bytes_ = ReadUsage().resident_bytes.value_or(0);
    return MessageMemoryBytes(settings_.memory_bytes(), *rest_bytes_);
  }

  void AddComponents() {
    components_.Add<Metrics>("metrics");
    TimerService& timer = components_.Add<TimerService>("timer", io_);
    components_.Add<ProcessUsage>(
        "process_usage", components_, [this]() { return settings_.memory_bytes(); },
        [this]() { return CallerUsage(); });
    components_.Add<HttpClients>("http_clients", io_, nullptr);
    PeerLink& link = components_.Add<PeerLink>("peer_link", io_, settings_.peer_endpoint());
    fleet_view_ = &components_.Add<FleetView>("fleet_view", components_, settings_, role_);
    stream_origins_ = &components_.Add<StreamOrigins>("stream_origins", components_, *fleet_view_);
    if (role_ == PlatformRole::kGateway) {
      rollouts_ = &components_.Add<RolloutControl>("rollout_control", components_, *fleet_view_);
      part_watch_ = &components_.Add<PartWatch>("part_watch", components_, *fleet_view_, memory_);
      forwarder_ = &components_.Add<Forwarder>("forwarder", components_, *fleet_view_, *part_watch_,
                                               memory_);
      AddCallerServers();
    } else {
      components_.Add<WeightOrders>("weight_orders", components_, *fleet_view_);
    }
    HttpServerOptions options;
    options.max_body_bytes = kMaxInternalBodyBytes;
    options.body_memory_bytes = kInternalBodyMemoryBytes;
    options.listen = settings_.peer_endpoint();
    peer_server_ = std::make_unique<HttpServer>(
        io_, options, [this](HttpExchange& exchange) { return ServePeer(exchange); });
    options.listen = MetricsEndpoint();
    metrics_server_ = std::make_unique<HttpServer>(
        io_, options, [this](HttpExchange& exchange) { return ServeMetrics(exchange); });
    link.SetReceiver([this](const PeerMessage& message) { OnPeerMessage(message); });
    timer.Subscribe("settings", kSettingsPollInterval, [this](TimePoint) {
      if (ModifiedAtNs(file_) != modified_at_ns_) Reload("file changed");
    });
  }

  Endpoint MetricsEndpoint() const {
    return {settings_.address, static_cast<uint16_t>(settings_.metrics_port)};
  }

  void StartServer(const char* socket, HttpServer& server, const Endpoint& address) {
    ListenWithRetry(
        io_, {socket, address, [&server]() { server.Start(); }, [this]() { return !stopping_; },
              [this, &server]() {
                if (&server == caller_server_.get()) callers_open_ = true;
              }});
  }

  LogFields CallerUsage() const {
    if (caller_server_ == nullptr) return {};
    return {{"caller_connections", absl::StrCat(caller_server_->connections())},
            {"in_flight", absl::StrCat(forwarder_->in_flight())}};
  }

  void AddCallerServers() {
    HttpServerOptions options;
    options.listen = settings_.callers_endpoint();
    options.max_connections =
        std::max(kMinCallerConnections, settings_.max_descriptors - kReservedDescriptors);
    options.memory = &memory_;
    options.socket_buffer_bytes = kCallerSocketBytes;
    options.refuse = RespondToRefusedRequest;
    options.max_descriptors =
        std::max(2 * kMinCallerConnections, settings_.max_descriptors - kReservedFileDescriptors);
    caller_server_ = std::make_unique<HttpServer>(io_, options, [this](HttpExchange& exchange) {
      if (stopping_) exchange.CloseAfterResponse();
      return forwarder_->Handle(exchange);
    });
    components_.Find<TimerService>("timer").Subscribe(
        "memory", kMemoryCheckInterval,
        [reports = MemoryReports(components_.Find<Metrics>("metrics"), memory_,
                                 caller_server_->uploads())](TimePoint now) mutable {
          reports.OnTimer(now);
        });
    fleet_view_->AddTableListener([this](const RouteTable& table) {
      memory_.SetMinProgress(settings_.client_bytes_per_s,
                             std::max(table.limits.header_timeout, kMinStallTime) + kStallMargin);
      caller_server_->SetCallerLimits(table.limits.header_bytes, table.limits.body_bytes,
                                      table.limits.header_timeout, table.limits.idle_timeout);
    });
    HttpServerOptions ready;
    ready.max_body_bytes = kMaxInternalBodyBytes;
    ready.body_memory_bytes = kInternalBodyMemoryBytes;
    ready.listen = settings_.readiness_endpoint();
    ready_server_ = std::make_unique<HttpServer>(
        io_, ready, [this](HttpExchange& exchange) { return ServeReady(exchange); });
  }

  Awaitable<void> ServeReady(HttpExchange& exchange) {
    const bool known = exchange.target().path == platform::kReadyPath;
    const bool ready = !stopping_ && callers_open_ && fleet_view_->Ready();
    HttpResponse response{!known ? 404 : ready ? 200 : 503, {}, ""};
    co_await exchange.Respond(std::move(response));
  }

  Awaitable<void> ServeMetrics(HttpExchange& exchange) {
    HttpResponse response{404, {}, ""};
    if (exchange.target().path == "/metrics") {
      response = {200,
                  {{"Content-Type", "text/plain; version=0.0.4"}},
                  components_.Find<Metrics>("metrics").Text()};
    }
    co_await exchange.Respond(std::move(response));
  }

  Awaitable<void> ServePeer(HttpExchange& exchange) {
    const std::string path = exchange.target().path;
    HttpResponse response{404, {}, ""};
    if (path == kRelayPath) {
      HttpTarget target = exchange.target();
      std::string accepted_coding = HeaderValue(exchange.request().headers, "Accept-Encoding");
      response = co_await fleet_view_->ServeRelay(std::move(target), std::move(accepted_coding));
    } else if (path == kStreamOriginPath) {
      response = stream_origins_->Serve(exchange.target());
    } else if (path == "/internal/v1/parts" && part_watch_ != nullptr) {
      HttpTarget target = exchange.target();
      response = co_await part_watch_->ServePeer(std::move(target));
    }
    // Many processes read at once when the store turns them away. Those that are refused here read
    // from another gateway.
    const auto bytes = static_cast<int64_t>(response.body.size());
    const int64_t limit = settings_.memory_bytes() / kPeerMemoryDivisor;
    const int64_t held = memory_.used_bytes(MemoryUse::kPeer);
    if (held > 0 && held + bytes > limit) {
      LogInfo("peer_refused",
              {{"held_bytes", absl::StrCat(held)}, {"asked_bytes", absl::StrCat(bytes)}});
      response = {503, {}, ""};
    }
    MemoryBudget::Share share(memory_, MemoryUse::kPeer, [&exchange]() { exchange.Abort(); });
    share.SetPhase(MemoryBudget::Phase::kDelivering);
    share.Resize(static_cast<int64_t>(response.body.size()));
    MemoryBudget::Share* const memory = &share;
    co_await exchange.Respond(std::move(response), memory);
  }

  void OnPeerMessage(const PeerMessage& message) {
    if (const auto* hello = std::get_if<HelloMessage>(&message)) {
      fleet_view_->OnHello(*hello);
    } else if (const auto* load = std::get_if<LoadMessage>(&message)) {
      Duration cold_time{0};
      for (const auto& [id, state] : fleet_view_->runner_registry().runners()) {
        if (state.record.port == load->runner.port &&
            state.record.address == load->runner.address) {
          cold_time = fleet_view_->ColdTime(state.record.service);
        }
      }
      fleet_view_->runner_registry().OnReport(load->runner.address, load->runner.port, load->report,
                                              cold_time, SteadyNow());
    } else if (const auto* crash = std::get_if<CrashMessage>(&message)) {
      if (forwarder_ != nullptr) forwarder_->crash_attribution().OnCrash(*crash);
    } else if (const auto* trial = std::get_if<TrialMessage>(&message)) {
      if (forwarder_ != nullptr) forwarder_->crash_attribution().OnTrial(*trial);
    } else if (const auto* limit = std::get_if<LimitMessage>(&message)) {
      if (forwarder_ != nullptr) forwarder_->notice_reports().OnMessage(*limit);
    } else if (const auto* evidence = std::get_if<RolloutEvidenceMessage>(&message)) {
      if (rollouts_ != nullptr) rollouts_->OnMessage(*evidence);
    } else if (const auto* step = std::get_if<RolloutStepMessage>(&message)) {
      if (rollouts_ != nullptr) rollouts_->OnMessage(*step);
    } else if (const auto* streams = std::get_if<StreamsMessage>(&message)) {
      stream_origins_->OnMessage(*streams);
    } else if (const auto* cleared = std::get_if<ClearMessage>(&message)) {
      if (forwarder_ != nullptr) forwarder_->crash_attribution().OnCleared(*cleared);
    }
  }

  boost::asio::io_context& io_;
  ComponentRegistry components_;
  PlatformRole role_;
  GatewaySettings settings_;
  std::optional<int64_t> rest_bytes_;  ///< Resident memory at the start.
  MemoryBudget memory_;
  std::string file_;
  int64_t modified_at_ns_ = 0;
  FleetView* fleet_view_ = nullptr;
  StreamOrigins* stream_origins_ = nullptr;
  RolloutControl* rollouts_ = nullptr;
  PartWatch* part_watch_ = nullptr;
  Forwarder* forwarder_ = nullptr;
  std::unique_ptr<HttpServer> caller_server_;
  std::unique_ptr<HttpServer> ready_server_;
  std::unique_ptr<HttpServer> peer_server_;
  std::unique_ptr<HttpServer> metrics_server_;
  bool callers_open_ = false;  ///< The port of callers is open.
  bool stopping_ = false;
  bool drained_ = false;  ///< All requests of callers have ended.
};

/// A gateway or sidecar from the start of the program on.
class Daemon {
 public:
  Daemon(boost::asio::io_context& io, PlatformRole role, std::string settings_file)
      : io_(io), role_(role), file_(std::move(settings_file)) {}

  Awaitable<void> HandleSignals(boost::asio::signal_set& signals) {
    while (true) {
      const int signal = co_await signals.async_wait(boost::asio::use_awaitable);
      const std::string name = SignalName(signal);
      LogInfo("signal_received", {{"signal", name}});
      if (signal != SIGHUP) break;
      try {
        if (process_ != nullptr) process_->Reload(name);
      } catch (const std::exception& e) {
        // The next signals must still be handled.
        LogError("settings_refused", {{"cause", name}, {"findings", e.what()}});
      }
    }
    if (process_ != nullptr) co_await process_->ShutDown();
    io_.stop();
  }

  Awaitable<void> Start() {
    // The platform may still be writing the file.
    const TimePoint give_up_at = started_at_ + kSettingsWait;
    Findings findings;
    std::optional<GatewaySettings> settings =
        LoadSettings(file_, role_, UnknownSections::kIgnore, findings);
    while (!settings && SteadyNow() < give_up_at) {
      co_await SleepFor(kSettingsRetryDelay);
      findings = {};
      settings = LoadSettings(file_, role_, UnknownSections::kIgnore, findings);
    }
    if (settings) {
      StartProcess(*settings);
    } else {
      LogError("start_refused", {{"findings", findings.ToString()}});
      std::cerr << findings.ToString();
      End(kExitInvalidSettings);
    }
  }

  int exit_code() const { return exit_code_; }

 private:
  void StartProcess(const GatewaySettings& settings) {
    InitLog(settings.log_level, settings.name, LogStream::kStandardOutput);
    InstallCrashHandler(settings.name, LogStream::kStandardOutput);
    try {
      process_ = std::make_unique<Process>(io_, role_, settings, file_);
      process_->Start();
    } catch (const std::exception& e) {
      LogError("daemon_failed", {{"reason", e.what()}});
      return End(kExitFailed);
    }
    LogInfo("daemon_started", {{"role", RoleName(role_)},
                               {"version", kVersion},
                               {"pid", absl::StrCat(getpid())},
                               {"start_ms", absl::StrCat(ToMillis(SteadyNow() - started_at_))},
                               {"peer", ToString(settings.peer_endpoint())},
                               {"store", settings.store}});
  }

  void End(int exit_code) {
    exit_code_ = exit_code;
    io_.stop();
  }

  boost::asio::io_context& io_;
  PlatformRole role_;
  std::string file_;
  TimePoint started_at_ = SteadyNow();
  std::unique_ptr<Process> process_;
  int exit_code_ = 0;
};

}  // namespace

int RunGatewayOrSidecar(PlatformRole role, const std::string& settings_file) {
  ReturnFreedMemory();
  InitLog("info", RoleName(role), LogStream::kStandardOutput);
  InstallCrashHandler(RoleName(role), LogStream::kStandardOutput);
  boost::asio::io_context io(1);
  boost::asio::signal_set signals(io);
  ReceiveRequestSignals(signals);
  Daemon daemon(io, role, settings_file);
  Spawn(io, "signals", [&]() { return daemon.HandleSignals(signals); });
  Spawn(io, "start", [&]() { return daemon.Start(); });
  RunLoop(io);
  // Coroutines that are still suspended refer to the components, which end before the I/O loop.
  // They are not destroyed; the system closes their connections.
  std::_Exit(daemon.exit_code());
}

}  // namespace fuchsiaweir
