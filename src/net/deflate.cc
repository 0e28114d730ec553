#include "net/deflate.h"

#include <zlib.h>

#include <stdexcept>

namespace fuchsiaweir {

std::string Deflate(std::string_view text) {
  uLongf size = compressBound(text.size());
  std::string stream(size, '\0');
  const int result =
      compress(reinterpret_cast<Bytef*>(stream.data()), &size,
               reinterpret_cast<const Bytef*>(text.data()), static_cast<uLong>(text.size()));
  if (result != Z_OK) {  // Possible only if memory runs out.
    throw std::runtime_error("zlib compress() failed with code " + std::to_string(result));
  }
  stream.resize(size);
  return stream;
}

std::optional<std::string> Inflate(std::string_view stream, size_t max_bytes) {
  std::string text(max_bytes, '\0');
  uLongf size = text.size();
  const int result =
      uncompress(reinterpret_cast<Bytef*>(text.data()), &size,
                 reinterpret_cast<const Bytef*>(stream.data()), static_cast<uLong>(stream.size()));
  if (result != Z_OK) return std::nullopt;
  text.resize(size);
  text.shrink_to_fit();
  return text;
}

}  // namespace fuchsiaweir
