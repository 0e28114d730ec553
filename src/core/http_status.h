#ifndef FUCHSIAWEIR_CORE_HTTP_STATUS_H_
#define FUCHSIAWEIR_CORE_HTTP_STATUS_H_

#include <cstdint>

namespace fuchsiaweir {

/// Whether HTTP defines the class of the status code (RFC 9110, section 15).
constexpr bool IsHttpStatus(int64_t status) { return status >= 100 && status <= 599; }

/// Whether a response with this status code ends the exchange.
constexpr bool IsFinalHttpStatus(int64_t status) { return status >= 200 && status <= 599; }

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_HTTP_STATUS_H_
