#include "core/utf8.h"

namespace fuchsiaweir {
namespace {

constexpr std::string_view kReplacement = "\xEF\xBF\xBD";
constexpr std::string_view kCut = "...";

bool Continues(std::string_view text, size_t at) {
  return at < text.size() && (static_cast<unsigned char>(text[at]) & 0xC0) == 0x80;
}

/// Returns the length of the valid character at `at`; 0 when there is none.
size_t CharacterLength(std::string_view text, size_t at) {
  const auto lead = static_cast<unsigned char>(text[at]);
  if (lead < 0x80) return 1;
  const size_t length = lead >= 0xF0 ? 4 : lead >= 0xE0 ? 3 : 2;
  if (lead < 0xC2 || lead > 0xF4) return 0;
  for (size_t i = 1; i < length; ++i) {
    if (!Continues(text, at + i)) return 0;
  }
  // Overlong forms, surrogates and code points past U+10FFFF.
  const auto second = static_cast<unsigned char>(text[at + 1]);
  if ((lead == 0xE0 && second < 0xA0) || (lead == 0xED && second > 0x9F) ||
      (lead == 0xF0 && second < 0x90) || (lead == 0xF4 && second > 0x8F)) {
    return 0;
  }
  return length;
}

}  // namespace

std::string SanitizeUtf8(std::string_view text, size_t limit) {
  std::string safe;
  size_t cut_at = 0;  // End of the characters that leave room for the mark of a cut.
  for (size_t at = 0; at < text.size();) {
    const size_t length = CharacterLength(text, at);
    const std::string_view next = length == 0 ? kReplacement : text.substr(at, length);
    if (safe.size() + next.size() > limit) {
      safe.resize(cut_at);
      if (limit >= kCut.size()) safe += kCut;
      return safe;
    }
    safe += next;
    if (safe.size() + kCut.size() <= limit) cut_at = safe.size();
    at += length == 0 ? 1 : length;
  }
  return safe;
}

}  // namespace fuchsiaweir
