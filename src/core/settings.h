#ifndef FUCHSIAWEIR_CORE_SETTINGS_H_
#define FUCHSIAWEIR_CORE_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/findings.h"
#include "core/ini_document.h"

namespace fuchsiaweir {

/// Settings of a process, read at start from the sections [process], [platform], [peers], [limits],
/// [tls] and [log] of its settings file.
struct Settings {
  std::string host;         ///< Name of the host in the inventory.
  std::string data_centre;  ///< Name of the data centre in the inventory.
  std::string listen_address = "127.0.0.1";
  int64_t listen_port = 0;

  std::string platform_address;
  int64_t platform_port = 0;
  int64_t platform_timeout_ms = 2'000;

  std::vector<std::string> peers;  ///< Seed peers as "ADDRESS:PORT".
  std::string peer_key_file;       ///< File of up to two lines "ID HEX-KEY", newest first.
  int64_t max_body_bytes = 8'000'000;
  int64_t max_header_bytes = 16'384;
  int64_t block_memory_bytes = 64'000'000;  ///< Memory tier for retained KV blocks in an agent.
  int64_t read_timeout_ms = 10'000;         ///< Time limit of one message from its first byte on.
  int64_t max_connections = 4'096;
  int64_t shutdown_grace_ms = 1'000;  ///< Time for the load balancer to stop sending requests.

  std::string tls_certificate_file;  ///< Empty: TLS is disabled.
  std::string tls_key_file;
  std::string tls_ca_file;
  std::string log_level = "info";
};

/// Parses and validates a settings file. Returns nullopt if it added a finding.
std::optional<Settings> ParseSettings(const IniDocument& document, Findings& findings);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_SETTINGS_H_
