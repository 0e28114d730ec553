#include "core/settings.h"

#include <absl/strings/str_cat.h>

#include <array>

#include "core/ini_binder.h"

namespace fuchsiaweir {
namespace {

constexpr int64_t kMaxPort = 65'535;
constexpr int64_t kMaxTimeoutMs = 3'600'000;

// Keys have the form "section.key", because the binder fills a record from a single section.
const std::array<IniKey<Settings>, 19> kSettingsKeys = {{
    {"process.host", &Settings::host, Presence::kRequired},
    {"process.data_centre", &Settings::data_centre, Presence::kRequired},
    {"process.listen_address", &Settings::listen_address},
    {"process.listen_port", &Settings::listen_port, Presence::kRequired, 1, kMaxPort},
    {"platform.address", &Settings::platform_address, Presence::kRequired},
    {"platform.port", &Settings::platform_port, Presence::kRequired, 1, kMaxPort},
    {"platform.timeout_ms", &Settings::platform_timeout_ms, Presence::kOptional, 1, kMaxTimeoutMs},
    {"peers.addresses", &Settings::peers},
    {"peers.key_file", &Settings::peer_key_file},
    {"limits.max_body_bytes", &Settings::max_body_bytes, Presence::kOptional, 1, 1'000'000'000},
    {"limits.max_header_bytes", &Settings::max_header_bytes, Presence::kOptional, 256, 1'000'000},
    {"limits.block_memory_bytes", &Settings::block_memory_bytes, Presence::kOptional, 0,
     1'000'000'000'000},
    {"limits.read_timeout_ms", &Settings::read_timeout_ms, Presence::kOptional, 1, kMaxTimeoutMs},
    {"limits.max_connections", &Settings::max_connections, Presence::kOptional, 1, 1'000'000},
    {"limits.shutdown_grace_ms", &Settings::shutdown_grace_ms, Presence::kOptional, 0,
     kMaxTimeoutMs},
    {"tls.certificate_file", &Settings::tls_certificate_file},
    {"tls.key_file", &Settings::tls_key_file},
    {"tls.ca_file", &Settings::tls_ca_file},
    {"log.level", &Settings::log_level},
}};

IniSection JoinSections(const IniDocument& document) {
  IniSection joined{"settings", "", 0, {}};
  for (const IniSection& section : document.sections) {
    for (const IniEntry& entry : section.entries) {
      joined.entries.push_back(
          {absl::StrCat(section.kind, ".", entry.key), entry.value, entry.line});
    }
  }
  return joined;
}

void CheckConsistency(const IniDocument& document, const Settings& settings, Findings& findings) {
  if (settings.tls_certificate_file.empty() != settings.tls_key_file.empty()) {
    findings.Add(document.file, 0, "[tls] needs certificate_file and key_file together");
  }
  const std::string& level = settings.log_level;
  if (level != "debug" && level != "info" && level != "warning" && level != "error") {
    findings.Add(
        document.file, 0,
        absl::StrCat("\"log.level\" is \"", level, "\"; allowed is debug, info, warning or error"));
  }
}

}  // namespace

std::optional<Settings> ParseSettings(const IniDocument& document, Findings& findings) {
  const size_t before = findings.items().size();
  const Settings settings =
      BindSection<Settings>(document.file, JoinSections(document), kSettingsKeys, findings);
  CheckConsistency(document, settings, findings);
  if (findings.items().size() != before) return std::nullopt;
  return settings;
}

}  // namespace fuchsiaweir
