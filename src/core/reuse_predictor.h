#ifndef FUCHSIAWEIR_CORE_REUSE_PREDICTOR_H_
#define FUCHSIAWEIR_CORE_REUSE_PREDICTOR_H_

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "core/block_chain.h"
#include "core/clock.h"

namespace fuchsiaweir {

/// Estimates the probability that a block is reused, from the gaps between uses per team, prompt
/// class and reuse history of the block.
///
/// Gaps fall into logarithmic buckets from 30 s to 11 days. Each bucket counts the blocks that
/// reached it without reuse and those that were reused within it. Blocks that are never reused
/// therefore lower the probability, although no gap is ever observed for them.
class ReusePredictor {
 public:
  static constexpr size_t kBuckets = 16;

  /// Tracks at most `max_tracked` blocks; the least recently used are removed first.
  explicit ReusePredictor(size_t max_tracked) : max_tracked_(max_tracked) {}

  /// Records that a prompt with these blocks arrived. `now` must not decrease between calls.
  void Observe(const std::string& team, const std::string& prompt_class,
               const std::vector<BlockId>& chain, TimePoint now);

  /// Returns the probability, 0 to 1, that a block is reused within `horizon` from `now`, given
  /// that it has not been used since the last observation. Returns 0 for unknown blocks.
  double Probability(const BlockId& id, Duration horizon, TimePoint now) const;

  /// Time since the last observation of the block; `Duration::max()` for unknown blocks.
  Duration IdleTime(const BlockId& id, TimePoint now) const;

  size_t tracked() const { return records_.size(); }

 private:
  /// Reuse history of a block. One-off prompts stay kNew, so that a flood of them does not change
  /// the estimate for blocks that have been reused.
  enum class History { kNew, kExtendsReused, kReused };

  struct Counts {
    std::array<double, kBuckets> reached{};
    std::array<double, kBuckets> reused{};
  };
  /// Indices into `counts_`, from the most specific group to the most general one.
  using Groups = std::array<uint32_t, 3>;
  struct Record {
    TimePoint last_use;
    Groups groups{};
    History history = History::kNew;
  };
  struct QueuedBlock {
    BlockId id;
    TimePoint last_use;
  };

  Groups GroupsOf(const std::string& team, const std::string& prompt_class, History history);
  uint32_t GroupIndex(const std::string& key);
  void RecordUse(const BlockId& id, Record& record, TimePoint now);
  void Advance(TimePoint now);
  void Decay(TimePoint now);
  void RemoveOldest();
  double Hazard(const Record& record, size_t bucket) const;

  size_t max_tracked_;
  TimePoint next_decay_{};
  std::vector<Counts> counts_;
  absl::flat_hash_map<std::string, uint32_t> group_index_;
  absl::flat_hash_map<BlockId, Record> records_;
  /// Blocks in each bucket, in the order of their last use.
  std::array<std::deque<QueuedBlock>, kBuckets> queues_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_REUSE_PREDICTOR_H_
