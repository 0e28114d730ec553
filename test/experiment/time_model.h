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

/// Identity of a block: team, session or shared prefix, weight version and index.
using BlockKey = uint64_t;

/// 100 kB of KV per token is usual for a model of medium size.
constexpr int64_t kBlockBytes = kBlockTokens * 100'000;
constexpr double kLinkBytesPerSecond = 5e9;
constexpr size_t kEngineCacheBlocks = 64;
constexpr size_t kStoreBlocks = 200;
constexpr int kRunnerSlots = 32;
constexpr int kServiceSlots = 8;
constexpr int kColdLimit = 2;
constexpr size_t kMaxQueue = 64;
constexpr Duration kServiceTime = Millis(8);
constexpr Duration kWeightLoad = Millis(1500);

std::vector<BlockKey> BlocksOf(const Request& request, int weight_version);

/// The engine's prefix cache: the least recently used block leaves first.
class PrefixCache {
 public:
  explicit PrefixCache(size_t capacity) : capacity_(capacity) {}
  bool Contains(BlockKey block) const { return places_.count(block) != 0; }
  void Use(BlockKey block);
  void Clear();
  size_t size() const { return order_.size(); }
  int64_t changes() const { return changes_; }  ///< Blocks that came or left.
  /// Number of leading blocks of `blocks` in the cache.
  int Prefix(const std::vector<BlockKey>& blocks) const;

 private:
  size_t capacity_;
  int64_t changes_ = 0;
  std::list<BlockKey> order_;
  std::unordered_map<BlockKey, std::list<BlockKey>::iterator> places_;
};

/// A request at a runner.
struct Job {
  const Request* request = nullptr;
  int id = 0;
  int runner = 0;
  std::vector<BlockKey> blocks;
  std::vector<bool> fetched;  ///< Per block: it arrived over a link.
  int64_t position = 0;       ///< Prompt tokens whose KV is ready.
  int64_t computed = 0;       ///< Prompt tokens that this job computed.
  std::vector<bool> awaited;  ///< Per block: prefill waits for its fetch.
  int pending_fetches = 0;    ///< Blocks awaited.
  bool admitted = false;
  bool decoding = false;
  TimePoint queued_at{};
  Duration token_time{};

  int64_t remaining() const { return request->prompt_tokens - position; }
};

/// One engine with batching slots, serial prefill in blocks and a cold-start limit.
struct Runner {
  int id = 0;
  int data_centre = 0;
  bool plain = false;  ///< A booking runner.
  bool up = true;
  bool draining = false;  ///< Ordered out of service.
  bool listed = true;     ///< As the lagging host list shows it.
  bool loading = false;   ///< Weights are being loaded.
  int weight_version = 0;
  int instance = 0;                  ///< Counts cold starts.
  int cold_capacity = kRunnerSlots;  ///< Concurrent runs that the engine bears now.
  Job* computing = nullptr;  ///< The job whose chunk is in prefill; it cannot be interrupted.
  TimePoint chunk_end{};
  int reported_load = 0;  ///< Load in the last report plus dispatches since.
  PrefixCache cache{kEngineCacheBlocks};
  std::vector<Job*> queue;
  std::vector<Job*> active;

  int load() const { return static_cast<int>(queue.size() + active.size()); }
  bool cold() const { return cold_capacity < kRunnerSlots; }
  void TurnCold();
  /// Slowdown of all work: cold engines start at half speed and collapse above their limit.
  /// Each completed run raises the limit by one.
  double slowdown() const;
  /// Time between tokens of the present batch.
  Duration token_time() const;
};

struct StoredBlock {
  TimePoint last_use;
  TimePoint next_return;  ///< For the oracle.
  int team = 0;
  bool read = false;
  int index = 0;          ///< Place in the prompt.
  BlockKey previous = 0;  ///< The block before it, unless `index` is 0.
};

/// One block on its way between a store and a runner.
struct Transfer {
  BlockKey block = 0;
  int job = -1;  ///< The waiting job, or -1 for a write-back.
  int index = 0;
  TimePoint queued_at{};
  TimePoint deadline{};
  StoredBlock stored{};

  bool write_back() const { return job < 0; }
};

/// A store host and its link, which carries one block at a time.
struct Store {
  bool up = true;
  double bytes_per_second = kLinkBytesPerSecond;
  std::unordered_map<BlockKey, StoredBlock> blocks;
  std::vector<Transfer> queue;
  bool busy = false;
  TimePoint busy_until{};

  Duration block_time() const;
};

struct Fleet {
  const Deployment* deployment = nullptr;
  std::vector<Runner> runners;  ///< Language-model runners first, then booking runners.
  std::vector<Store> stores;

  /// The store that may hold a block.
  int StoreOf(BlockKey block) const { return static_cast<int>((block >> 20) % stores.size()); }
  bool Stored(BlockKey block) const;
  /// Stored blocks that follow the first `from` ones without a gap.
  int StoredRun(const std::vector<BlockKey>& blocks, int from) const;
};

Fleet MakeFleet(const Deployment& deployment);
Duration PrefillTime(int64_t tokens);

}  // namespace fuchsiaweir::experiment

#endif  // FUCHSIAWEIR_EXPERIMENT_TIME_MODEL_H_
