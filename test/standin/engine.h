#ifndef FUCHSIAWEIR_TEST_STANDIN_ENGINE_H_
#define FUCHSIAWEIR_TEST_STANDIN_ENGINE_H_

#include <cstdint>
#include <string>

namespace fuchsiaweir::standin {

/// Options of the engine stand-in.
struct EngineOptions {
  int port = 0;
  std::string model = "model";
  std::string version = "v1";
  int64_t prefill_tokens_per_second = 100'000;
  int64_t token_micros = 2'000;  ///< Time between two output tokens of one run.
  int64_t cache_blocks = 64;     ///< Blocks in accelerator memory.
  int64_t max_concurrent = 16;   ///< Runs in one batch; more runs slow down decoding.
  int64_t cold_limit = 1;        ///< Maximum runs on a cold engine; more make all of them fail.
  int64_t warm_up_runs = 4;      ///< Completed runs after which the engine is warm.
  int64_t event_lag_ms = 200;    ///< Delay of cache events and load reports.
  int64_t kv_bytes_per_token = 16;
  bool checks_fence = true;
  std::string platform;  ///< "ADDRESS:PORT" of the weight store; empty: loads take no time.
};

/// Stand-in for a model engine: continuous batching with a prefill and decode time model, prefix
/// cache, priorities, resume, cancel, KV export and import, delayed cache events and load reports,
/// cold start and load orders. The output is a function of the prompt, so that a caller can check
/// it: token i is " t" followed by a number hashed from the prompt and i.
///
/// POST /fault sets faults: "crash" (exit at once), "crash_on" (exit when a prompt contains this
/// text), "cold" (become cold unannounced), "silent" (streams stop sending), "cut_after" (abort
/// streams after this number of tokens), "drop_events" (lose this number of the next cache events).
/// GET /stats returns counters.
void RunEngine(const EngineOptions& options);

}  // namespace fuchsiaweir::standin

#endif  // FUCHSIAWEIR_TEST_STANDIN_ENGINE_H_
