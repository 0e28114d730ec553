#ifndef FUCHSIAWEIR_NET_PEER_ERROR_H_
#define FUCHSIAWEIR_NET_PEER_ERROR_H_

#include "core/result.h"
#include "net/http_types.h"

namespace fuchsiaweir {

/// Returns the error that a peer's error response carries. A body of another form gives kInternal
/// with run state unknown.
Error DecodeErrorResponse(const HttpResponse& response);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_PEER_ERROR_H_
