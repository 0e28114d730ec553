#ifndef FUCHSIAWEIR_CORE_ANSWER_TIMES_H_
#define FUCHSIAWEIR_CORE_ANSWER_TIMES_H_

#include <array>
#include <cstdint>
#include <optional>

#include "core/clock.h"

namespace fuchsiaweir {

/// Distribution of recent answer times, in logarithmic buckets. Older ones count less and less.
class AnswerTimes {
 public:
  void Add(Duration time);
  /// Returns the median; nothing while there are too few times.
  std::optional<Duration> Median() const;

 private:
  static constexpr size_t kBuckets = 130;

  std::array<float, kBuckets> weights_{};
  float total_ = 0;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_ANSWER_TIMES_H_
