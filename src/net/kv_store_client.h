#ifndef FUCHSIAWEIR_NET_KV_STORE_CLIENT_H_
#define FUCHSIAWEIR_NET_KV_STORE_CLIENT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/block_arena.h"
#include "core/clock.h"
#include "net/awaitable.h"
#include "net/http_client.h"
#include "net/object_api.h"

namespace fuchsiaweir {

/// Reason for an error response of a store.
enum class StoreRefusal {
  kNone,
  kFull,     ///< No space for the block.
  kPresent,  ///< The block is stored or reserved already.
  kAbsent,   ///< No such block, or it has another generation.
  kOther,
};

/// Result of a call that returns no block bytes.
struct StoreCall {
  CallOutcome outcome = CallOutcome::kNotDone;
  StoreRefusal refusal = StoreRefusal::kNone;  ///< Set only for an error response.
  uint64_t generation = 0;                     ///< Generation of the reserved slot.
  std::string failure;

  bool done() const { return outcome == CallOutcome::kDone; }
};

/// Result of a lookup. `headers` has one entry per requested block; null if the block is absent.
struct StoreLookup {
  CallOutcome outcome = CallOutcome::kNotDone;
  std::vector<std::optional<BlockHeader>> headers;
};

/// Result of reading a range. The bytes are untrusted until `BlockAssembly::Finish`.
struct StoreRange {
  CallOutcome outcome = CallOutcome::kNotDone;
  bool found = false;
  BlockHeader header;  ///< The store's header of the block when the range was read.
  std::string bytes;
};

/// Client of a store host for retained KV blocks. No call takes longer than its timeout.
class KvStoreClient {
 public:
  virtual ~KvStoreClient() = default;

  /// Reserves a slot for `length` bytes.
  virtual Awaitable<StoreCall> Reserve(BlockId id, int64_t length, Duration timeout) = 0;
  /// Appends bytes to the reserved slot. `offset` is the number of bytes written before.
  virtual Awaitable<StoreCall> Write(BlockId id, uint64_t generation, int64_t offset,
                                     std::string bytes, Duration timeout) = 0;
  /// Makes the block readable if length, checksum and generation match.
  virtual Awaitable<StoreCall> Seal(BlockHeader header, Duration timeout) = 0;
  virtual Awaitable<StoreLookup> Lookup(std::vector<BlockId> ids, Duration timeout) = 0;
  /// Reads at most `size` bytes; size 0 reads the header only.
  virtual Awaitable<StoreRange> Read(BlockId id, int64_t offset, int64_t size,
                                     Duration timeout) = 0;
  /// Frees the block if it has this generation.
  virtual Awaitable<StoreCall> Free(BlockId id, uint64_t generation, Duration timeout) = 0;
};

/// Returns a client for the store's HTTP API.
std::unique_ptr<KvStoreClient> MakeHttpKvStoreClient(HttpClient& client, Endpoint endpoint);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_KV_STORE_CLIENT_H_
