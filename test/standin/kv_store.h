#ifndef FUCHSIAWEIR_TEST_STANDIN_KV_STORE_H_
#define FUCHSIAWEIR_TEST_STANDIN_KV_STORE_H_

#include <cstdint>

namespace fuchsiaweir::standin {

/// Options of the store stand-in.
struct KvStoreOptions {
  int port = 0;
  int64_t capacity_blocks = 1024;
  int64_t memory_blocks = 1024;  ///< The newest blocks are in memory, the others on disk.
  int64_t disk_delay_ms = 5;     ///< Of each read from disk.
};

/// Stand-in for a KV store host.
///
/// Faults by POST /fault: "down" (connections break), "silent" (no answers), "full", "empty"
/// (forget all blocks, as a replaced host), "bytes_per_second" (0 is unlimited),
/// "die_after_reserve" (end the process at the next write). The numbers "free_during_read",
/// "reuse_during_read" and "corrupt" apply to so many of the next first ranges: free the block
/// after it, put other bytes into its place after it, or change a byte of it.
/// GET /stats returns counters.
void RunKvStore(const KvStoreOptions& options);

}  // namespace fuchsiaweir::standin

#endif  // FUCHSIAWEIR_TEST_STANDIN_KV_STORE_H_
