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

/// Returns the inventory in force.
using InventorySource = std::function<std::shared_ptr<const Inventory>()>;

struct BlockMoverOptions {
  std::string host;  ///< The runners of this host are followed.
  std::string data_centre;
  int64_t memory_bytes = 64'000'000;  ///< Size of the memory tier.
};

/// Moves KV blocks over HTTP. The blocks of a team, model or weight version are never taken for
/// those of another, because their ids differ.
class BlockMover : public BlockTransfer {
 public:
  BlockMover(boost::asio::io_context& io, HttpClient& client, InventorySource inventory,
             Metrics& metrics, const BlockMoverOptions& options);
  ~BlockMover() override;
  BlockMover(const BlockMover&) = delete;
  BlockMover& operator=(const BlockMover&) = delete;

  /// Follows the runners and stores of the inventory in force. Called periodically.
  void ApplyInventory();

  BlockResidency Residency(const std::string& runner, const std::vector<BlockId>& chain) override;
  Awaitable<PreparedBlocks> Prepare(BlockDemand demand) override;
  void Retain(BlockDemand demand) override;
  void OnEngineReset(const std::string& runner) override;

 private:
  struct RunnerState;
  struct FetchTask;
  struct Located;
  struct Preparation;

  static Awaitable<void> FollowEvents(std::shared_ptr<RunnerState> runner);

  void AdoptRunners();
  Awaitable<void> Locate(Preparation& work);
  Awaitable<void> Import(Preparation& work);
  LeadingFetch Plan(const Preparation& work, TimePoint now) const;
  void StartFetches(Preparation& work, size_t first);
  std::shared_ptr<FetchTask> JoinFetch(Preparation& work, size_t index);
  Awaitable<void> RunFetch(std::shared_ptr<FetchTask> task, StoredCopy copy, FetchTerms terms);
  Awaitable<std::shared_ptr<const std::string>> BytesOf(Preparation& work, size_t index);
  void Release(Preparation& work);

  Awaitable<void> RetainBlocks(BlockDemand demand, std::shared_ptr<RunnerState> runner);
  Awaitable<bool> Export(const BlockDemand& demand, std::shared_ptr<RunnerState> runner,
                         size_t index);
  void Store(const BlockId& id, const RetainedBlock& block, const std::string& bytes);
  void ForgetLost();
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
  BlockSet stored_;  ///< Blocks that a store is known to hold.
  std::map<std::string, std::shared_ptr<RunnerState>> runners_;
  absl::flat_hash_map<BlockId, std::shared_ptr<FetchTask>> fetches_;  ///< In flight.
  BlockSet writing_;                                                  ///< Write-backs in flight.
  int64_t retains_ = 0;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_BLOCK_MOVER_H_
