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

/// Learns after which gaps blocks are used again, per team, prompt class and history of the block.
///
/// The gaps fall into logarithmic buckets from 30 s to 11 days. Each bucket keeps how many blocks
/// reached it without a return and how many returned within it. Blocks that never return therefore
/// lower the chance, although no gap is ever observed for them.
class ReusePredictor {
 public:
  static constexpr size_t kBuckets = 16;

  /// At most `max_tracked` blocks are remembered; the longest unused are forgotten first.
  explicit ReusePredictor(size_t max_tracked) : max_tracked_(max_tracked) {}

  /// Records that a prompt with these blocks arrived. `now` must not decrease between calls.
  void Observe(const std::string& team, const std::string& prompt_class,
               const std::vector<BlockId>& chain, TimePoint now);

  /// Returns the probability, 0 to 1, that a block is used again within `horizon` from `now`,
  /// given that it was not used since it was last observed. Unknown blocks give 0.
  double Chance(const BlockId& id, Duration horizon, TimePoint now) const;

  /// Time since the block was last observed; unknown blocks give the largest duration.
  Duration Idle(const BlockId& id, TimePoint now) const;

  size_t tracked() const { return records_.size(); }

 private:
  /// What is known of a block apart from team and class. One-off prompts stay kNew, so that a flood
  /// of them changes nothing for blocks that have returned.
  enum class History { kNew, kExtendsReturned, kReturned };

  struct Counts {
    std::array<double, kBuckets> reached{};
    std::array<double, kBuckets> returned{};
  };
  /// Indices into `counts_` from the most specific group to the most general one.
  using Groups = std::array<uint32_t, 3>;
  struct Record {
    TimePoint seen;
    Groups groups{};
    History history = History::kNew;
  };
  struct Waiting {
    BlockId id;
    TimePoint seen;
  };

  Groups GroupsOf(const std::string& team, const std::string& prompt_class, History history);
  uint32_t GroupIndex(const std::string& key);
  void Start(const BlockId& id, Record& record, TimePoint now);
  void Advance(TimePoint now);
  void Decay(TimePoint now);
  void ForgetOldest();
  double Hazard(const Record& record, size_t bucket) const;

  size_t max_tracked_;
  TimePoint next_decay_{};
  std::vector<Counts> counts_;
  absl::flat_hash_map<std::string, uint32_t> group_index_;
  absl::flat_hash_map<BlockId, Record> records_;
  /// Per bucket the blocks within it, in the order of their last use.
  std::array<std::deque<Waiting>, kBuckets> waiting_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_REUSE_PREDICTOR_H_
