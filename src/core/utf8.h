#ifndef FUCHSIAWEIR_CORE_UTF8_H_
#define FUCHSIAWEIR_CORE_UTF8_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace fuchsiaweir {

/// Longest message of an error in bytes: a caller's name in it must not fill answers and logs.
inline constexpr size_t kMaxErrorMessageBytes = 400;

/// Returns the text as valid UTF-8 of at most `limit` bytes. Each byte that belongs to no character
/// becomes U+FFFD; a longer text is cut at a character and ends with "...".
std::string SanitizeUtf8(std::string_view text, size_t limit);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_UTF8_H_
