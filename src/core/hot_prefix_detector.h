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

/// When a prefix is hot and how far its candidate set widens.
struct HotPrefixRules {
  Duration half_life = Seconds(10);   ///< Time in which an old request loses half its weight.
  double requests_per_candidate = 4;  ///< Requests/s of one prefix that add one candidate.
  size_t max_candidates = 16;
};

/// Request rate of every prefix in fixed memory: a count-min sketch whose counts decay.
/// It may overestimate a rate, never underestimate it.
class HotPrefixDetector {
 public:
  explicit HotPrefixDetector(const HotPrefixRules& rules);

  /// Counts a request and returns the prefix's rate in requests per second.
  double Record(const std::string& prefix, TimePoint now);

  /// Number of candidates for a prefix of this rate; `base` when it is not hot.
  size_t Candidates(double rate, size_t base) const;

  /// Whether the rate widens the candidate set.
  bool IsHot(double rate) const { return rate >= rules_.requests_per_candidate; }

 private:
  static constexpr size_t kRows = 4;
  // 4 x 4096 floats are 64 KB; collisions add about 0.07% of the total rate to a prefix.
  static constexpr size_t kColumns = 4096;

  void Decay(TimePoint now);

  HotPrefixRules rules_;
  std::vector<std::array<float, kColumns>> rows_;
  std::optional<TimePoint> decayed_at_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_HOT_PREFIX_DETECTOR_H_
