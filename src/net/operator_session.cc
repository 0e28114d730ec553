#include "net/operator_session.h"

#include <absl/flags/flag.h>
#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include <cstdlib>
#include <exception>
#include <iostream>
#include <optional>
#include <utility>

#include "core/file_text.h"
#include "core/findings.h"
#include "core/json_fields.h"
#include "core/settings.h"
#include "net/config_client.h"
#include "net/log.h"
#include "net/peer_authenticator.h"

ABSL_FLAG(std::string, settings, "", "settings file of a process (INI)");
ABSL_FLAG(std::string, platform, "", "ADDRESS:PORT of the platform's object API");
ABSL_FLAG(std::vector<std::string>, peers, {},
          "ADDRESS:PORT of processes to query when the platform does not answer");
ABSL_FLAG(std::string, who, "", "name in the audit trail; required when $USER is not set");
ABSL_FLAG(std::string, output, "text", "text or json");
ABSL_FLAG(bool, wait, false, "wait until the change is in force in every live process");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(30), "maximum duration of the command");
ABSL_FLAG(int64_t, base, -1, "revision that the applied file is based on; -1: the one in force");
ABSL_FLAG(int64_t, seconds, 600, "validity of a tighten order in seconds");

namespace fuchsiaweir {
namespace {

constexpr Duration kPlatformTimeout = Seconds(2);
constexpr Duration kPeerTimeout = Seconds(2);

std::string DefaultWho() {
  const char* user = std::getenv("USER");
  return user == nullptr ? "" : user;
}

void ReadSettings(OperatorOptions& options, Findings& findings) {
  const std::string file = SettingsFlag();
  const std::optional<std::string> text = ReadFileText(file, findings);
  if (!text) return;
  const std::optional<Settings> settings = ParseSettings(ParseIni(*text, file, findings), findings);
  if (!settings) return;
  options.platform = {settings->platform_address, static_cast<uint16_t>(settings->platform_port)};
  for (const std::string& peer : settings->peers) options.peers.push_back(ParseEndpoint(peer));
  // The process that the settings belong to can also serve the configuration.
  options.peers.push_back({settings->listen_address, static_cast<uint16_t>(settings->listen_port)});
  options.tls = LoadTlsContexts(*settings, findings).client;
  options.sender_host = settings->host;
  if (settings->peer_key_file.empty()) return;
  const std::optional<std::string> keys = ReadFileText(settings->peer_key_file, findings);
  if (!keys) return;
  const auto parsed = ParsePeerKeys(*keys, settings->peer_key_file, findings);
  if (parsed) options.peer_key = parsed->front();
}

void CheckEndpoint(const std::string& flag, const Endpoint& endpoint, Findings& findings) {
  if (endpoint.port != 0) return;
  findings.Add(flag, 0, absl::StrCat("\"", endpoint.address, "\" is not ADDRESS:PORT"));
}

OperatorOptions OptionsFromFlags(Findings& findings) {
  OperatorOptions options;
  if (!SettingsFlag().empty()) ReadSettings(options, findings);
  if (const std::string platform = absl::GetFlag(FLAGS_platform); !platform.empty()) {
    options.platform = ParseEndpoint(platform);
    CheckEndpoint("--platform", options.platform, findings);
  }
  for (const std::string& peer : absl::GetFlag(FLAGS_peers)) {
    options.peers.push_back(ParseEndpoint(peer));
    CheckEndpoint("--peers", options.peers.back(), findings);
  }
  options.who = absl::GetFlag(FLAGS_who);
  if (options.who.empty()) options.who = DefaultWho();
  const std::string output = absl::GetFlag(FLAGS_output);
  if (output != "text" && output != "json") {
    findings.Add("--output", 0, absl::StrCat("\"", output, "\" is not text or json"));
  }
  options.json = output == "json";
  options.wait = absl::GetFlag(FLAGS_wait);
  options.base_revision = absl::GetFlag(FLAGS_base);
  options.timeout = Micros(absl::ToInt64Microseconds(absl::GetFlag(FLAGS_timeout)));
  options.tighten_validity = Seconds(absl::GetFlag(FLAGS_seconds));
  const bool reachable = options.platform.port != 0 || !options.peers.empty();
  if (findings.empty() && !reachable) {
    findings.Add("flags", 0, "--platform=ADDRESS:PORT or --settings=FILE is required");
  }
  return options;
}

Error PlatformError(const std::string& message) {
  return {ErrorCode::kPlatformUnavailable, RunState::kNotRun, message, Duration{0}};
}

}  // namespace

ExitCode ExitCodeOf(const Error& error) {
  switch (error.code) {
    case ErrorCode::kConflict:
      return ExitCode::kConflict;
    case ErrorCode::kBadRequest:
    case ErrorCode::kNotFound:
    case ErrorCode::kTooLarge:
      return ExitCode::kFindings;
    default:
      return ExitCode::kFailed;
  }
}

std::string SettingsFlag() { return absl::GetFlag(FLAGS_settings); }

bool JsonOutput() { return absl::GetFlag(FLAGS_output) == "json"; }

OperatorSession::OperatorSession(boost::asio::io_context& io, OperatorOptions options)
    : io_(io),
      options_(std::move(options)),
      platform_client_(io),
      peers_(io, options_.tls),
      objects_(platform_client_, options_.platform),
      host_list_(platform_client_, options_.platform) {
  if (!options_.peer_key) return;
  HttpClientHook hook;
  hook.on_request = [this](const Endpoint&, HttpRequest& request) {
    SignRequest(request, *options_.peer_key, options_.sender_host);
  };
  peers_.AddHook(std::move(hook));
}

Awaitable<Result<VersionedConfig>> OperatorSession::ReadPlatformConfig() {
  if (options_.platform.port == 0) {
    co_return PlatformError("no platform address is configured; set --platform or --settings");
  }
  const ObjectRead read = co_await objects_.Read(kConfigObject, kPlatformTimeout);
  if (read.outcome != CallOutcome::kDone) {
    co_return PlatformError(
        absl::StrCat("the platform at ", ToString(options_.platform), " does not answer"));
  }
  VersionedConfig config;
  if (!read.found) co_return config;
  Result<ConfigDocument> document = DecodeConfigDocument(read.value);
  if (!document) co_return document.error();
  config.document = std::move(document.value());
  config.version = read.version;
  co_return config;
}

Awaitable<Result<ConfigDocument>> OperatorSession::ReadConfigWithPeerFallback() {
  Result<VersionedConfig> platform = co_await ReadPlatformConfig();
  if (platform) co_return std::move(platform.value().document);
  std::optional<ConfigDocument> newest;
  for (const Endpoint& peer : options_.peers) {
    const int64_t after = newest ? newest->revision : 0;
    Result<std::optional<ConfigDocument>> fetched =
        co_await FetchConfig(peers_, peer, after, Duration{0}, kPeerTimeout);
    if (fetched && fetched.value().has_value()) newest = std::move(fetched.value());
  }
  if (newest) co_return std::move(*newest);
  co_return platform.error();
}

Awaitable<Result<AuditPage>> OperatorSession::ReadAuditPage(int64_t page_number) {
  const ObjectRead read = co_await objects_.Read(AuditPageObject(page_number), kPlatformTimeout);
  if (!read.found) co_return PlatformError(absl::StrCat("cannot read audit page ", page_number));
  co_return DecodeAuditPage(read.value);
}

Awaitable<std::vector<ListedHost>> OperatorSession::ReadHostList() {
  if (options_.platform.port == 0) co_return std::vector<ListedHost>{};
  Result<std::vector<ListedHost>> hosts = co_await host_list_.Read(kPlatformTimeout);
  if (!hosts) co_return std::vector<ListedHost>{};
  co_return std::move(hosts.value());
}

void OperatorSession::Print(const std::string& text, const boost::json::object& object) const {
  if (options_.json) {
    std::cout << boost::json::serialize(object) << "\n";
  } else {
    std::cout << text;
  }
}

ExitCode OperatorSession::ReportError(const Error& error) const {
  if (options_.json) {
    const boost::json::object object{{"error", ErrorToJson(error)}};
    std::cerr << boost::json::serialize(object) << "\n";
  } else {
    std::cerr << "fuchsiaweir: " << error.message << "\n";
  }
  return ExitCodeOf(error);
}

ExitCode RunInSession(const CommandBody& command) {
  InitLog("error", "operator");
  Findings findings;
  OperatorOptions options = OptionsFromFlags(findings);
  if (!findings.empty()) {
    std::cerr << findings.ToString();
    return ExitCode::kUsage;
  }
  boost::asio::io_context io(1);
  OperatorSession session(io, std::move(options));
  ExitCode code = ExitCode::kFailed;
  Spawn(io, "command", [&]() -> Awaitable<void> {
    code = co_await command(session);
    io.stop();
  });
  io.run();
  return code;
}

Result<Inventory> ParseDocumentInventory(const ConfigDocument& document) {
  Findings findings;
  const std::string file = absl::StrCat("revision ", document.revision);
  std::optional<Inventory> inventory =
      ParseInventory(ParseIni(document.inventory_ini, file, findings), findings);
  if (findings.empty() && inventory) return std::move(*inventory);
  return Error{ErrorCode::kInternal, RunState::kNotRun, findings.ToString(), Duration{0}};
}

}  // namespace fuchsiaweir
