#include "core/answer_times.h"

#include <algorithm>
#include <cmath>

namespace fuchsiaweir {
namespace {

/// The first bucket ends at 1 ms; each further one is a tenth longer, up to four minutes.
constexpr double kFirstBucketMs = 1;
constexpr double kBucketRatio = 1.1;
constexpr float kMinTimes = 8;
/// Weight of all times at which each is halved.
constexpr float kMaxTimes = 256;

}  // namespace

void AnswerTimes::Add(Duration time) {
  const double ms = std::max(kFirstBucketMs, ToSeconds(time) * 1e3);
  const double bucket = std::floor(std::log(ms / kFirstBucketMs) / std::log(kBucketRatio));
  weights_[std::min(kBuckets - 1, static_cast<size_t>(bucket))] += 1;
  total_ += 1;
  if (total_ < kMaxTimes) return;
  for (float& weight : weights_) weight /= 2;
  total_ /= 2;
}

std::optional<Duration> AnswerTimes::Median() const {
  if (total_ < kMinTimes) return std::nullopt;
  float below = 0;
  for (size_t i = 0; i < kBuckets; ++i) {
    below += weights_[i];
    if (below * 2 < total_) continue;
    const double ms = kFirstBucketMs * std::pow(kBucketRatio, static_cast<double>(i) + 0.5);
    return Micros(static_cast<int64_t>(ms * 1e3));
  }
  return std::nullopt;
}

}  // namespace fuchsiaweir
