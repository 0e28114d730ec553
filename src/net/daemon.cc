#include "net/daemon.h"

#include <absl/strings/str_cat.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <exception>
#include <iostream>
#include <optional>
#include <utility>

#include "core/file_text.h"
#include "core/settings.h"
#include "core/version.h"
#include "net/agent_service.h"
#include "net/common_routes.h"
#include "net/config_service.h"
#include "net/crash_handler.h"
#include "net/entry_service.h"
#include "net/host_list.h"
#include "net/log.h"
#include "net/membership.h"
#include "net/metrics.h"
#include "net/object_api.h"
#include "net/peer_authenticator.h"
#include "net/process_signals.h"
#include "net/revision_exchange.h"
#include "net/service_gate.h"
#include "net/suspect_service.h"
#include "net/team_quotas.h"
#include "net/timer_service.h"
#include "net/tls_context.h"
#include "net/weight_loader.h"

namespace fuchsiaweir {
namespace {

constexpr int kExitFailed = 1;
constexpr int kExitFindings = 2;

HttpServerOptions ServerOptions(const Settings& settings, TlsContext tls) {
  HttpServerOptions options;
  options.listen = {settings.listen_address, static_cast<uint16_t>(settings.listen_port)};
  options.max_body_bytes = settings.max_body_bytes;
  options.max_header_bytes = settings.max_header_bytes;
  options.max_connections = settings.max_connections;
  options.read_timeout = Millis(settings.read_timeout_ms);
  options.tls = std::move(tls);
  return options;
}

void AddComponents(ComponentRegistry& components, Role role, const Settings& settings,
                   const TlsContexts& tls) {
  const Endpoint platform{settings.platform_address, static_cast<uint16_t>(settings.platform_port)};
  components.Add<Metrics>("metrics");
  components.Add<TimerService>("timer", components.io());
  HttpClients& clients = components.Add<HttpClients>("http_clients", components.io(), tls.client);
  ObjectApi& objects = components.Add<HttpObjectApi>("object_api", clients.external(), platform);
  HostList& hosts = components.Add<HttpHostList>("host_list", clients.external(), platform);
  components.Add<Readiness>("readiness");
  Membership& membership =
      components.Add<Membership>("membership", components.io(), settings, hosts);
  ConfigService& config = components.Add<ConfigService>("config", components.io(), settings,
                                                        objects, membership, clients.peers());
  components.Add<RevisionExchange>("revision_exchange", config, clients.peers(), settings);
  // Added after RevisionExchange, whose hook adds X-Fw-Host: hooks run in order of addition, and
  // the proof covers that field.
  components.Add<PeerAuthenticator>("peer_authenticator", components, clients.peers(), settings);
  components.Add<ServiceGate>("service_gate", settings, config, membership);
  if (role == Role::kEntry) {
    components.Add<TeamQuotas>("team_quotas", components.Find<ConfigService>("config"));
    components.Add<SuspectService>("suspects", components, settings);
    components.Add<EntryService>("entry", components, settings,
                                 ServerOptions(settings, tls.server));
  } else {
    components.Add<WeightLoader>("weight_loader", components, settings);
    components.Add<AgentService>("agent", components, settings,
                                 ServerOptions(settings, tls.server));
  }
}

Awaitable<void> ShutDown(ComponentRegistry& components) {
  LogInfo("shutdown_started");
  components.Find<Readiness>("readiness").SetStopping();
  components.Find<ConfigService>("config").RejectPolls();
  co_await components.StopAll();
  LogInfo("shutdown_finished");
  components.io().stop();
}

Awaitable<void> HandleSignals(boost::asio::signal_set& signals, ComponentRegistry& components) {
  int signal = SIGHUP;
  while (signal == SIGHUP) {  // Settings are not reloaded.
    signal = co_await signals.async_wait(boost::asio::use_awaitable);
    LogInfo("signal_received", {{"signal", SignalName(signal)}});
  }
  co_await ShutDown(components);
}

}  // namespace

int RunDaemon(Role role, const std::string& settings_file) {
  const TimePoint started_at = SteadyNow();
  const std::string role_name = role == Role::kEntry ? "entry" : "agent";
  InitLog("info", role_name);
  InstallCrashHandler(role_name, LogStream::kStandardError);
  Findings findings;
  std::optional<Settings> settings;
  TlsContexts tls;
  if (const std::optional<std::string> text = ReadFileText(settings_file, findings)) {
    settings = ParseSettings(ParseIni(*text, settings_file, findings), findings);
  }
  if (settings) tls = LoadTlsContexts(*settings, findings);
  if (!findings.empty()) {
    LogError("start_refused", {{"findings", findings.ToString()}});
    std::cerr << findings.ToString();
    return kExitFindings;
  }
  InitLog(settings->log_level, settings->host);
  InstallCrashHandler(settings->host, LogStream::kStandardError);

  boost::asio::io_context io(1);
  boost::asio::signal_set signals(io);
  ReceiveRequestSignals(signals);
  ComponentRegistry components(io);
  try {
    AddComponents(components, role, *settings, tls);
    components.StartAll();
  } catch (const std::exception& e) {
    LogError("start_failed", {{"reason", e.what()}});
    return kExitFailed;
  }
  LogInfo("daemon_started", {{"role", role_name},
                             {"version", kVersion},
                             {"pid", absl::StrCat(getpid())},
                             {"start_ms", absl::StrCat(ToMillis(SteadyNow() - started_at))},
                             {"port", absl::StrCat(settings->listen_port)}});
  Spawn(io, "signals", [&]() { return HandleSignals(signals, components); });
  RunLoop(io);
  return 0;
}

}  // namespace fuchsiaweir
