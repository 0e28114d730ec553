#ifndef FUCHSIAWEIR_GATEWAY_RELAY_CLIENT_H_
#define FUCHSIAWEIR_GATEWAY_RELAY_CLIENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gateway/object_log.h"
#include "net/http_client.h"

namespace fuchsiaweir {

/// Path under which a gateway serves the store's contents.
inline constexpr char kRelayPath[] = "/internal/v1/objects";

/// Query field with the digests of contents that the reader knows, separated by commas.
inline constexpr char kKnownDigestsField[] = "known";

/// What a process asks a relay for.
struct RelayQuery {
  std::string kind;
  StorePosition since;
  /// Digests of known contents, of which the relay may send the changes alone.
  std::vector<std::string> known_digests = {};
  Duration wait{0};  ///< How long the relay waits for changes.
};

/// Reads the changes of a kind of objects since a position from a relay. Logs why a call failed and
/// returns nothing then.
Awaitable<std::optional<ObjectChanges>> ReadFromRelay(HttpClient& client, Endpoint relay,
                                                      RelayQuery query);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_RELAY_CLIENT_H_
