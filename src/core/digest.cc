#include "core/digest.h"

#include <absl/strings/escaping.h>
#include <openssl/evp.h>

namespace fuchsiaweir {

std::string Sha256Hex(std::string_view text) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), digest, &size, EVP_sha256(), nullptr);
  const absl::string_view bytes(reinterpret_cast<const char*>(digest), size);
  return absl::BytesToHexString(bytes);
}

}  // namespace fuchsiaweir
