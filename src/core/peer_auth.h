#ifndef FUCHSIAWEIR_CORE_PEER_AUTH_H_
#define FUCHSIAWEIR_CORE_PEER_AUTH_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/findings.h"
#include "core/result.h"

namespace fuchsiaweir {

/// Secret shared by all fuchsiaweir processes.
struct PeerKey {
  std::string id;
  std::string secret;  ///< Raw bytes.
};

/// Parts of a message that its proof authenticates.
struct PeerMessage {
  std::string method;
  std::string path;  ///< Including the query.
  std::string body;
  std::string sender;  ///< Name of the sending host.
};

/// Parses a key file: one or two lines "ID HEX-KEY", newest first, with keys of at least 32 bytes.
/// Adds a finding for each invalid line and then returns nullopt.
std::optional<std::vector<PeerKey>> ParsePeerKeys(std::string_view text, const std::string& file,
                                                  Findings& findings);

/// Returns the proof for the header `X-Fw-Auth`: "KEY-ID UNIX-MS HMAC-HEX".
std::string SignPeerMessage(const PeerKey& key, const PeerMessage& message, int64_t unix_ms);

/// Verifies the value of `X-Fw-Auth` with the active keys. Fails with kUnauthorized and kNotRun.
Result<void> VerifyPeerMessage(const std::vector<PeerKey>& keys, const PeerMessage& message,
                               std::string_view proof, int64_t unix_ms);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_PEER_AUTH_H_
