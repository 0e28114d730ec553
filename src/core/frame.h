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
  int64_t cached_tokens = 0;      ///< Prompt tokens found in accelerator memory.
  int64_t fetched_tokens = 0;     ///< Prompt tokens fetched as retained KV blocks.
  int64_t recomputed_tokens = 0;  ///< Prompt tokens that the engine computed again.
  int64_t completion_tokens = 0;

  bool operator==(const Usage&) const = default;
};

/// One piece of a run's output on its way from the engine to the caller.
struct Frame {
  std::string run;      ///< Identifies the caller's request.
  int64_t attempt = 0;  ///< Counts dispatches of the run from 1.
  int64_t offset = 0;   ///< Index of the first token of this frame in the output.
  std::vector<std::string> tokens;
  bool done = false;           ///< The output is complete with this frame.
  std::string finish;          ///< "stop" or "length" when done.
  Usage usage;                 ///< Set when done.
  std::optional<Error> error;  ///< Ends the attempt without completing the output.
};

/// Returns the frame as one line of JSON with a final newline.
std::string EncodeFrame(const Frame& frame);

/// Parses one line. Malformed input gives kIncompleteAnswer with run state unknown.
Result<Frame> DecodeFrame(std::string_view line);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_FRAME_H_
