#ifndef FUCHSIAWEIR_CORE_ORIGIN_INFERENCE_H_
#define FUCHSIAWEIR_CORE_ORIGIN_INFERENCE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/listed_versions.h"

namespace fuchsiaweir {

/// What a gateway knows of a resumed stream that no process has returned a record of.
struct OriginEvidence {
  std::vector<SeenVersions> seen;  ///< By this process, and by the holders that answered.
  size_t holders_asked = 0;
  size_t holders_failed = 0;    ///< Their calls ended without a usable answer.
  size_t holders_answered = 0;  ///< They have no record of the stream.
  /// The stream began before this time.
  TimePoint resumed_at;
  /// Latest time at which this process's list of runners was known to be current.
  std::optional<TimePoint> list_as_of;
  /// The version that this process inferred when the stream was resumed before. It stays valid: the
  /// list was current after the stream had begun.
  std::optional<std::string> inferred;
};

/// Next step in the search for the version that began a stream.
struct OriginDecision {
  bool done = false;
  std::optional<std::string> version;  ///< Nothing: not known if the search is done.
};

/// Decides which version began a stream that no process has returned a record of, after the search
/// has lasted for `waited`. It lasts for at most `limit`.
///
/// Load pattern: a gateway stands still or loses the store and the other gateways while runners of
/// a new version join, and streams that began there are resumed at this gateway.
OriginDecision InferOrigin(const OriginEvidence& evidence, Duration lifetime, Duration waited,
                           Duration limit);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_ORIGIN_INFERENCE_H_
