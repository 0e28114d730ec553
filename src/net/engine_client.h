#ifndef FUCHSIAWEIR_NET_ENGINE_CLIENT_H_
#define FUCHSIAWEIR_NET_ENGINE_CLIENT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/run_outcome.h"
#include "net/awaitable.h"
#include "net/http_client.h"
#include "net/object_api.h"

namespace fuchsiaweir {

/// Request to generate output for a prompt.
struct GenerateRequest {
  std::string run;
  std::vector<std::string> prompt;    ///< Tokens of the prompt.
  std::vector<std::string> produced;  ///< Output tokens of former attempts, to be continued.
  std::vector<std::string> blocks;    ///< Ids of the prompt's complete blocks, in hex.
  int64_t block_tokens = 0;
  int64_t max_tokens = 0;  ///< Maximum length of the output, including `produced`.
  int64_t priority = 0;
};

/// One event of an engine's stream.
struct EngineEvent {
  enum class Type {
    kTokens,    ///< `tokens` continue the output at `offset`.
    kDone,      ///< The output is complete; `finish` and `cached_tokens` are set.
    kRefused,   ///< The engine did not start the run.
    kTimedOut,  ///< Nothing arrived within the timeout.
    kFailed,    ///< The connection or the engine failed.
  };
  Type type = Type::kFailed;
  int64_t offset = 0;
  std::vector<std::string> tokens;
  std::string finish;
  int64_t cached_tokens = 0;  ///< Prompt tokens found in accelerator memory.
  std::string failure;
  /// Stage that the request reached; valid for kRefused, kTimedOut and kFailed.
  RequestStage stage = RequestStage::kAnswerIncomplete;
};

/// Event stream of a run on an engine.
class EngineStream {
 public:
  virtual ~EngineStream() = default;
  /// Returns the next event; kTimedOut when none arrives within the timeout.
  virtual Awaitable<EngineEvent> Next(Duration timeout) = 0;
};

/// Load report of an engine. It describes the engine's state of a short time ago.
struct EngineLoad {
  std::string instance;  ///< Changes when the engine restarts.
  std::string model;
  std::string version;  ///< Weight version of new runs.
  int64_t running = 0;  ///< Runs in the engine's batch.
  int64_t waiting = 0;  ///< Runs in the engine's own queue.
};

/// Result of a load poll.
struct EngineProbe {
  bool unreachable = false;        ///< The connection failed: no engine process listens.
  std::optional<EngineLoad> load;  ///< Absent when no valid report arrived.
};

/// Result of a call without a value.
struct EngineCall {
  CallOutcome outcome = CallOutcome::kNotDone;
  bool refused = false;  ///< The engine responded with an error status.
  std::string failure;
};

/// Result of exporting a block.
struct EngineExport {
  CallOutcome outcome = CallOutcome::kNotDone;
  bool found = false;
  std::string bytes;
};

/// Batch of cache events, which the engine reports with a delay.
struct CacheEvents {
  int64_t next = 0;                  ///< Cursor for the next call.
  bool gap = false;                  ///< Events before this batch were lost.
  std::vector<std::string> added;    ///< Block ids in hex.
  std::vector<std::string> evicted;  ///< Block ids in hex.
};

/// Order to load a weight version.
struct LoadOrder {
  std::string model;
  std::string version;
  int64_t fence = 0;  ///< Fencing token of the order lease.
  std::string proof;  ///< Authenticates the sender to engines that verify it.
};

/// Client of a model engine. No call takes longer than its timeout.
class EngineClient {
 public:
  virtual ~EngineClient() = default;
  virtual Awaitable<std::unique_ptr<EngineStream>> Generate(GenerateRequest request,
                                                            Duration timeout) = 0;
  virtual Awaitable<EngineCall> Cancel(std::string run, Duration timeout) = 0;
  /// Polls the engine's load report.
  virtual Awaitable<EngineProbe> Probe(Duration timeout) = 0;
  /// Returns the cache events after the cursor `after`, or nothing on failure.
  virtual Awaitable<std::optional<CacheEvents>> Events(int64_t after, Duration timeout) = 0;
  virtual Awaitable<EngineExport> ExportBlock(std::string block, Duration timeout) = 0;
  virtual Awaitable<EngineCall> ImportBlock(std::string block, std::string bytes,
                                            Duration timeout) = 0;
  virtual Awaitable<EngineCall> LoadWeights(LoadOrder order, Duration timeout) = 0;
};

/// Returns a client for the engine's HTTP API.
std::unique_ptr<EngineClient> MakeHttpEngineClient(HttpClient& client, Endpoint endpoint);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_ENGINE_CLIENT_H_
