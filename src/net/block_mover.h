#ifndef FUCHSIAWEIR_NET_BLOCK_MOVER_H_
#define FUCHSIAWEIR_NET_BLOCK_MOVER_H_

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/block_arena.h"
#include "core/block_set.h"
#include "core/inventory.h"
#include "core/leading_fetch.h"
#include "core/retention_policy.h"
#include "core/runner_residency.h"
#include "net/block_transfer.h"
#include "net/engine_client.h"
#include "net/metrics.h"
#include "net/store_set.h"

namespace fuchsiaweir {

/// Returns the current inventory.
using InventorySource = std::function<std::shared_ptr<const Inventory>()>;

struct BlockMoverOptions {
  std::string host;  ///< Blocks are moved for the runners of this host.
  std::string data_centre;
  int64_t memory_bytes = 64'000'000;  ///< Capacity of the memory tier.
};

/// Moves KV blocks over HTTP. Block ids include the team, model and weight version, so a block is
/// never used for another team, model or version.
class BlockMover : public BlockTransfer {
 public:
  BlockMover(boost::asio::io_context& io, HttpClient& client, InventorySource inventory,
             Metrics& metrics, const BlockMoverOptions& options);
  ~BlockMover() override;
  BlockMover(const BlockMover&) = delete;
  BlockMover& operator=(const BlockMover&) = delete;

  /// Updates runners, stores and team weights from the current inventory. Called periodically.
  void ApplyInventory();

  BlockResidency Residency(const std::string& runner, const std::vector<BlockId>& chain) override;
  Awaitable<PreparedBlocks> Prepare(BlockDemand demand) override;
  void Retain(BlockDemand demand) override;
  void OnEngineReset(const std::string& runner) override;

 private:
  struct RunnerState;
  struct FetchTask;
  struct LocatedBlock;
  struct Preparation;

  /// Polls the runner's cache events and applies them to its residency.
  static Awaitable<void> PollEvents(std::shared_ptr<RunnerState> runner);

  void UpdateRunners();
  /// Finds the blocks after the resident ones that the memory tier or a store holds, up to the
  /// first missing one.
  Awaitable<void> LocateBlocks(Preparation& prep);
  Awaitable<void> ImportBlocks(Preparation& prep);
  LeadingFetch PlanFetch(const Preparation& prep, TimePoint now) const;
  void StartFetches(Preparation& prep, size_t first);
  std::shared_ptr<FetchTask> JoinOrStartFetch(Preparation& prep, size_t index);
  Awaitable<void> RunFetch(std::shared_ptr<FetchTask> task, StoredCopy copy, FetchOptions options);
  Awaitable<std::shared_ptr<const std::string>> AwaitBytes(Preparation& prep, size_t index);
  void ReleaseFetches(Preparation& prep);

  Awaitable<void> RetainBlocks(BlockDemand demand, std::shared_ptr<RunnerState> runner);
  Awaitable<bool> Export(const BlockDemand& demand, std::shared_ptr<RunnerState> runner,
                         size_t index);
  void StoreInMemory(const BlockId& id, const RetainedBlock& block, const std::string& bytes);
  /// Reports blocks that left the memory tier to the retention policy.
  void ReportRemovals();
  void StartWriteBack(const BlockDemand& demand);
  Awaitable<void> WriteBack(BlockId id, std::string team, int64_t bytes);

  void CountRecomputed(const std::string& reason, size_t blocks);
  void CountDropped(const std::string& reason);
  void CountFailedChecks(const std::string& tier, const std::string& reason, int64_t count);

  boost::asio::io_context& io_;
  HttpClient& client_;
  std::string host_;
  StoreSet stores_;
  InventorySource inventory_source_;
  std::shared_ptr<const Inventory> inventory_;
  Metrics& metrics_;
  BlockArena arena_;
  RetentionPolicy policy_;
  BlockSet stored_;  ///< Blocks that a store probably holds.
  std::map<std::string, std::shared_ptr<RunnerState>> runners_;
  absl::flat_hash_map<BlockId, std::shared_ptr<FetchTask>> active_fetches_;  ///< By block.
  BlockSet active_write_backs_;
  int64_t active_retains_ = 0;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_BLOCK_MOVER_H_
