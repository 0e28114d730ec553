#ifndef FUCHSIAWEIR_GATEWAY_RELAY_CLIENT_H_
#define FUCHSIAWEIR_GATEWAY_RELAY_CLIENT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "gateway/object_log.h"
#include "net/http_client.h"

namespace fuchsiaweir {

/// Path under which a gateway serves the store's contents.
inline constexpr char kRelayPath[] = "/internal/v1/objects";

/// Reads the changes of a kind of objects since a position from a relay, which waits for them at
/// most `wait`. Logs why a call failed and returns nothing then.
Awaitable<std::optional<ObjectChanges>> ReadFromRelay(HttpClient& client, Endpoint relay,
                                                      std::string kind, StorePosition since,
                                                      Duration wait);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_RELAY_CLIENT_H_
