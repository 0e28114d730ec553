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

/// A copy of a block that a store announced.
struct StoredCopy {
  std::shared_ptr<StoreLink> link;
  BlockHeader header;
};

enum class FetchEnd {
  kDone,
  kLate,         ///< Stopped, because recomputing had become as fast.
  kUnreachable,  ///< The store did not answer.
  kGone,         ///< The store no longer holds the block, or another one in its place.
  kFailedCheck,  ///< The bytes are not the block.
  kUnwanted,     ///< Nobody waits for it any more.
};

/// Returns the name for metrics, for example "failed_check".
std::string_view Name(FetchEnd end);

/// What a fetch may do and what to compare it with.
struct FetchTerms {
  std::string team;
  TimePoint deadline{};
  TimePoint slot{};          ///< When the runner can start to compute instead.
  Duration prefill_left{0};  ///< Prefill time of this block and those after it.
  std::function<bool()> wanted;
};

struct FetchResult {
  FetchEnd end = FetchEnd::kUnreachable;
  std::string bytes;         ///< The verified block when the end is kDone.
  int64_t wasted_bytes = 0;  ///< Received and discarded.
};

enum class WriteEnd {
  kDone,
  kPresent,      ///< The store already has the block.
  kDropped,      ///< The link had no spare capacity.
  kFull,         ///< No store had room.
  kUnreachable,  ///< No store answered.
  kEvicted,      ///< The block left the memory tier before its turn.
};

/// Returns the name for metrics, for example "dropped".
std::string_view Name(WriteEnd end);

/// A block to copy to a store. `read` returns its bytes when the transfer starts.
struct WriteBackOrder {
  BlockId id;
  std::string team;
  int64_t bytes = 0;
  std::function<std::optional<std::string>()> read;
};

/// The store hosts of the inventory. The stores of a block follow from its id by rendezvous
/// hashing, so that no directory is needed.
class StoreSet {
 public:
  StoreSet(boost::asio::io_context& io, HttpClient& client, std::string data_centre);

  /// Adopts the stores and team weights of an inventory.
  void ApplyInventory(const Inventory& inventory);

  /// Returns the stores that may hold a block, stores of this data centre first.
  std::vector<std::shared_ptr<StoreLink>> ForReading(const BlockId& id) const;

  /// Asks the stores for the blocks, each store once. Returns null for blocks without a copy.
  Awaitable<std::vector<std::optional<StoredCopy>>> Lookup(std::vector<BlockId> ids,
                                                           Duration timeout);

  /// Reads and verifies a block. Returns soon after the deadline at the latest.
  Awaitable<FetchResult> Fetch(StoredCopy copy, FetchTerms terms);

  /// Copies a block to the first of its stores that accepts it.
  Awaitable<WriteEnd> WriteBack(WriteBackOrder order);

 private:
  std::vector<std::shared_ptr<StoreLink>> ByRank(const BlockId& id) const;

  boost::asio::io_context& io_;
  HttpClient& client_;
  std::string data_centre_;
  std::map<std::string, std::shared_ptr<StoreLink>> links_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_STORE_SET_H_
