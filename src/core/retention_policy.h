#ifndef FUCHSIAWEIR_CORE_RETENTION_POLICY_H_
#define FUCHSIAWEIR_CORE_RETENTION_POLICY_H_

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/block_chain.h"
#include "core/clock.h"
#include "core/reuse_predictor.h"

namespace fuchsiaweir {

struct RetentionOptions {
  int64_t capacity = 0;                 ///< Bytes of the tier.
  Duration horizon = Seconds(259'200);  ///< Reuse after more than this time has no value.
  size_t max_tracked = 200'000;         ///< Maximum number of blocks with a usage record.
};

/// Properties of a block that is stored in the tier or a candidate for it.
struct RetainedBlock {
  std::string team;
  int64_t bytes = 1;
  Duration recompute{0};  ///< Prefill time of the block's tokens at their position in the prompt.
  std::optional<BlockId> previous = std::nullopt;  ///< Preceding block of the prompt.
};

/// Limits of one write-back round.
struct WriteBackBudget {
  int64_t bytes = 0;
  double link_bytes_per_second = 0;
};

/// Admission, eviction and write-back policy of a tier of retained KV blocks.
///
/// The value of a block is recompute time x reuse probability / bytes. The probability is that of
/// reuse within one turnover of the tier, the time in which as many bytes are stored as the tier
/// holds. A team within its fair share of the tier keeps the blocks that it used within half a
/// turnover; the blocks of a team above its share are discounted. A block cannot be used without
/// the preceding blocks of the prompt, so its value is always lower than theirs: chains are evicted
/// from the tail.
class RetentionPolicy {
 public:
  explicit RetentionPolicy(const RetentionOptions& options)
      : options_(options), reuse_(options.max_tracked), turnover_(options.horizon) {}

  /// Sets a team's weight (> 0) in the fair sharing of the tier. The default is 1.
  void SetTeamWeight(const std::string& team, double weight);

  /// Records the arrival of a prompt. Must precede the evaluation of its blocks.
  void Observe(const std::string& team, const std::string& prompt_class,
               const std::vector<BlockId>& chain, TimePoint now) {
    reuse_.Observe(team, prompt_class, chain, now);
    now_ = now;
  }

  /// Records that a block was stored in the tier.
  void OnStored(const BlockId& id, const RetainedBlock& block);
  /// Records that a block was removed from the tier. Has no effect for unknown blocks.
  void OnDropped(const BlockId& id);

  /// Value of a single block without discount, in expected microseconds saved per byte.
  double Value(const BlockId& id, const RetainedBlock& block, TimePoint now) const;

  /// Value of a new block when it competes for space.
  double AdmissionValue(const BlockId& id, const RetainedBlock& block, TimePoint now) const;

  /// Value of a stored block when a block of `incoming_team` competes for its space. Infinity
  /// forbids its eviction; unknown blocks have value 0.
  double EvictionValue(const BlockId& id, const std::string& incoming_team, TimePoint now) const;

  /// Returns the stored blocks among `candidates` worth copying to a store, within the budget and
  /// in weighted turns between teams. Each team's blocks are ordered by expected benefit per byte.
  std::vector<BlockId> ChooseWriteBack(const std::vector<BlockId>& candidates,
                                       const WriteBackBudget& budget, TimePoint now) const;

  /// Time in which as many bytes are stored as the tier holds, at most the horizon.
  Duration turnover() const { return turnover_; }

  /// Probability that the block is reused within the horizon.
  double ReuseProbability(const BlockId& id, TimePoint now) const {
    return reuse_.Probability(id, options_.horizon, now);
  }

 private:
  struct TeamState {
    double weight = 1;
    int64_t bytes = 0;
    int64_t blocks = 0;
  };

  void UpdateTurnover(int64_t bytes);
  double RaiseAboveFollowers(const BlockId& id, double own, const std::string& incoming_team,
                             TimePoint now) const;
  double FairShare(const std::string& team) const;
  double Discount(const std::string& team, int64_t extra_bytes) const;
  const TeamState& StateOf(const std::string& team) const;

  RetentionOptions options_;
  ReusePredictor reuse_;
  double stored_weight_ = 0;  ///< Sum of the weights of teams with stored blocks.
  absl::flat_hash_map<std::string, TeamState> teams_;
  absl::flat_hash_map<BlockId, RetainedBlock> blocks_;
  /// Direct successors that are stored, by block id. The block itself may be absent.
  absl::flat_hash_map<BlockId, std::vector<BlockId>> followers_;
  TimePoint now_{};  ///< Time of the last observation.
  TimePoint turnover_start_{};
  int64_t turnover_bytes_ = 0;  ///< Bytes stored since `turnover_start_`.
  Duration turnover_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_RETENTION_POLICY_H_
