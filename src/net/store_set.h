#ifndef FUCHSIAWEIR_NET_STORE_SET_H_
#define FUCHSIAWEIR_NET_STORE_SET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/inventory.h"
#include "net/store_link.h"

namespace fuchsiaweir {

/// A copy of a block that a lookup found in a store.
struct StoredCopy {
  std::shared_ptr<StoreLink> link;
  BlockHeader header;
};

enum class FetchOutcome {
  kDone,
  kLate,         ///< The deadline passed, or recomputing became as fast.
  kUnreachable,  ///< The store did not respond.
  kGone,         ///< The store no longer has the block, or reused its slot.
  kFailedCheck,  ///< The bytes do not match the block's checksum or header.
  kUnwanted,     ///< No prompt needs it any more.
};

/// Returns the name in metrics, for example "failed_check".
std::string_view Name(FetchOutcome outcome);

/// Limits of a fetch, and the recompute estimate that it competes with.
struct FetchOptions {
  std::string team;
  TimePoint deadline{};
  TimePoint runner_available_at{};  ///< When the runner can start to recompute.
  Duration prefill_left{0};         ///< Prefill time of this block and the following ones.
  std::function<bool()> wanted;     ///< Whether a prompt still needs the block.
};

struct FetchResult {
  FetchOutcome outcome = FetchOutcome::kUnreachable;
  std::string bytes;         ///< The verified block; only for kDone.
  int64_t wasted_bytes = 0;  ///< Received and discarded.
};

enum class WriteBackOutcome {
  kDone,
  kPresent,      ///< The store already has the block.
  kDropped,      ///< The link was too slow or its queue too long.
  kFull,         ///< No store has space.
  kUnreachable,  ///< No store responded.
  kEvicted,      ///< The block left the memory tier before its transfer started.
};

/// Returns the name in metrics, for example "dropped".
std::string_view Name(WriteBackOutcome outcome);

/// A block to copy to a store. `read` is called when the transfer starts; it returns the bytes, or
/// nullopt if the block has left the memory tier.
struct WriteBackRequest {
  BlockId id;
  std::string team;
  int64_t bytes = 0;
  std::function<std::optional<std::string>()> read;
};

/// The store hosts of the inventory. Rendezvous hashing maps block ids to stores, so no directory
/// is needed.
class StoreSet {
 public:
  StoreSet(boost::asio::io_context& io, HttpClient& client, std::string data_centre);

  /// Updates the stores and team weights from an inventory.
  void ApplyInventory(const Inventory& inventory);

  /// Returns the stores that may hold a block, stores of this data centre first.
  std::vector<std::shared_ptr<StoreLink>> LinksForReading(const BlockId& id) const;

  /// Looks the blocks up with one request per store. Returns null for blocks without a copy.
  Awaitable<std::vector<std::optional<StoredCopy>>> Lookup(std::vector<BlockId> ids,
                                                           Duration timeout);

  /// Reads and verifies a block. Ends shortly after the deadline at the latest.
  Awaitable<FetchResult> Fetch(StoredCopy copy, FetchOptions options);

  /// Copies a block to the first of its stores that accepts it.
  Awaitable<WriteBackOutcome> WriteBack(WriteBackRequest request);

 private:
  /// Returns the stores of a block in rendezvous order.
  std::vector<std::shared_ptr<StoreLink>> LinksByRank(const BlockId& id) const;

  boost::asio::io_context& io_;
  HttpClient& client_;
  std::string data_centre_;
  std::map<std::string, std::shared_ptr<StoreLink>> links_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_STORE_SET_H_
