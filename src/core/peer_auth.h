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

/// Shared secret of all fuchsiaweir processes.
struct PeerKey {
  std::string id;
  std::string secret;  ///< Raw bytes.
};

/// The parts of a message that its proof covers.
struct PeerMessage {
  std::string method;
  std::string path;  ///< With the query.
  std::string body;
  std::string sender;  ///< Name of the sending host.
};

/// Parses one or two lines "ID HEX-KEY", newest first; a key has at least 32 bytes. Returns
/// nothing when it added a finding.
std::optional<std::vector<PeerKey>> ParsePeerKeys(std::string_view text, const std::string& file,
                                                  Findings& findings);

/// Returns the value of `X-Fw-Auth`: "KEY-ID UNIX-MS HMAC-HEX".
std::string SignPeerMessage(const PeerKey& key, const PeerMessage& message, int64_t unix_ms);

/// Checks a value of `X-Fw-Auth` against the active keys. Refuses with kUnauthorized, not_run.
Result<void> VerifyPeerMessage(const std::vector<PeerKey>& keys, const PeerMessage& message,
                               std::string_view proof, int64_t unix_ms);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_PEER_AUTH_H_
