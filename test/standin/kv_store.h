#ifndef FUCHSIAWEIR_TEST_STANDIN_KV_STORE_H_
#define FUCHSIAWEIR_TEST_STANDIN_KV_STORE_H_

#include <cstdint>

namespace fuchsiaweir::standin {

/// Options of the KV store stand-in.
struct KvStoreOptions {
  int port = 0;
  int64_t capacity_blocks = 1024;
  int64_t memory_blocks = 1024;  ///< The newest blocks, kept in memory; older ones are on disk.
  int64_t disk_delay_ms = 5;     ///< Additional time of each read from disk.
};

/// Stand-in for a KV store host.
///
/// POST /fault sets faults: "down" (close all connections), "silent" (never respond), "full"
/// (refuse new blocks), "empty" (lose all blocks, like a replaced host), "bytes_per_second" (0:
/// unlimited), "die_after_reserve" (exit at the next write). "free_during_read",
/// "reuse_during_read" and "corrupt" are numbers of the next reads of a block's first range that
/// are affected: the block is freed after the range is read, its slot is overwritten after that, or
/// a byte of the range is changed. GET /stats returns counters.
void RunKvStore(const KvStoreOptions& options);

}  // namespace fuchsiaweir::standin

#endif  // FUCHSIAWEIR_TEST_STANDIN_KV_STORE_H_
