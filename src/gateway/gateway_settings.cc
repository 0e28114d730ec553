#include "gateway/gateway_settings.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <iterator>
#include <set>
#include <tuple>

#include "core/ini_binder.h"

namespace fuchsiaweir {
namespace {

using Settings = GatewaySettings;

const IniKey<Settings> kProcessKeys[] = {
    {"name", &Settings::name, Presence::kRequired},
    {"address", &Settings::address, Presence::kRequired},
    {"data_centre", &Settings::data_centre, Presence::kRequired},
    {"callers", &Settings::callers},
    {"readiness", &Settings::readiness},
    {"runner", &Settings::runner},
    {"peer_port", &Settings::peer_port, Presence::kRequired, 1, 65'535},
    {"metrics_port", &Settings::metrics_port, Presence::kOptional, 1, 65'535},
    {"max_descriptors", &Settings::max_descriptors, Presence::kOptional, 64},
    {"memory_mb", &Settings::memory_mb, Presence::kOptional, 16, 1'000'000},
    {"link_mbps", &Settings::link_mbps, Presence::kOptional, 0, 10'000'000},
};

const IniKey<Settings> kPlatformKeys[] = {{"store", &Settings::store, Presence::kRequired}};

const IniKey<Settings> kBoundsKeys[] = {
    {"key_revocation_ms", &Settings::key_revocation_ms, Presence::kOptional, 100},
    {"desired_state_ms", &Settings::desired_state_ms, Presence::kOptional, 0},
    {"shutdown_s", &Settings::shutdown_s, Presence::kOptional, 1},
    {"retry_ratio", &Settings::retry_ratio, Presence::kOptional, 0},
    {"retry_slack", &Settings::retry_slack, Presence::kOptional, 0},
    {"weights_ms", &Settings::weights_ms, Presence::kOptional, 1'000},
    {"canary_share", &Settings::canary_share, Presence::kOptional, 0, 1},
    {"canary_slack", &Settings::canary_slack, Presence::kOptional, 0, 1'000'000},
    {"rollback_ms", &Settings::rollback_ms, Presence::kOptional, 100},
    {"client_bytes_per_s", &Settings::client_bytes_per_s, Presence::kOptional, 0, 1'000'000'000},
};

const IniKey<Settings> kLogKeys[] = {{"level", &Settings::log_level}};

constexpr std::string_view kLogLevels[] = {"debug", "info", "warning", "error"};

/// Copies the members that `table` names from `section` to `settings`.
template <typename Table>
void CopyMembers(const Settings& section, const Table& table, Settings& settings) {
  for (const IniKey<Settings>& key : table) {
    std::visit([&](auto member) { settings.*member = section.*member; }, key.member);
  }
}

template <const auto& kTable>
void Bind(const IniDocument& document, const IniSection& section, Settings& settings,
          Findings& findings, Findings& ignorable) {
  CopyMembers(BindSection<Settings>(document.file, section, kTable, findings, ignorable), kTable,
              settings);
}

void BindRegions(const IniDocument&, const IniSection& section, Settings& settings, Findings&,
                 Findings&) {
  for (const IniEntry& entry : section.entries) settings.regions[entry.key] = entry.value;
}

/// A section of the file, and how it is read.
struct SectionKind {
  std::string_view kind;
  void (*bind)(const IniDocument& document, const IniSection& section, Settings& settings,
               Findings& findings, Findings& ignorable);
};

constexpr SectionKind kSections[] = {{"process", &Bind<kProcessKeys>},
                                     {"platform", &Bind<kPlatformKeys>},
                                     {"bounds", &Bind<kBoundsKeys>},
                                     {"regions", &BindRegions},
                                     {"log", &Bind<kLogKeys>}};

/// Returns null for a section that settings do not have.
const SectionKind* FindSection(const IniSection& section) {
  const auto* const found =
      std::find_if(std::begin(kSections), std::end(kSections),
                   [&section](const SectionKind& known) { return known.kind == section.kind; });
  return found == std::end(kSections) ? nullptr : found;
}

bool IsAddress(const std::string& text) {
  boost::system::error_code failure;
  boost::asio::ip::make_address(text, failure);
  return !failure;
}

void CheckEndpoint(const IniDocument& document, const char* key, const std::string& value,
                   Findings& findings) {
  const Endpoint endpoint = ParseEndpoint(value);
  if (endpoint.port != 0 && IsAddress(endpoint.address)) return;
  findings.Add(document.file, 0,
               absl::StrCat("\"", key, "\" is \"", value, "\"; allowed is ADDRESS:PORT"));
}

/// An endpoint that this role does not use may be absent or wrong.
void CheckUnusedEndpoint(const IniDocument& document, const char* key, std::string& value,
                         Findings& ignorable) {
  const size_t before = ignorable.items().size();
  if (!value.empty()) CheckEndpoint(document, key, value, ignorable);
  if (ignorable.items().size() > before) value.clear();
}

}  // namespace

std::optional<GatewaySettings> ParseGatewaySettings(const IniDocument& document, PlatformRole role,
                                                    Findings& findings, Findings& ignorable) {
  const size_t before = findings.items().size();
  GatewaySettings settings;
  std::set<std::string> seen;
  for (const IniSection& section : document.sections) {
    seen.insert(section.kind);
    if (const SectionKind* const known = FindSection(section)) {
      known->bind(document, section, settings, findings, ignorable);
    } else {
      ignorable.Add(document.file, section.line,
                    absl::StrCat("unknown section [", section.kind,
                                 "]; allowed are process, platform, bounds, regions and log"));
    }
  }
  for (const char* section : {"process", "platform"}) {
    if (seen.count(section) == 0) {
      findings.Add(document.file, 0, absl::StrCat("section [", section, "] is missing"));
    }
  }
  CheckEndpoint(document, "store", settings.store, findings);
  if (role == PlatformRole::kGateway) {
    CheckEndpoint(document, "callers", settings.callers, findings);
    CheckEndpoint(document, "readiness", settings.readiness, findings);
    CheckUnusedEndpoint(document, "runner", settings.runner, ignorable);
  } else {
    CheckEndpoint(document, "runner", settings.runner, findings);
    CheckUnusedEndpoint(document, "callers", settings.callers, ignorable);
    CheckUnusedEndpoint(document, "readiness", settings.readiness, ignorable);
  }
  if (!settings.address.empty() && !IsAddress(settings.address)) {
    findings.Add(
        document.file, 0,
        absl::StrCat("\"address\" is \"", settings.address, "\"; allowed is an IP address"));
  }
  bool known_level = false;
  for (const std::string_view level : kLogLevels) known_level |= level == settings.log_level;
  if (!known_level) {
    ignorable.Add(document.file, 0,
                  absl::StrCat("\"level\" is \"", settings.log_level,
                               "\"; allowed are debug, info, warning and error"));
    settings.log_level = Settings{}.log_level;
  }
  if (findings.items().size() > before) return std::nullopt;
  return settings;
}

bool NeedsRestart(const GatewaySettings& running, const GatewaySettings& loaded) {
  const auto read_at_start = [](const GatewaySettings& settings) {
    return std::tie(settings.name, settings.address, settings.data_centre, settings.callers,
                    settings.readiness, settings.runner, settings.peer_port, settings.metrics_port,
                    settings.max_descriptors, settings.link_mbps);
  };
  return read_at_start(running) != read_at_start(loaded);
}

bool HasUnknownSection(const IniDocument& document) {
  return std::any_of(document.sections.begin(), document.sections.end(),
                     [](const IniSection& section) { return FindSection(section) == nullptr; });
}

}  // namespace fuchsiaweir
