#ifndef FUCHSIAWEIR_NET_DEFLATE_H_
#define FUCHSIAWEIR_NET_DEFLATE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsiaweir {

/// HTTP content coding of `Deflate`: the zlib format (RFC 1950), which ends with a checksum.
inline constexpr char kDeflateCoding[] = "deflate";

/// Compresses text into the zlib format.
std::string Deflate(std::string_view text);

/// Decompresses the zlib format. Returns nothing if the stream is malformed or incomplete, or if
/// the text is longer than `max_bytes`.
std::optional<std::string> Inflate(std::string_view stream, size_t max_bytes);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_DEFLATE_H_
