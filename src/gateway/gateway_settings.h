#ifndef FUCHSIAWEIR_GATEWAY_GATEWAY_SETTINGS_H_
#define FUCHSIAWEIR_GATEWAY_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/findings.h"
#include "core/ini_document.h"
#include "net/http_types.h"

namespace fuchsiaweir {

/// Settings file of a gateway or a sidecar, with the sections [process], [platform], [bounds],
/// [regions] and [log].
struct GatewaySettings {
  std::string name;     ///< Unique name of this host.
  std::string address;  ///< IP address for messages between the system's processes.
  std::string data_centre;
  std::string callers;           ///< "ADDRESS:PORT" for callers; gateways only.
  std::string readiness;         ///< "ADDRESS:PORT" for the balancer's checks; gateways only.
  std::string runner;            ///< "ADDRESS:PORT" of the runner on this host; sidecars only.
  int64_t peer_port = 0;         ///< TCP and UDP port for peers.
  int64_t metrics_port = 9'464;  ///< TCP port of /metrics.
  int64_t max_descriptors = 1'024;
  int64_t memory_mb = 96;             ///< Memory of the process's host, in megabytes.
  double link_mbps = 0;               ///< Bandwidth of the host's link in Mbit/s; 0: unknown.
  std::string store;                  ///< "ADDRESS:PORT" of the platform's store.
  int64_t key_revocation_ms = 5'000;  ///< Longest time that a revoked key is still accepted.
  /// Latest time at which a confirmed desired state is in force; 0: not known.
  int64_t desired_state_ms = 0;
  double shutdown_s = 8;     ///< Longest time from SIGTERM to the end of the process.
  double retry_ratio = 0.2;  ///< Retries per request, over all gateways.
  double retry_slack = 100;  ///< Retries beyond the ratio, over all gateways.
  /// Rate below which a caller's message may be evicted when memory is short.
  int64_t client_bytes_per_s = 1'000;
  int64_t weights_ms = 12'000;  ///< Longest time until no request starts on replaced weights.
  /// Share of a service's requests that a version on trial may get; 0: no rollouts.
  double canary_share = 0;
  double canary_slack = 50;     ///< Requests beyond the share, over all gateways.
  int64_t rollback_ms = 5'000;  ///< Longest time that a bad version gets requests once it shows.
  std::string log_level = "info";
  std::map<std::string, std::string> regions;  ///< Region of each data centre.

  int64_t memory_bytes() const { return memory_mb * 1'000'000; }
  /// Whether versions of a service are rolled out by this process.
  bool rollouts_enabled() const { return canary_share > 0; }
  Endpoint callers_endpoint() const { return ParseEndpoint(callers); }
  Endpoint readiness_endpoint() const { return ParseEndpoint(readiness); }
  Endpoint runner_endpoint() const { return ParseEndpoint(runner); }
  Endpoint store_endpoint() const { return ParseEndpoint(store); }
  Endpoint peer_endpoint() const { return {address, static_cast<uint16_t>(peer_port)}; }
};

/// Role of a process on the platform.
enum class PlatformRole { kGateway, kSidecar };

/// Parses and validates a settings file. Returns nothing if it added to `findings`. Values that
/// cannot be used are added to `ignorable` if a default takes their place; both may be one object.
std::optional<GatewaySettings> ParseGatewaySettings(const IniDocument& document, PlatformRole role,
                                                    Findings& findings, Findings& ignorable);

/// Whether settings differ that a process reads only at its start.
bool NeedsRestart(const GatewaySettings& running, const GatewaySettings& loaded);

/// Whether the file has a section that settings do not have.
bool HasUnknownSection(const IniDocument& document);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_GATEWAY_SETTINGS_H_
