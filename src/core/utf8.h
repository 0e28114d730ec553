#ifndef FUCHSIAWEIR_CORE_UTF8_H_
#define FUCHSIAWEIR_CORE_UTF8_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace fuchsiaweir {

/// Maximum size of an error message in bytes. Messages quote names that callers send, which must
/// not inflate responses and logs.
inline constexpr size_t kMaxErrorMessageBytes = 400;

/// Returns the text as valid UTF-8 of at most `max_bytes` bytes. Replaces each byte that is not
/// part of a valid character by U+FFFD; truncates a longer text between characters and appends
/// "...".
std::string SanitizeUtf8(std::string_view text, size_t max_bytes);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_UTF8_H_
