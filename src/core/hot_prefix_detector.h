#ifndef FUCHSIAWEIR_CORE_HOT_PREFIX_DETECTOR_H_
#define FUCHSIAWEIR_CORE_HOT_PREFIX_DETECTOR_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"

namespace fuchsiaweir {

/// Threshold of a hot prefix and growth of its candidate set.
struct HotPrefixRules {
  Duration half_life = Seconds(10);   ///< Half-life of the weight of a request.
  double requests_per_candidate = 4;  ///< Requests/s of one prefix per added candidate.
  size_t max_candidates = 16;
};

/// Detects hot prefixes by their request rate, in a count-min sketch of fixed size whose counts
/// decay. May overestimate a rate, never underestimates it.
class HotPrefixDetector {
 public:
  explicit HotPrefixDetector(const HotPrefixRules& rules);

  /// Counts a request and returns the rate of the prefix in requests per second.
  double Record(const std::string& prefix, TimePoint now);

  /// Returns the number of candidates for a prefix of this rate; `base` if it is not hot.
  size_t Candidates(double rate, size_t base) const;

  /// Whether the rate widens the candidate set.
  bool IsHot(double rate) const { return rate >= rules_.requests_per_candidate; }

 private:
  static constexpr size_t kRows = 4;
  // 4 x 4096 floats use 64 KB. With 98% probability, collisions add at most 0.07% (e/4096) of the
  // total rate to a prefix.
  static constexpr size_t kColumns = 4096;

  void Decay(TimePoint now);

  HotPrefixRules rules_;
  std::vector<std::array<float, kColumns>> rows_;
  std::optional<TimePoint> decayed_at_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_HOT_PREFIX_DETECTOR_H_
