#ifndef FUCHSIAWEIR_CORE_STREAM_ASSEMBLY_H_
#define FUCHSIAWEIR_CORE_STREAM_ASSEMBLY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/frame.h"

namespace fuchsiaweir {

/// What the receiver did with a frame.
enum class FrameVerdict {
  kAccepted,   ///< In order; a frame without tokens counts as a heartbeat.
  kDuplicate,  ///< Holds nothing beyond the position.
  kForeign,    ///< Belongs to another run or attempt, or follows the end of the attempt.
  kGap,        ///< Starts beyond the position, or ends the output before it.
  kFailed,     ///< Ends the attempt with an error.
};

/// Verdict and the tokens to deliver to the caller.
struct Delivery {
  FrameVerdict verdict = FrameVerdict::kForeign;
  std::vector<std::string> tokens;
};

/// Receiver of the frames of one run: delivers each token once and in order.
class StreamAssembly {
 public:
  StreamAssembly(std::string run, int64_t attempt);

  Delivery Accept(const Frame& frame);

  /// Continues with a later attempt from `position()`. Returns false, without effect, when the
  /// attempt is not later than the current one or the output is complete.
  bool Resume(int64_t attempt);

  const std::string& run() const { return run_; }
  int64_t attempt() const { return attempt_; }
  int64_t position() const { return position_; }  ///< Tokens delivered so far.
  bool complete() const { return complete_; }
  const std::string& finish() const { return finish_; }  ///< Set when complete.
  const Usage& usage() const { return usage_; }          ///< Set when complete.

  /// Success when the output is complete, otherwise kIncompleteAnswer. Asked when a stream ends.
  Result<void> End() const;

 private:
  std::string run_;
  int64_t attempt_;
  int64_t position_ = 0;
  bool attempt_ended_ = false;
  bool complete_ = false;
  std::string finish_;
  Usage usage_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_STREAM_ASSEMBLY_H_
