#ifndef FUCHSIAWEIR_CORE_PART_DIRECTORY_H_
#define FUCHSIAWEIR_CORE_PART_DIRECTORY_H_

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/cache_part.h"
#include "core/clock.h"

namespace fuchsiaweir {

/// Replica of the part index of one store, built from its change events.
class StoreContents {
 public:
  /// Replaces the contents by a snapshot.
  void Reset(const CacheChanges& all);
  /// Adds a part of a snapshot that is read in pieces, after `Reset` with no changes.
  void AddListed(const CacheChange& part) { Put(part); }
  /// Applies changes since `next()`. Returns false when changes are missing or the store has
  /// restarted: the contents are then unknown and empty until the next `Reset`.
  bool Apply(const CacheChanges& changes);
  /// Clears the contents and marks them as unknown until the next `Reset`.
  void MarkUnknown();

  bool known() const { return known_; }
  int64_t next() const { return next_; }
  int64_t epoch() const { return epoch_; }
  int64_t tokens() const { return tokens_; }
  size_t size() const { return size_; }
  /// Estimate of the memory that the contents occupy.
  int64_t memory_bytes() const;
  /// Calls `visit(salt, id, tokens)` for each part.
  template <typename Visitor>
  void ForEach(Visitor visit) const {
    for (const auto& [salt, parts] : parts_) {
      for (const auto& [id, tokens] : parts) visit(salt, id, tokens);
    }
  }

  /// Returns at most `limit` parts of weight versions before `weights_version`.
  std::vector<CacheChange> PartsBefore(int64_t weights_version, size_t limit) const;

  /// Complete tokens of the part in the store; 0 when it has none.
  int64_t TokensOf(const std::string& salt, const std::string& id) const;

 private:
  void Put(const CacheChange& change);

  bool known_ = false;
  int64_t epoch_ = 0;
  int64_t next_ = 0;
  int64_t tokens_ = 0;
  size_t size_ = 0;
  /// Tokens by salt and id. There are few salts and hundreds of thousands of ids, so the salt is
  /// not stored with each.
  std::map<std::string, absl::flat_hash_map<std::string, int64_t>> parts_;
};

/// A store that prompt parts may be read from or saved to.
struct StoreCandidate {
  std::string address;  ///< "ADDRESS:PORT".
  int64_t capacity_tokens = 0;
  const StoreContents* contents = nullptr;
  std::string data_centre;
  double bytes_per_second = 0;     ///< Rate of its link; 0 when not configured.
  double pending_save_tokens = 0;  ///< Estimated tokens of saves not yet in `contents`.
  bool link_available = true;      ///< `LinkBudget` admits a transfer of this gateway.
};

/// Cost of a transfer of `tokens` between store and runner, in tokens of a transfer within one data
/// centre.
int64_t TransferCostTokens(const std::string& store_centre, const std::string& runner_centre,
                           int64_t tokens);

/// Stores that the parts of a prompt are read from and saved to.
struct PartPlan {
  std::vector<std::string> fetch_from;  ///< Address per part, "" for none; empty without any fetch.
  std::vector<std::string> save_to;     ///< Address per part, "" for none; empty without any save.
  int64_t fetch_tokens = 0;
  bool empty() const { return fetch_from.empty() && save_to.empty(); }
};

/// Plans fetches and saves for all parts of a prompt but the last, which only this request uses. A
/// part is fetched only from a store that reported it complete, and only if all preceding parts are
/// fetched too, because an engine cannot use a part without them. A part that no store holds is
/// saved to a store selected by a rendezvous hash, weighted by the link rate as seen from the
/// runner's data centre: prompts return to the same runner, and its fetches share the links of the
/// stores with those of all other runners.
PartPlan PlanParts(const std::vector<PromptPart>& parts, const std::string& salt,
                   const std::vector<StoreCandidate>& stores, const std::string& data_centre);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_PART_DIRECTORY_H_
