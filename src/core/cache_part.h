#ifndef FUCHSIAWEIR_CORE_CACHE_PART_H_
#define FUCHSIAWEIR_CORE_CACHE_PART_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiaweir {

/// A section of a prompt that requests share. Its KV cache is stored as one unit.
struct PromptPart {
  std::string id;
  int64_t tokens = 0;
};

/// Returns the namespace of cached KV parts. Each weight version and each isolated team has its
/// own.
std::string CacheSalt(int64_t weights_version, const std::string& isolated_team);
/// Returns the weight version in a salt, or nullopt if `CacheSalt` did not create it.
std::optional<int64_t> SaltVersion(const std::string& salt);

/// One change of the contents of a store. `salt` is a `CacheSalt`.
struct CacheChange {
  bool added = false;
  std::string salt;
  std::string id;
  int64_t tokens = 0;  ///< Complete tokens after the change.
};

/// Changes of a store since a position, or a snapshot of its contents.
struct CacheChanges {
  int64_t epoch = 0;  ///< Changes with each restart, which empties the store.
  int64_t next = 0;   ///< Position to continue from.
  bool gap = false;   ///< Changes between the position and the first one are missing.
  std::vector<CacheChange> changes;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_CACHE_PART_H_
