#ifndef FUCHSIAWEIR_CORE_PART_DIRECTORY_H_
#define FUCHSIAWEIR_CORE_PART_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/cache_part.h"
#include "core/clock.h"

namespace fuchsiaweir {

/// Contents of one store as its changes told them.
class StoreContents {
 public:
  /// Replaces the contents, or applies changes. Returns false when changes are missing or the store
  /// was restarted: the contents are then unknown and empty until the next `Reset`.
  void Reset(const CacheChanges& all);
  bool Apply(const CacheChanges& changes);
  void MarkUnknown();

  bool known() const { return known_; }
  int64_t next() const { return next_; }
  int64_t epoch() const { return epoch_; }
  int64_t tokens() const { return tokens_; }
  size_t size() const { return parts_.size(); }

  /// Parts of weights before `weights_version`, at most `limit`.
  std::vector<CacheChange> PartsBefore(int64_t weights_version, size_t limit) const;

  /// Tokens of the part that the store holds whole; 0 when it does not.
  int64_t TokensOf(const std::string& salt, const std::string& id) const;

 private:
  void Put(const CacheChange& change);

  bool known_ = false;
  int64_t epoch_ = 0;
  int64_t next_ = 0;
  int64_t tokens_ = 0;
  std::map<std::pair<std::string, std::string>, int64_t> parts_;
};

/// A store that a prompt's parts may be kept in.
struct StoreCandidate {
  std::string address;  ///< "ADDRESS:PORT".
  int64_t capacity_tokens = 0;
  const StoreContents* contents = nullptr;
  std::string data_centre;
  double bytes_per_second = 0;  ///< Of its link; 0 when it is not told.
  double arriving_tokens = 0;   ///< Of saves that its changes do not tell yet; an estimate.
  bool link_free = true;        ///< This gateway may begin a transfer, see `LinkBudget`.
};

/// Tokens that take as long on the store's link as a transfer of `tokens` to or from the runner's
/// data centre.
int64_t TransferCostTokens(const std::string& store_centre, const std::string& runner_centre,
                           int64_t tokens);

/// Where each part of a prompt is read from and saved to; "" for nowhere.
struct PartPlan {
  std::vector<std::string> fetch_from;
  std::vector<std::string> save_to;
  int64_t fetch_tokens = 0;
  bool empty() const { return fetch_from.empty() && save_to.empty(); }
};

/// Plans the parts of a prompt but the last, which belongs to the request itself. A part is read
/// only from a store that reported it whole, and only while all parts before it are read too: an
/// engine uses a part only behind the parts before it. A part that no store holds is saved to the
/// store that a rendezvous hash names, weighted by the speed of the path from the runner's data
/// centre: prompts return to the runner, and its fetches share the stores' links with all others.
PartPlan PlanParts(const std::vector<PromptPart>& parts, const std::string& salt,
                   const std::vector<StoreCandidate>& stores, const std::string& data_centre);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_PART_DIRECTORY_H_
