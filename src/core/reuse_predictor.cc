#include "core/reuse_predictor.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <optional>

namespace fuchsiaweir {
namespace {

constexpr Duration kFirstBucketEnd = Seconds(30);

// A use within this time of the previous one counts as a retry. Otherwise a one-off prompt that its
// caller retries would count as reused.
constexpr Duration kRetryWindow = Seconds(10);

// Counts have a half-life of two weeks. It must exceed the longest bucket (6 days), or the count of
// blocks that reached that bucket would decay before they can be reused.
constexpr Duration kDecayInterval = Seconds(86'400);
constexpr double kDecayFactor = 0.95;

// Weight of the more general group's estimate, as a number of observations. With more observations
// than this, a group's own counts prevail.
constexpr double kPriorWeight = 8;

// Reuse probability per bucket without observations, by history.
constexpr double kPriorHazard[] = {0.02, 0.1, 0.15};

// Prompt classes come from requests, so the number of groups must be bounded. Classes beyond the
// bound use the group of their team.
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
  // The length prefix makes the key unambiguous: ("ab", "c") and ("a", "bc") differ.
  const std::string of_team = absl::StrCat(general, "/", team.size(), "/", team);
  const std::string of_class = absl::StrCat(of_team, "/", prompt_class);
  const uint32_t root = GroupIndex(general);
  const bool has_capacity = counts_.size() < kMaxGroups;
  const uint32_t middle =
      has_capacity || group_index_.contains(of_team) ? GroupIndex(of_team) : root;
  const uint32_t leaf =
      has_capacity || group_index_.contains(of_class) ? GroupIndex(of_class) : middle;
  return {leaf, middle, root};
}

void ReusePredictor::RecordUse(const BlockId& id, Record& record, TimePoint now) {
  record.last_use = now;
  for (const uint32_t group : record.groups) counts_[group].reached[0] += 1;
  queues_[0].push_back({id, now});
}

void ReusePredictor::Observe(const std::string& team, const std::string& prompt_class,
                             const std::vector<BlockId>& chain, TimePoint now) {
  Advance(now);
  bool extends_reused = false;
  std::array<std::optional<Groups>, 3> groups_of;  // By history, to hash the names only once.
  for (const BlockId& id : chain) {
    auto found = records_.find(id);
    if (found != records_.end() && now - found->second.last_use < kRetryWindow) {
      extends_reused |= found->second.history == History::kReused;
      continue;
    }
    History history = extends_reused ? History::kExtendsReused : History::kNew;
    if (found != records_.end()) {
      const size_t bucket = std::min(BucketOf(now - found->second.last_use), kBuckets - 1);
      for (const uint32_t group : found->second.groups) counts_[group].reused[bucket] += 1;
      history = History::kReused;
      extends_reused = true;
    } else {
      if (records_.size() >= max_tracked_) RemoveOldest();
      found = records_.try_emplace(id).first;
    }
    found->second.history = history;
    std::optional<Groups>& groups = groups_of[static_cast<size_t>(history)];
    if (!groups) groups = GroupsOf(team, prompt_class, history);
    found->second.groups = *groups;
    RecordUse(id, found->second, now);
  }
}

// Moves each block whose gap exceeds its bucket to the next one. Every bucket is ordered by last
// use, so only the fronts are checked, and each block is moved at most kBuckets times.
void ReusePredictor::Advance(TimePoint now) {
  Decay(now);
  for (size_t bucket = 0; bucket < kBuckets; ++bucket) {
    std::deque<QueuedBlock>& queue = queues_[bucket];
    while (!queue.empty() && now - queue.front().last_use >= BucketEnd(bucket)) {
      const QueuedBlock queued = queue.front();
      queue.pop_front();
      const auto found = records_.find(queued.id);
      if (found == records_.end() || found->second.last_use != queued.last_use) continue;
      if (bucket + 1 == kBuckets) {
        records_.erase(found);
        continue;
      }
      for (const uint32_t group : found->second.groups) counts_[group].reached[bucket + 1] += 1;
      queues_[bucket + 1].push_back(queued);
    }
  }
}

void ReusePredictor::Decay(TimePoint now) {
  if (now < next_decay_) return;
  next_decay_ = now + kDecayInterval;
  for (Counts& counts : counts_) {
    for (double& count : counts.reached) count *= kDecayFactor;
    for (double& count : counts.reused) count *= kDecayFactor;
  }
}

// The removed block's contribution to `reached` stays, which keeps the estimate unbiased.
void ReusePredictor::RemoveOldest() {
  for (size_t bucket = kBuckets; bucket-- > 0;) {
    std::deque<QueuedBlock>& queue = queues_[bucket];
    while (!queue.empty()) {
      const QueuedBlock queued = queue.front();
      queue.pop_front();
      const auto found = records_.find(queued.id);
      if (found == records_.end() || found->second.last_use != queued.last_use) continue;
      records_.erase(found);
      return;
    }
  }
}

// Probability of reuse within the bucket for a block that reached it. The estimate of each group is
// the prior of the next more specific one.
double ReusePredictor::Hazard(const Record& record, size_t bucket) const {
  double hazard = kPriorHazard[static_cast<size_t>(record.history)];
  for (size_t level = record.groups.size(); level-- > 0;) {
    const Counts& counts = counts_[record.groups[level]];
    hazard =
        (counts.reused[bucket] + kPriorWeight * hazard) / (counts.reached[bucket] + kPriorWeight);
  }
  return std::min(hazard, 1.0);
}

Duration ReusePredictor::IdleTime(const BlockId& id, TimePoint now) const {
  const auto found = records_.find(id);
  return found == records_.end() ? Duration::max() : now - found->second.last_use;
}

double ReusePredictor::Probability(const BlockId& id, Duration horizon, TimePoint now) const {
  const auto found = records_.find(id);
  if (found == records_.end()) return 0;
  const Duration age = std::max(now - found->second.last_use, Duration(0));
  const Duration end = age + horizon;
  double survival = 1;  // Probability of no reuse within the horizon.
  for (size_t bucket = BucketOf(age); bucket < kBuckets && BucketBegin(bucket) < end; ++bucket) {
    const Duration covered = std::min(end, BucketEnd(bucket)) - std::max(age, BucketBegin(bucket));
    const double part = ToSeconds(covered) / ToSeconds(BucketEnd(bucket) - BucketBegin(bucket));
    const double no_reuse = 1 - Hazard(found->second, bucket);
    survival *= part < 1 ? std::pow(no_reuse, part) : no_reuse;
  }
  return 1 - survival;
}

}  // namespace fuchsiaweir
