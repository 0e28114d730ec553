#ifndef FUCHSIAWEIR_CORE_FRAME_H_
#define FUCHSIAWEIR_CORE_FRAME_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/result.h"

namespace fuchsiaweir {

/// Token counts of one run.
struct Usage {
  int64_t prompt_tokens = 0;
  int64_t cached_tokens = 0;      ///< Prompt tokens whose KV blocks were in accelerator memory.
  int64_t fetched_tokens = 0;     ///< Prompt tokens whose retained KV blocks were fetched.
  int64_t recomputed_tokens = 0;  ///< Prompt tokens that the engine computed again.
  int64_t completion_tokens = 0;

  bool operator==(const Usage&) const = default;
};

/// Message with a part of a run's output, sent from the engine's host towards the caller.
struct Frame {
  std::string run;      ///< Identifies the caller's request.
  int64_t attempt = 0;  ///< Number of the run's dispatch, from 1.
  int64_t offset = 0;   ///< Position of the frame's first token in the output.
  std::vector<std::string> tokens;
  bool done = false;           ///< Whether the frame completes the output.
  std::string finish;          ///< Finish reason when done: "stop" or "length".
  Usage usage;                 ///< Set when done.
  std::optional<Error> error;  ///< Ends the attempt without completing the output.
};

/// Returns the frame as one line of JSON, including the newline.
std::string EncodeFrame(const Frame& frame);

/// Parses the result of `EncodeFrame`. Malformed input gives kIncompleteAnswer with run state
/// unknown.
Result<Frame> DecodeFrame(std::string_view line);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_FRAME_H_
