#ifndef FUCHSIAWEIR_GATEWAY_PEER_REGISTRATION_H_
#define FUCHSIAWEIR_GATEWAY_PEER_REGISTRATION_H_

#include "gateway/gateway_settings.h"
#include "net/awaitable.h"
#include "platform/object_store.h"

namespace fuchsiaweir {

/// Object kind under which gateways and sidecars register their addresses.
inline constexpr char kPeerKind[] = "fuchsiaweir-peers";

/// Registers this process in the store. Repeats the call until the store confirms the entry.
Awaitable<void> RegisterPeer(platform::ObjectStore& store, GatewaySettings settings,
                             PlatformRole role);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_PEER_REGISTRATION_H_
