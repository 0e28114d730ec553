#include "core/utf8.h"

namespace fuchsiaweir {
namespace {

constexpr std::string_view kReplacement = "\xEF\xBF\xBD";
constexpr std::string_view kEllipsis = "...";

bool IsContinuationByte(std::string_view text, size_t position) {
  return position < text.size() && (static_cast<unsigned char>(text[position]) & 0xC0) == 0x80;
}

/// Returns the length in bytes of the character at `position`, or 0 if it is invalid.
size_t CharacterLength(std::string_view text, size_t position) {
  const auto lead = static_cast<unsigned char>(text[position]);
  if (lead < 0x80) return 1;
  const size_t length = lead >= 0xF0 ? 4 : lead >= 0xE0 ? 3 : 2;
  if (lead < 0xC2 || lead > 0xF4) return 0;
  for (size_t i = 1; i < length; ++i) {
    if (!IsContinuationByte(text, position + i)) return 0;
  }
  // Overlong encodings, surrogates and code points above U+10FFFF are invalid.
  const auto second = static_cast<unsigned char>(text[position + 1]);
  if ((lead == 0xE0 && second < 0xA0) || (lead == 0xED && second > 0x9F) ||
      (lead == 0xF0 && second < 0x90) || (lead == 0xF4 && second > 0x8F)) {
    return 0;
  }
  return length;
}

}  // namespace

std::string SanitizeUtf8(std::string_view text, size_t max_bytes) {
  std::string safe;
  size_t truncated_size = 0;  // End of the last character that leaves space for the ellipsis.
  for (size_t position = 0; position < text.size();) {
    const size_t length = CharacterLength(text, position);
    const std::string_view next = length == 0 ? kReplacement : text.substr(position, length);
    if (safe.size() + next.size() > max_bytes) {
      safe.resize(truncated_size);
      if (max_bytes >= kEllipsis.size()) safe += kEllipsis;
      return safe;
    }
    safe += next;
    if (safe.size() + kEllipsis.size() <= max_bytes) truncated_size = safe.size();
    position += length == 0 ? 1 : length;
  }
  return safe;
}

}  // namespace fuchsiaweir
