#ifndef FUCHSIAWEIR_NET_PEER_ERROR_H_
#define FUCHSIAWEIR_NET_PEER_ERROR_H_

#include "core/result.h"
#include "net/http_types.h"

namespace fuchsiaweir {

/// Decodes a peer's error response. A malformed body gives kInternal with run state unknown.
Error DecodeErrorResponse(const HttpResponse& response);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_PEER_ERROR_H_
