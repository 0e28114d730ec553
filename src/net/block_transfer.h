#ifndef FUCHSIAWEIR_NET_BLOCK_TRANSFER_H_
#define FUCHSIAWEIR_NET_BLOCK_TRANSFER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/block_chain.h"
#include "core/clock.h"
#include "net/awaitable.h"

namespace fuchsiaweir {

/// The agent's view of the location of a prompt's leading blocks.
struct BlockResidency {
  int64_t resident_blocks = 0;   ///< Leading blocks in the runner's accelerator memory.
  int64_t fetchable_blocks = 0;  ///< Blocks after them that the memory tier or a store may hold.
  int64_t link_queue_bytes = 0;  ///< Longest queue of the links to the fetchable blocks.
  int64_t link_bytes_per_second = 0;  ///< Lowest rate of these links and of the engine's import.
};

/// A prompt to run on a runner of this agent.
struct BlockDemand {
  std::string runner;
  std::string team;
  std::string model;
  std::vector<BlockId> chain;
  int64_t block_tokens = 0;
  int64_t prompt_tokens = 0;
  int64_t backlog_tokens = 0;  ///< Tokens in prefill on the engine ahead of this prompt.
  int64_t prefill_tokens_per_second = 0;
  Duration time_left{0};  ///< Time until the first token is due.
};

/// Result of preparing the blocks of a prompt.
struct PreparedBlocks {
  int64_t fetched_tokens = 0;  ///< Prompt tokens of the imported blocks.
};

/// Moves KV blocks between the engine, the agent's memory tier and the store hosts.
class BlockTransfer {
 public:
  virtual ~BlockTransfer() = default;

  /// Returns the residency of a prompt for a bid. Does no I/O.
  virtual BlockResidency Residency(const std::string& runner,
                                   const std::vector<BlockId>& chain) = 0;

  /// Fetches the blocks that arrive sooner than they can be computed and imports them into the
  /// engine. Returns at the latest when recomputing becomes faster. A block that can't be fetched
  /// is a cache miss, not an error.
  virtual Awaitable<PreparedBlocks> Prepare(BlockDemand demand) = 0;

  /// Retains the blocks of a completed run in the memory tier and writes those with enough expected
  /// reuse back to the stores. Runs in the background.
  virtual void Retain(BlockDemand demand) = 0;

  /// Clears the view of a runner's accelerator memory after its engine restarted or loaded other
  /// weights.
  virtual void OnEngineReset(const std::string& runner) = 0;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_BLOCK_TRANSFER_H_
