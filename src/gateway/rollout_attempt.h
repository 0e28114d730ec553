#ifndef FUCHSIAWEIR_GATEWAY_ROLLOUT_ATTEMPT_H_
#define FUCHSIAWEIR_GATEWAY_ROLLOUT_ATTEMPT_H_

#include <string>

namespace fuchsiaweir {

/// What the rollout of a service's version has to know of a request.
struct RolloutAttempt {
  bool sent_before = false;  ///< The request was sent to a runner.
  bool sent = false;         ///< By the attempt in progress.
  std::string version;       ///< Of the runner of the attempt in progress.
  bool cold = false;         ///< That runner was cold.
};

/// How an attempt ended, as evidence about the version of its runner.
enum class RolloutOutcome {
  kNone,
  kServed,
  kFailed,
  kLeft,  ///< The caller left before the end.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_ROLLOUT_ATTEMPT_H_
