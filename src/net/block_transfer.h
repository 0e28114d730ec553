#ifndef FUCHSIAWEIR_NET_BLOCK_TRANSFER_H_
#define FUCHSIAWEIR_NET_BLOCK_TRANSFER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/block_chain.h"
#include "core/clock.h"
#include "net/awaitable.h"

namespace fuchsiaweir {

/// Where the leading blocks of a prompt are, as far as the agent knows.
struct BlockResidency {
  int64_t resident_blocks = 0;   ///< Leading blocks in the runner's accelerator memory.
  int64_t fetchable_blocks = 0;  ///< Blocks after them that the memory tier or a store may hold.
  int64_t link_queue_bytes = 0;
  int64_t link_bytes_per_second = 0;
};

/// A prompt about to run on a runner of this agent.
struct BlockDemand {
  std::string runner;
  std::string team;
  std::string model;
  std::vector<BlockId> chain;
  int64_t block_tokens = 0;
  int64_t prompt_tokens = 0;
  int64_t backlog_tokens = 0;  ///< Prefilled by the engine before this prompt.
  int64_t prefill_tokens_per_second = 0;
  Duration time_left{0};  ///< Until the first token is due.
};

/// What was made resident for a run.
struct PreparedBlocks {
  int64_t fetched_tokens = 0;
};

/// Moves KV blocks between the engine, the agent's memory tier and the store hosts.
class BlockTransfer {
 public:
  virtual ~BlockTransfer() = default;

  /// Returns what a bid needs to know; does no I/O.
  virtual BlockResidency Residency(const std::string& runner,
                                   const std::vector<BlockId>& chain) = 0;

  /// Fetches the blocks that arrive sooner than computing them and imports them into the engine.
  /// Returns at the latest when recomputing would have begun to be faster. Never fails: what could
  /// not be fetched is a miss.
  virtual Awaitable<PreparedBlocks> Prepare(BlockDemand demand) = 0;

  /// Retains the blocks of a run that ended and writes back what is worth it, in the background.
  virtual void Retain(BlockDemand demand) = 0;

  /// Forgets what is known of a runner's accelerator memory, because its engine restarted or loaded
  /// other weights.
  virtual void OnEngineReset(const std::string& runner) = 0;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_BLOCK_TRANSFER_H_
