#ifndef FUCHSIAWEIR_CORE_DIGEST_H_
#define FUCHSIAWEIR_CORE_DIGEST_H_

#include <string>
#include <string_view>

namespace fuchsiaweir {

/// Returns the SHA-256 digest of the text as 64 hex digits.
std::string Sha256Hex(std::string_view text);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_DIGEST_H_
