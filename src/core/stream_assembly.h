#ifndef FUCHSIAWEIR_CORE_STREAM_ASSEMBLY_H_
#define FUCHSIAWEIR_CORE_STREAM_ASSEMBLY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/frame.h"

namespace fuchsiaweir {

/// Result of accepting a frame.
enum class FrameVerdict {
  kAccepted,   ///< In order; a frame without tokens is a heartbeat.
  kDuplicate,  ///< Contains no tokens after the position.
  kMismatch,   ///< Belongs to another run or attempt, or arrived after the end of the attempt.
  kGap,        ///< Starts after the position, or completes the output before it.
  kFailed,     ///< Ends the attempt with an error.
};

/// Verdict on a frame, and the tokens to deliver to the caller.
struct Delivery {
  FrameVerdict verdict = FrameVerdict::kMismatch;
  std::vector<std::string> tokens;
};

/// Reassembles the output of one run from its frames: delivers each token once and in order.
class StreamAssembly {
 public:
  StreamAssembly(std::string run, int64_t attempt);

  Delivery Accept(const Frame& frame);

  /// Continues with a later attempt from `position()`. Returns false and does nothing if the
  /// attempt is not later than the current one or the output is complete.
  bool Resume(int64_t attempt);

  const std::string& run() const { return run_; }
  int64_t attempt() const { return attempt_; }
  int64_t position() const { return position_; }  ///< Number of tokens delivered.
  bool complete() const { return complete_; }
  const std::string& finish() const { return finish_; }  ///< Set when complete.
  const Usage& usage() const { return usage_; }          ///< Set when complete.

  /// Returns kIncompleteAnswer unless the output is complete. To be called at the end of a stream.
  Result<void> CheckComplete() const;

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
