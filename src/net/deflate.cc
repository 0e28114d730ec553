#include "net/deflate.h"

#include <absl/cleanup/cleanup.h>
#include <zlib.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace fuchsiaweir {
namespace {

/// First size of the buffer for a text, as a multiple of its stream. Configurations and desired
/// states are 8 to 12 times as long as their streams.
constexpr size_t kExpectedRatio = 12;
constexpr size_t kMinTextBytes = 1'024;

Bytef* AsBytes(const char* data) {
  return reinterpret_cast<Bytef*>(const_cast<char*>(data));  // zlib does not write to its input.
}

}  // namespace

std::string Deflate(std::string_view text, DeflateEffort effort) {
  const int level = effort == DeflateEffort::kSpeed ? Z_BEST_SPEED : Z_DEFAULT_COMPRESSION;
  uLongf size = compressBound(text.size());
  std::string stream(size, '\0');
  const int result =
      compress2(AsBytes(stream.data()), &size, AsBytes(text.data()), text.size(), level);
  if (result != Z_OK) {  // Possible only if memory runs out.
    throw std::runtime_error("zlib compress2() failed with code " + std::to_string(result));
  }
  stream.resize(size);
  return stream;
}

std::optional<std::string> Inflate(std::string_view stream, size_t max_bytes) {
  z_stream decoder{};
  if (inflateInit(&decoder) != Z_OK) return std::nullopt;
  const absl::Cleanup end = [&]() { inflateEnd(&decoder); };
  decoder.next_in = AsBytes(stream.data());
  decoder.avail_in = static_cast<uInt>(stream.size());
  std::string text;
  size_t size = std::max(kMinTextBytes, stream.size() * kExpectedRatio);
  while (true) {
    text.resize(std::min(size, max_bytes));
    decoder.next_out = AsBytes(text.data()) + decoder.total_out;
    decoder.avail_out = static_cast<uInt>(text.size() - decoder.total_out);
    const int result = inflate(&decoder, Z_FINISH);
    if (result == Z_STREAM_END) break;
    const bool needs_room = result == Z_BUF_ERROR && decoder.avail_out == 0;
    if (!needs_room || text.size() == max_bytes) return std::nullopt;
    size = text.size() * 2;
  }
  text.resize(decoder.total_out);
  text.shrink_to_fit();
  return text;
}

std::optional<std::string> DecodedBody(HttpResponse response, size_t max_bytes) {
  if (HeaderValue(response.headers, "Content-Encoding") != kDeflateCoding) {
    return std::move(response.body);
  }
  return Inflate(response.body, max_bytes);
}

}  // namespace fuchsiaweir
