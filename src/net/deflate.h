#ifndef FUCHSIAWEIR_NET_DEFLATE_H_
#define FUCHSIAWEIR_NET_DEFLATE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "net/http_types.h"

namespace fuchsiaweir {

/// HTTP content coding of `Deflate`: the zlib format (RFC 1950), which ends with a checksum.
inline constexpr char kDeflateCoding[] = "deflate";

/// What `Deflate` optimizes for.
enum class DeflateEffort {
  kSize,
  kSpeed,
};

/// Compresses text into the zlib format.
std::string Deflate(std::string_view text, DeflateEffort effort = DeflateEffort::kSize);

/// Decompresses the zlib format. Returns nothing if the stream is malformed or incomplete, or if
/// the text is longer than `max_bytes`. Allocates memory as the text grows.
std::optional<std::string> Inflate(std::string_view stream, size_t max_bytes);

/// Returns the body of a response without its content coding; see `Inflate`.
std::optional<std::string> DecodedBody(HttpResponse response, size_t max_bytes);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_DEFLATE_H_
