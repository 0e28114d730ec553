#include "core/run_outcome.h"

#include <algorithm>

namespace fuchsiaweir {

RunState RunOutcome(RequestStage stage) {
  switch (stage) {
    case RequestStage::kNotDispatched:
    case RequestStage::kNotConnected:
    case RequestStage::kConnectedNothingSent:
    case RequestStage::kRefusedBeforeDispatch:
    case RequestStage::kRefusedByEngine:
      return RunState::kNotRun;
    case RequestStage::kAnswered:
      return RunState::kRan;
    case RequestStage::kWriteStarted:
    case RequestStage::kAnswerIncomplete:
      // A target that began to answer may stop half-way through the work.
      return RunState::kUnknown;
  }
  return RunState::kUnknown;
}

RunState CombineOutcomes(const std::vector<RunState>& attempts) {
  const auto has = [&attempts](RunState state) {
    return std::find(attempts.begin(), attempts.end(), state) != attempts.end();
  };
  if (has(RunState::kRan)) return RunState::kRan;
  return has(RunState::kUnknown) ? RunState::kUnknown : RunState::kNotRun;
}

void AttemptProgress::OnConnecting() {
  if (stage_ == RequestStage::kNotDispatched) stage_ = RequestStage::kNotConnected;
}

void AttemptProgress::OnConnected() {
  if (stage_ <= RequestStage::kNotConnected) stage_ = RequestStage::kConnectedNothingSent;
}

void AttemptProgress::OnWriteStarting() {
  if (stage_ <= RequestStage::kConnectedNothingSent) stage_ = RequestStage::kWriteStarted;
}

void AttemptProgress::OnRefused(bool by_engine) {
  // A refusal after the target's answer began contradicts it, so the answer stands.
  if (stage_ != RequestStage::kWriteStarted) return;
  stage_ = by_engine ? RequestStage::kRefusedByEngine : RequestStage::kRefusedBeforeDispatch;
}

void AttemptProgress::OnAnswerStarted() {
  if (stage_ != RequestStage::kAnswered) stage_ = RequestStage::kAnswerIncomplete;
}

void AttemptProgress::OnAnswerComplete() { stage_ = RequestStage::kAnswered; }

}  // namespace fuchsiaweir
