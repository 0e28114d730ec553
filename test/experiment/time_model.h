#ifndef FUCHSIAWEIR_EXPERIMENT_TIME_MODEL_H_
#define FUCHSIAWEIR_EXPERIMENT_TIME_MODEL_H_

#include <cstdint>
#include <list>
#include <set>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "experiment/workload.h"

namespace fuchsiaweir::experiment {

/// Hash of a block's session or shared prefix, weight version and index.
using BlockKey = uint64_t;

/// A medium-sized model has about 100 kB of KV cache per token.
constexpr int64_t kBlockBytes = kBlockTokens * 100'000;
constexpr double kLinkBytesPerSecond = 5e9;
constexpr size_t kEngineCacheBlocks = 64;
constexpr size_t kStoreBlocks = 200;
/// Maximum number of concurrent runs of a warm engine.
constexpr int kRunnerSlots = 32;
/// A call takes one more kServiceCallTime per this many concurrent calls at a booking runner.
constexpr int kServiceSlots = 8;
/// Concurrent runs without overload right after a cold start.
constexpr int kColdLimit = 2;
constexpr size_t kMaxQueuedJobs = 64;
constexpr Duration kServiceCallTime = Millis(8);
constexpr Duration kWeightLoadTime = Millis(1500);

std::vector<BlockKey> BlocksOf(const Request& request, int weight_version);

/// The engine's prefix cache, with least-recently-used eviction.
class PrefixCache {
 public:
  explicit PrefixCache(size_t capacity) : capacity_(capacity) {}
  bool Contains(BlockKey block) const { return entries_.count(block) != 0; }
  /// Inserts the block or marks it as most recently used.
  void Touch(BlockKey block);
  void Clear();
  size_t size() const { return lru_.size(); }
  int64_t change_count() const { return change_count_; }  ///< Insertions and evictions.
  /// Number of leading blocks of `blocks` in the cache.
  int PrefixLength(const std::vector<BlockKey>& blocks) const;

 private:
  size_t capacity_;
  int64_t change_count_ = 0;
  std::list<BlockKey> lru_;
  std::unordered_map<BlockKey, std::list<BlockKey>::iterator> entries_;
};

/// A request placed on a runner.
struct Job {
  const Request* request = nullptr;
  int id = 0;
  int runner = 0;
  std::vector<BlockKey> blocks;
  std::vector<bool> fetched;    ///< Per block: received from a store.
  int64_t position = 0;         ///< Leading prompt tokens whose KV is ready.
  int64_t computed_tokens = 0;  ///< Prompt tokens computed for this job.
  std::vector<bool> awaited;    ///< Per block: prefill waits for its fetch.
  int pending_fetches = 0;      ///< Number of blocks awaited.
  bool admitted = false;
  bool decoding = false;
  TimePoint queued_at{};
  Duration token_time{};

  int64_t remaining() const { return request->prompt_tokens - position; }
};

/// A runner: one engine with batching slots, serial prefill in chunks and a cold-start limit.
struct Runner {
  int id = 0;
  int data_centre = 0;
  bool is_service = false;  ///< A booking runner.
  bool up = true;
  bool draining = false;  ///< Drain order received by the policy.
  bool listed = true;     ///< As the host list shows it, kHostListDelay late.
  bool loading = false;   ///< Weights are being loaded.
  int weight_version = 0;
  int instance = 0;              ///< Number of cold starts.
  int run_limit = kRunnerSlots;  ///< Concurrent runs without overload.
  Job* computing = nullptr;      ///< Job of the chunk in prefill, which cannot be interrupted.
  TimePoint chunk_end{};
  int reported_load = 0;  ///< Load in the last report plus dispatches since.
  PrefixCache cache{kEngineCacheBlocks};
  std::vector<Job*> queue;
  std::vector<Job*> active;

  int load() const { return static_cast<int>(queue.size() + active.size()); }
  bool cold() const { return run_limit < kRunnerSlots; }
  void ResetToCold();
  /// Factor on all engine times. A cold engine starts at about half speed and slows down further
  /// above `run_limit`, which each finished run raises by one.
  double slowdown() const;
  /// Time between tokens in the current batch.
  Duration token_time() const;
};

struct StoredBlock {
  TimePoint last_use;
  TimePoint next_return;  ///< Only for the oracle.
  int team = 0;
  bool read = false;      ///< Fetched at least once.
  int index = 0;          ///< Index in the prompt.
  BlockKey previous = 0;  ///< Preceding block of the prompt, unless `index` is 0.
};

/// Transfer of one block between a store and a runner.
struct Transfer {
  BlockKey block = 0;
  int job = -1;  ///< Job of a fetch, or -1 for a write-back.
  int index = 0;
  TimePoint queued_at{};
  TimePoint deadline{};
  StoredBlock stored{};

  bool write_back() const { return job < 0; }
};

/// A store host and its link, which transfers one block at a time.
struct Store {
  bool up = true;
  double bytes_per_second = kLinkBytesPerSecond;
  std::unordered_map<BlockKey, StoredBlock> blocks;
  std::vector<Transfer> queue;
  bool busy = false;
  TimePoint busy_until{};

  Duration block_transfer_time() const;
};

struct Fleet {
  const Deployment* deployment = nullptr;
  std::vector<Runner> runners;  ///< Language-model runners first, then booking runners.
  std::vector<Store> stores;

  /// Index of the store to which a block is assigned.
  int StoreIndex(BlockKey block) const { return static_cast<int>((block >> 20) % stores.size()); }
  bool IsStored(BlockKey block) const;
  /// Number of consecutive stored blocks from index `from` on.
  int StoredRunLength(const std::vector<BlockKey>& blocks, int from) const;
};

Fleet MakeFleet(const Deployment& deployment);
Duration PrefillTime(int64_t tokens);

}  // namespace fuchsiaweir::experiment

#endif  // FUCHSIAWEIR_EXPERIMENT_TIME_MODEL_H_
