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
  Duration horizon = Seconds(259'200);  ///< Returns later than this are worth nothing.
  size_t max_tracked = 200'000;         ///< Blocks whose last use is remembered.
};

/// A block that is or may become retained.
struct RetainedBlock {
  std::string team;
  int64_t bytes = 1;
  Duration recompute{0};  ///< Prefill time of the block's tokens at its place in the prompt.
  std::optional<BlockId> previous = std::nullopt;  ///< The block before it in the prompt.
};

/// What one write-back round may use.
struct WriteBackBudget {
  int64_t bytes = 0;
  double link_bytes_per_second = 0;
};

/// Decides which blocks are worth their memory, their place in a store and their write-back.
///
/// The value of a block is recompute time x chance of return / bytes. The chance is that of a
/// return within one turnover of the tier, the time in which as many bytes are stored as the tier
/// holds. Between teams, a team within its fair share of the tier keeps the blocks that it used
/// within half a turnover, and a team above its share competes at a lower value. A block is useless
/// without those before it in the prompt, so it always has a lower value than they have: chains
/// lose their tail first.
class RetentionPolicy {
 public:
  explicit RetentionPolicy(const RetentionOptions& options)
      : options_(options), gaps_(options.max_tracked), turnover_(options.horizon) {}

  /// Sets a team's weight (> 0) in the division of the tier. The default is 1.
  void SetTeamWeight(const std::string& team, double weight);

  /// Records the arrival of a prompt. Call it before the values of its blocks are needed.
  void Observe(const std::string& team, const std::string& prompt_class,
               const std::vector<BlockId>& chain, TimePoint now) {
    gaps_.Observe(team, prompt_class, chain, now);
    now_ = now;
  }

  /// Records that a block takes room in the tier, or that it no longer does.
  void OnStored(const BlockId& id, const RetainedBlock& block);
  void OnDropped(const BlockId& id);

  /// Value of a block by itself, in expected microseconds saved per byte.
  double Value(const BlockId& id, const RetainedBlock& block, TimePoint now) const;

  /// Value with which a new block competes for room.
  double AdmissionValue(const BlockId& id, const RetainedBlock& block, TimePoint now) const;

  /// Value with which a stored block defends its room against a block of `incoming_team`.
  /// Infinity protects it; an unknown block has none.
  double EvictionValue(const BlockId& id, const std::string& incoming_team, TimePoint now) const;

  /// Returns the stored blocks among `candidates` worth copying to a store, best first, within the
  /// budget and in turns between teams.
  std::vector<BlockId> ChooseWriteBack(const std::vector<BlockId>& candidates,
                                       const WriteBackBudget& budget, TimePoint now) const;

  /// Time in which as many bytes are stored as the tier holds, at most the horizon.
  Duration turnover() const { return turnover_; }

  /// Probability that the block is used again within the horizon.
  double ReuseProbability(const BlockId& id, TimePoint now) const {
    return gaps_.Chance(id, options_.horizon, now);
  }

 private:
  struct TeamState {
    double weight = 1;
    int64_t bytes = 0;
    int64_t blocks = 0;
  };

  void CountTurnover(int64_t bytes);
  double WithFollowers(const BlockId& id, double own, const std::string& incoming_team,
                       TimePoint now) const;
  double FairShare(const std::string& team) const;
  double Discount(const std::string& team, int64_t extra_bytes) const;
  const TeamState& StateOf(const std::string& team) const;

  RetentionOptions options_;
  ReusePredictor gaps_;
  double stored_weight_ = 0;  ///< Sum of the weights of teams with stored blocks.
  absl::flat_hash_map<std::string, TeamState> teams_;
  absl::flat_hash_map<BlockId, RetainedBlock> blocks_;
  /// OnStored blocks that follow a block, whether or not it is stored itself.
  absl::flat_hash_map<BlockId, std::vector<BlockId>> followers_;
  TimePoint now_{};  ///< Of the last observation.
  TimePoint turnover_start_{};
  int64_t turnover_bytes_ = 0;  ///< OnStored since `turnover_start_`.
  Duration turnover_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_RETENTION_POLICY_H_
