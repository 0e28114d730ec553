#ifndef FUCHSIAWEIR_NET_RUN_STREAM_H_
#define FUCHSIAWEIR_NET_RUN_STREAM_H_

#include <memory>
#include <string>
#include <vector>

#include "core/progress_deadline.h"
#include "core/run_message.h"
#include "core/run_outcome.h"
#include "core/stream_assembly.h"
#include "net/http_client.h"

namespace fuchsiaweir {

/// Event on the stream of an attempt.
struct RunEvent {
  enum class Type {
    kTokens,     ///< New output tokens, in order and without duplicates.
    kHeartbeat,  ///< The run is in progress, without new output.
    kDone,       ///< The output is complete.
    kFailed,     ///< The attempt has ended; see `error` and `stage`.
  };
  Type type = Type::kFailed;
  std::vector<std::string> tokens;
  Error error;
  RequestStage stage = RequestStage::kNotDispatched;
};

/// One attempt of a run at an agent. After a connection is lost or times out, it reconnects and
/// attaches at the current position.
class RunStream {
 public:
  RunStream(HttpClient& client, Endpoint agent, StreamAssembly& assembly, ProgressRules rules,
            TimePoint deadline);

  /// Sends the request. Returns kHeartbeat once the agent has accepted it, else kFailed.
  Awaitable<RunEvent> Open(RunRequest request);

  /// Waits for the next event.
  Awaitable<RunEvent> Next();

  /// Closes the stream and requests the agent to cancel the run.
  Awaitable<void> Cancel();

 private:
  Awaitable<RunEvent> Reconnect(std::string failure);
  Awaitable<HttpStreamResult> Attach();
  RunEvent ToEvent(const Frame& frame, Delivery delivery);
  std::string RunTarget() const;

  HttpClient& client_;
  Endpoint agent_;
  StreamAssembly& assembly_;
  ProgressRules rules_;
  TimePoint deadline_;
  ProgressDeadline progress_;
  AttemptProgress attempt_;
  std::unique_ptr<HttpStream> stream_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_RUN_STREAM_H_
