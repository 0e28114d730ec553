#ifndef FUCHSIAWEIR_CORE_RUN_OUTCOME_H_
#define FUCHSIAWEIR_CORE_RUN_OUTCOME_H_

#include <vector>

#include "core/run_state.h"

namespace fuchsiaweir {

/// The furthest point that one attempt of a request reached.
enum class RequestStage {
  kNotDispatched,          ///< Still queued or refused in this process.
  kNotConnected,           ///< No connection to the next hop.
  kConnectedNothingSent,   ///< A connection, but no byte of the request was written to it.
  kRefusedBeforeDispatch,  ///< The agent answered that it gave the request to no target.
  kRefusedByEngine,        ///< The engine's complete answer is its protocol's admission refusal.
  kWriteStarted,           ///< A write began; the next hop may have read the request.
  kAnswerIncomplete,       ///< The target began to answer and the answer broke off.
  kAnswered,               ///< The target's answer is complete.
};

/// Decides whether a target executed the attempt. It is the only function that may say `kNotRun`
/// about a request that was dispatched.
RunState RunOutcome(RequestStage stage);

/// Outcome of a request from the outcomes of all its attempts.
RunState CombineOutcomes(const std::vector<RunState>& attempts);

/// Follows one attempt. The stage only moves in ways that keep `RunOutcome` true.
class AttemptProgress {
 public:
  void OnConnecting();
  void OnConnected();
  /// Called before the first write, not after it: the write may reach the target and then fail.
  void OnWriteStarting();
  /// A complete refusal by the agent or the engine; `by_engine` tells which.
  void OnRefused(bool by_engine);
  void OnAnswerStarted();
  void OnAnswerComplete();

  RequestStage stage() const { return stage_; }
  RunState outcome() const { return RunOutcome(stage_); }

 private:
  RequestStage stage_ = RequestStage::kNotDispatched;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_RUN_OUTCOME_H_
