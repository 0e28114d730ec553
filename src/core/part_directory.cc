#include "core/part_directory.h"

#include <cmath>

#include "core/rendezvous.h"

namespace fuchsiaweir {
namespace {

// Stores filled above this fraction get no further parts, because a save beyond the capacity is
// lost.
constexpr double kMaxFillFraction = 0.97;

// Memory of a slot of the table of parts: an id without its own allocation, tokens, a control byte.
constexpr int64_t kSlotBytes = 41;

// A transfer between data centres costs twice as much as one within a data centre.
constexpr int64_t kCrossDataCentreFactor = 2;

// Link rate assumed when the desired state does not name one: 100 Gbit/s.
constexpr double kDefaultLinkBytesPerSecond = 12.5e9;

// Weighted rendezvous score of a store for a part. Load pattern: the links of the stores are the
// bottleneck of returning prompts. Weighting by the square of the speed moves most parts to near
// and fast stores and still leaves some for each other store.
double Score(const std::string& part, const StoreCandidate& store, const std::string& data_centre) {
  const double unit =
      (static_cast<double>(RendezvousScore(part, store.address) >> 11) + 0.5) * 0x1.0p-53;
  const double link =
      store.bytes_per_second > 0 ? store.bytes_per_second : kDefaultLinkBytesPerSecond;
  const double speed =
      link / static_cast<double>(TransferCostTokens(store.data_centre, data_centre, 1));
  return -speed * speed / std::log(unit);
}

}  // namespace

void StoreContents::Reset(const CacheChanges& all) {
  MarkUnknown();
  known_ = true;
  epoch_ = all.epoch;
  next_ = all.next;
  for (const CacheChange& change : all.changes) Put(change);
}

bool StoreContents::Apply(const CacheChanges& changes) {
  if (!known_ || changes.epoch != epoch_ || changes.gap) {
    MarkUnknown();
    return false;
  }
  next_ = changes.next;
  for (const CacheChange& change : changes.changes) Put(change);
  return true;
}

void StoreContents::MarkUnknown() {
  known_ = false;
  tokens_ = 0;
  size_ = 0;
  parts_.clear();
}

int64_t StoreContents::TokensOf(const std::string& salt, const std::string& id) const {
  const auto parts = parts_.find(salt);
  if (parts == parts_.end()) return 0;
  const auto found = parts->second.find(id);
  return found == parts->second.end() ? 0 : found->second;
}

std::vector<CacheChange> StoreContents::PartsBefore(int64_t weights_version, size_t limit) const {
  std::vector<CacheChange> found;
  for (const auto& [salt, parts] : parts_) {
    const std::optional<int64_t> version = SaltVersion(salt);
    if (!version || *version >= weights_version) continue;
    for (const auto& [id, tokens] : parts) {
      if (found.size() == limit) return found;
      found.push_back({false, salt, id, tokens});
    }
  }
  return found;
}

void StoreContents::Put(const CacheChange& change) {
  const bool added = change.added && change.tokens > 0;
  const auto parts = parts_.find(change.salt);
  if (parts == parts_.end() && !added) return;
  auto& tokens_by_id = parts == parts_.end() ? parts_[change.salt] : parts->second;
  const auto found = tokens_by_id.find(change.id);
  if (found != tokens_by_id.end()) {
    tokens_ -= found->second;
    --size_;
  }
  if (added) {
    tokens_by_id[change.id] = change.tokens;
    tokens_ += change.tokens;
    ++size_;
  } else if (found != tokens_by_id.end()) {
    tokens_by_id.erase(found);
    if (tokens_by_id.empty()) parts_.erase(change.salt);
  }
}

int64_t StoreContents::memory_bytes() const {
  size_t slots = 0;
  for (const auto& [salt, parts] : parts_) slots += parts.capacity();
  return static_cast<int64_t>(slots) * kSlotBytes;
}

int64_t TransferCostTokens(const std::string& store_centre, const std::string& runner_centre,
                           int64_t tokens) {
  return store_centre == runner_centre ? tokens : tokens * kCrossDataCentreFactor;
}

PartPlan PlanParts(const std::vector<PromptPart>& parts, const std::string& salt,
                   const std::vector<StoreCandidate>& stores, const std::string& data_centre) {
  PartPlan plan;
  if (parts.size() < 2 || stores.empty()) return plan;
  plan.fetch_from.resize(parts.size());
  plan.save_to.resize(parts.size());
  bool fetch = false;
  bool save = false;
  bool leading = true;
  for (size_t i = 0; i + 1 < parts.size(); ++i) {
    const StoreCandidate* holder = nullptr;
    const StoreCandidate* target = nullptr;
    // A part in a store whose link is busy is recomputed, but not saved a second time.
    bool stored_behind_busy_link = false;
    for (const StoreCandidate& store : stores) {
      if (!store.contents->known()) continue;
      if (!store.link_available) {
        stored_behind_busy_link = stored_behind_busy_link ||
                                  store.contents->TokensOf(salt, parts[i].id) >= parts[i].tokens;
        continue;
      }
      if (store.contents->TokensOf(salt, parts[i].id) >= parts[i].tokens) holder = &store;
      const double limit = kMaxFillFraction * static_cast<double>(store.capacity_tokens);
      const double used = static_cast<double>(store.contents->tokens() + parts[i].tokens);
      if (used + store.pending_save_tokens > limit) continue;
      if (target == nullptr ||
          Score(parts[i].id, store, data_centre) > Score(parts[i].id, *target, data_centre)) {
        target = &store;
      }
    }
    if (holder != nullptr && leading) {
      plan.fetch_from[i] = holder->address;
      plan.fetch_tokens += parts[i].tokens;
      fetch = true;
    }
    if (holder == nullptr) {
      leading = false;
      if (target != nullptr && !stored_behind_busy_link) {
        plan.save_to[i] = target->address;
        save = true;
      }
    }
  }
  if (!fetch) plan.fetch_from.clear();
  if (!save) plan.save_to.clear();
  return plan;
}

}  // namespace fuchsiaweir
