#include "core/reuse_predictor.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <optional>

namespace fuchsiaweir {
namespace {

constexpr Duration kFirstBucketEnd = Seconds(30);

// A second use within this time is a repeated request of the same visit and not a return.
// Otherwise a one-off prompt that its caller retries would count as returning.
constexpr Duration kRepeatWindow = Seconds(10);

// Old counts lose half their weight in two weeks. The half-life must exceed the longest bucket
// (6 days), or blocks that reached it would be forgotten before they can return.
constexpr Duration kDecayInterval = Seconds(86'400);
constexpr double kDecayFactor = 0.95;

// A group's own counts outweigh those of the more general group after this many observations.
constexpr double kPriorWeight = 8;

// Return probability per bucket before anything was observed, by history.
constexpr double kPriorHazard[] = {0.02, 0.1, 0.15};

// Prompt classes come from requests, so their number is bounded. Later ones share their team's
// group.
constexpr size_t kMaxGroups = 8192;

Duration BucketEnd(size_t bucket) { return kFirstBucketEnd * (int64_t{1} << bucket); }

Duration BucketBegin(size_t bucket) { return bucket == 0 ? Duration(0) : BucketEnd(bucket - 1); }

// Returns kBuckets for a gap past the last bucket.
size_t BucketOf(Duration gap) {
  size_t bucket = 0;
  while (bucket < ReusePredictor::kBuckets && gap >= BucketEnd(bucket)) ++bucket;
  return bucket;
}

}  // namespace

uint32_t ReusePredictor::GroupIndex(const std::string& key) {
  const auto [entry, added] = group_index_.try_emplace(key, static_cast<uint32_t>(counts_.size()));
  if (added) counts_.emplace_back();
  return entry->second;
}

ReusePredictor::Groups ReusePredictor::GroupsOf(const std::string& team,
                                                const std::string& prompt_class, History history) {
  const std::string general = absl::StrCat(static_cast<int>(history));
  // The length separates team and class: ("ab", "c") and ("a", "bc") are different groups.
  const std::string of_team = absl::StrCat(general, "/", team.size(), "/", team);
  const std::string of_class = absl::StrCat(of_team, "/", prompt_class);
  const uint32_t root = GroupIndex(general);
  const bool room = counts_.size() < kMaxGroups;
  const uint32_t middle = room || group_index_.contains(of_team) ? GroupIndex(of_team) : root;
  const uint32_t leaf = room || group_index_.contains(of_class) ? GroupIndex(of_class) : middle;
  return {leaf, middle, root};
}

void ReusePredictor::Start(const BlockId& id, Record& record, TimePoint now) {
  record.seen = now;
  for (const uint32_t group : record.groups) counts_[group].reached[0] += 1;
  waiting_[0].push_back({id, now});
}

void ReusePredictor::Observe(const std::string& team, const std::string& prompt_class,
                             const std::vector<BlockId>& chain, TimePoint now) {
  Advance(now);
  bool extends_returned = false;
  std::array<std::optional<Groups>, 3> groups_of;  // By history; the names are hashed only once.
  for (const BlockId& id : chain) {
    auto found = records_.find(id);
    if (found != records_.end() && now - found->second.seen < kRepeatWindow) {
      extends_returned |= found->second.history == History::kReturned;
      continue;
    }
    History history = extends_returned ? History::kExtendsReturned : History::kNew;
    if (found != records_.end()) {
      const size_t bucket = std::min(BucketOf(now - found->second.seen), kBuckets - 1);
      for (const uint32_t group : found->second.groups) counts_[group].returned[bucket] += 1;
      history = History::kReturned;
      extends_returned = true;
    } else {
      if (records_.size() >= max_tracked_) ForgetOldest();
      found = records_.try_emplace(id).first;
    }
    found->second.history = history;
    std::optional<Groups>& groups = groups_of[static_cast<size_t>(history)];
    if (!groups) groups = GroupsOf(team, prompt_class, history);
    found->second.groups = *groups;
    Start(id, found->second, now);
  }
}

// Moves each block that outlasted its bucket to the next one. A block enters all buckets in the
// order of its last use, so only the fronts need a look: each block costs at most kBuckets moves.
void ReusePredictor::Advance(TimePoint now) {
  Decay(now);
  for (size_t bucket = 0; bucket < kBuckets; ++bucket) {
    std::deque<Waiting>& queue = waiting_[bucket];
    while (!queue.empty() && now - queue.front().seen >= BucketEnd(bucket)) {
      const Waiting waiting = queue.front();
      queue.pop_front();
      const auto found = records_.find(waiting.id);
      if (found == records_.end() || found->second.seen != waiting.seen) continue;
      if (bucket + 1 == kBuckets) {
        records_.erase(found);
        continue;
      }
      for (const uint32_t group : found->second.groups) counts_[group].reached[bucket + 1] += 1;
      waiting_[bucket + 1].push_back(waiting);
    }
  }
}

void ReusePredictor::Decay(TimePoint now) {
  if (now < next_decay_) return;
  next_decay_ = now + kDecayInterval;
  for (Counts& counts : counts_) {
    for (double& count : counts.reached) count *= kDecayFactor;
    for (double& count : counts.returned) count *= kDecayFactor;
  }
}

// What the forgotten block has contributed to `reached` stays, which keeps the estimate unbiased.
void ReusePredictor::ForgetOldest() {
  for (size_t bucket = kBuckets; bucket-- > 0;) {
    std::deque<Waiting>& queue = waiting_[bucket];
    while (!queue.empty()) {
      const Waiting waiting = queue.front();
      queue.pop_front();
      const auto found = records_.find(waiting.id);
      if (found == records_.end() || found->second.seen != waiting.seen) continue;
      records_.erase(found);
      return;
    }
  }
}

// Probability of a return within the bucket for a block that reached it. Each group's estimate is
// the prior of the next more specific one.
double ReusePredictor::Hazard(const Record& record, size_t bucket) const {
  double hazard = kPriorHazard[static_cast<size_t>(record.history)];
  for (size_t level = record.groups.size(); level-- > 0;) {
    const Counts& counts = counts_[record.groups[level]];
    hazard =
        (counts.returned[bucket] + kPriorWeight * hazard) / (counts.reached[bucket] + kPriorWeight);
  }
  return std::min(hazard, 1.0);
}

Duration ReusePredictor::Idle(const BlockId& id, TimePoint now) const {
  const auto found = records_.find(id);
  return found == records_.end() ? Duration::max() : now - found->second.seen;
}

double ReusePredictor::Chance(const BlockId& id, Duration horizon, TimePoint now) const {
  const auto found = records_.find(id);
  if (found == records_.end()) return 0;
  const Duration age = std::max(now - found->second.seen, Duration(0));
  const Duration end = age + horizon;
  double none = 1;
  for (size_t bucket = BucketOf(age); bucket < kBuckets && BucketBegin(bucket) < end; ++bucket) {
    const Duration covered = std::min(end, BucketEnd(bucket)) - std::max(age, BucketBegin(bucket));
    const double part = ToSeconds(covered) / ToSeconds(BucketEnd(bucket) - BucketBegin(bucket));
    const double stays = 1 - Hazard(found->second, bucket);
    none *= part < 1 ? std::pow(stays, part) : stays;
  }
  return 1 - none;
}

}  // namespace fuchsiaweir
