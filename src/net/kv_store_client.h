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

/// Why a store answered that it did not do something.
enum class StoreRefusal {
  kNone,
  kFull,     ///< No room for the block.
  kPresent,  ///< The block is present or under construction.
  kAbsent,   ///< No such block, or its generation differs.
  kOther,
};

/// Result of a call without bytes.
struct StoreCall {
  CallOutcome outcome = CallOutcome::kNotDone;
  StoreRefusal refusal = StoreRefusal::kNone;  ///< Set only when the store answered.
  uint64_t generation = 0;                     ///< Of the reserved place.
  std::string failure;

  bool done() const { return outcome == CallOutcome::kDone; }
};

/// Result of looking up blocks. `headers` has one entry for each wanted block; null when absent.
struct StoreLookup {
  CallOutcome outcome = CallOutcome::kNotDone;
  std::vector<std::optional<BlockHeader>> headers;
};

/// Result of reading a range. The bytes are untrusted until `BlockAssembly::Finish`.
struct StoreRange {
  CallOutcome outcome = CallOutcome::kNotDone;
  bool found = false;
  BlockHeader header;  ///< As held when the range was read.
  std::string bytes;
};

/// A store host for retained KV blocks. Timeouts are passed in; no call waits longer.
class KvStoreClient {
 public:
  virtual ~KvStoreClient() = default;

  /// Takes a place for `length` bytes.
  virtual Awaitable<StoreCall> Reserve(BlockId id, int64_t length, Duration timeout) = 0;
  /// Writes bytes at the end of those already written to the reserved place.
  virtual Awaitable<StoreCall> Write(BlockId id, uint64_t generation, int64_t offset,
                                     std::string bytes, Duration timeout) = 0;
  /// Makes the block readable when length, checksum and generation match.
  virtual Awaitable<StoreCall> Seal(BlockHeader header, Duration timeout) = 0;
  virtual Awaitable<StoreLookup> Lookup(std::vector<BlockId> ids, Duration timeout) = 0;
  /// Reads at most `size` bytes; size 0 reads the header only.
  virtual Awaitable<StoreRange> Read(BlockId id, int64_t offset, int64_t size,
                                     Duration timeout) = 0;
  /// Frees the block of this generation, not a later one.
  virtual Awaitable<StoreCall> Free(BlockId id, uint64_t generation, Duration timeout) = 0;
};

/// Returns a client that speaks the store's HTTP protocol.
std::unique_ptr<KvStoreClient> MakeHttpKvStoreClient(HttpClient& client, Endpoint endpoint);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_KV_STORE_CLIENT_H_
