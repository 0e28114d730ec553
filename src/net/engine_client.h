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

/// A prompt for an engine.
struct GenerateRequest {
  std::string run;
  std::vector<std::string> prompt;    ///< Tokens of the prompt.
  std::vector<std::string> produced;  ///< Output tokens that another attempt already produced.
  std::vector<std::string> blocks;    ///< Ids of the prompt's whole blocks, in hex.
  int64_t block_tokens = 0;
  int64_t max_tokens = 0;  ///< Of the whole output, produced tokens included.
  int64_t priority = 0;
};

/// One event of an engine's stream.
struct EngineEvent {
  enum class Kind {
    kTokens,    ///< `tokens` continue the output at `offset`.
    kDone,      ///< The output is complete; `finish` and `cached_tokens` are set.
    kRefused,   ///< The engine did not start the run.
    kTimedOut,  ///< Nothing arrived within the timeout.
    kFailed,    ///< The connection or the engine failed.
  };
  Kind kind = Kind::kFailed;
  int64_t offset = 0;
  std::vector<std::string> tokens;
  std::string finish;
  int64_t cached_tokens = 0;  ///< Prompt tokens found in accelerator memory.
  std::string failure;
  /// How far the run came when the kind is kRefused, kTimedOut or kFailed.
  RequestStage stage = RequestStage::kAnswerIncomplete;
};

/// A run in progress on an engine.
class EngineStream {
 public:
  virtual ~EngineStream() = default;
  virtual Awaitable<EngineEvent> Next(Duration timeout) = 0;
};

/// What an engine reports of itself; the report lags.
struct EngineLoad {
  std::string instance;  ///< Changes when the engine restarts.
  std::string model;
  std::string version;  ///< Weight version that new runs use.
  int64_t running = 0;
  int64_t waiting = 0;
};

/// Answer to a load poll.
struct EngineProbe {
  bool unreachable = false;  ///< No connection could be opened, so no engine process listens.
  std::optional<EngineLoad> load;
};

/// Result of a call without a value.
struct EngineCall {
  CallOutcome outcome = CallOutcome::kNotDone;
  bool refused = false;  ///< The engine answered that it does not accept the call.
  std::string failure;
};

/// Result of exporting a block.
struct EngineExport {
  CallOutcome outcome = CallOutcome::kNotDone;
  bool found = false;
  std::string bytes;
};

/// Late cache events with gaps: `next` continues the sequence, `gap` tells that events were lost.
struct CacheEvents {
  int64_t next = 0;
  bool gap = false;
  std::vector<std::string> added;    ///< Block ids in hex.
  std::vector<std::string> evicted;  ///< Block ids in hex.
};

/// Order to load a weight version.
struct LoadOrder {
  std::string model;
  std::string version;
  int64_t fence = 0;
  std::string proof;  ///< Shows who gives the order, for engines that check it.
};

/// A model engine. Timeouts are passed in; no call waits longer.
class EngineClient {
 public:
  virtual ~EngineClient() = default;
  virtual Awaitable<std::unique_ptr<EngineStream>> Generate(GenerateRequest request,
                                                            Duration timeout) = 0;
  virtual Awaitable<EngineCall> Cancel(std::string run, Duration timeout) = 0;
  virtual Awaitable<EngineProbe> Probe(Duration timeout) = 0;
  virtual Awaitable<std::optional<CacheEvents>> Events(int64_t after, Duration timeout) = 0;
  virtual Awaitable<EngineExport> ExportBlock(std::string block, Duration timeout) = 0;
  virtual Awaitable<EngineCall> ImportBlock(std::string block, std::string bytes,
                                            Duration timeout) = 0;
  virtual Awaitable<EngineCall> LoadWeights(LoadOrder order, Duration timeout) = 0;
};

/// Returns a client that speaks the engine's HTTP protocol.
std::unique_ptr<EngineClient> MakeHttpEngineClient(HttpClient& client, Endpoint endpoint);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_ENGINE_CLIENT_H_
