#ifndef FUCHSIAWEIR_CORE_RUN_OUTCOME_H_
#define FUCHSIAWEIR_CORE_RUN_OUTCOME_H_

#include <vector>

#include "core/run_state.h"

namespace fuchsiaweir {

/// Latest stage that one attempt of a request reached.
enum class RequestStage {
  kNotDispatched,          ///< Still queued or refused in this process.
  kNotConnected,           ///< No connection to the next process.
  kConnectedNothingSent,   ///< Connected, but no byte of the request was written.
  kRefusedBeforeDispatch,  ///< The agent refused and reported that no target received it.
  kRefusedByEngine,        ///< The engine's complete response is an admission refusal.
  kWriteStarted,           ///< A write began; the next process may have read the request.
  kAnswerIncomplete,       ///< The target's response started but is not complete.
  kAnswered,               ///< The target's response is complete.
};

/// Returns whether a target executed the attempt. No other function may return `kNotRun` for a
/// request that was dispatched.
RunState RunOutcome(RequestStage stage);

/// Returns the outcome of a request, given the outcomes of all its attempts.
RunState CombineOutcomes(const std::vector<RunState>& attempts);

/// Tracks the stage of one attempt. Ignores transitions that would make `RunOutcome` wrong.
class AttemptProgress {
 public:
  void OnConnecting();
  void OnConnected();
  /// To be called before the first write: a write may reach the target although it fails.
  void OnWriteStarting();
  /// The agent, or the engine if `by_engine`, refused the request completely.
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
