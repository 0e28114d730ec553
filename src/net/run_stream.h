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

/// What happened on an attempt's stream.
struct RunEvent {
  enum class Kind {
    kTokens,     ///< New output tokens, in order and without repetition.
    kHeartbeat,  ///< The agent still works on the run.
    kDone,       ///< The output is complete.
    kFailed,     ///< The attempt is over; `error` and `stage` tell why.
  };
  Kind kind = Kind::kFailed;
  std::vector<std::string> tokens;
  Error error;
  RequestStage stage = RequestStage::kNotDispatched;
};

/// One attempt of a run at an agent. When its connection breaks or goes silent it opens a new one
/// and attaches at the position that it has reached.
class RunStream {
 public:
  RunStream(HttpClient& client, Endpoint agent, StreamAssembly& assembly, ProgressRules rules,
            TimePoint deadline);

  /// Sends the request. Returns kHeartbeat once the agent has taken it, else kFailed.
  Awaitable<RunEvent> Open(RunRequest request);

  /// Waits for the next event.
  Awaitable<RunEvent> Next();

  /// Tells the agent that nobody waits for the run any more.
  Awaitable<void> Cancel();

 private:
  Awaitable<RunEvent> Recover(std::string failure);
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
