#ifndef FUCHSIAWEIR_NET_CONFIG_CLIENT_H_
#define FUCHSIAWEIR_NET_CONFIG_CLIENT_H_

#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "core/config_document.h"
#include "core/result.h"
#include "net/awaitable.h"
#include "net/http_client.h"

namespace fuchsiaweir {

/// Path of the configuration in the internal API of a process.
inline constexpr char kConfigPath[] = "/internal/v1/config";

/// Long-polls a process for a configuration above revision `after`. The process waits up to `wait`
/// for one; the call times out after `wait + timeout`. Returns nullopt if there is none.
Awaitable<Result<std::optional<ConfigDocument>>> FetchConfig(HttpClient& client, Endpoint peer,
                                                             int64_t after, Duration wait,
                                                             Duration timeout);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_CONFIG_CLIENT_H_
