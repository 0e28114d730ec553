#include "core/cache_part.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace fuchsiaweir {

std::string CacheSalt(int64_t weights_version, const std::string& isolated_team) {
  const std::string salt = absl::StrCat("w", weights_version);
  return isolated_team.empty() ? salt : absl::StrCat(salt, ".", isolated_team);
}

std::optional<int64_t> SaltVersion(const std::string& salt) {
  int64_t version = 0;
  if (salt.empty() || salt[0] != 'w') return std::nullopt;
  if (!absl::SimpleAtoi(salt.substr(1, salt.find('.') - 1), &version)) return std::nullopt;
  return version;
}

}  // namespace fuchsiaweir
