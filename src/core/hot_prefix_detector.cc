#include "core/hot_prefix_detector.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "core/rendezvous.h"

namespace fuchsiaweir {
namespace {

// Decaying in steps makes passes over the whole sketch rare. Between steps, counts are at most 9%
// (2^(1/8) - 1) too high.
constexpr int64_t kStepsPerHalfLife = 8;

}  // namespace

HotPrefixDetector::HotPrefixDetector(const HotPrefixRules& rules) : rules_(rules), rows_(kRows) {
  for (auto& row : rows_) row.fill(0);
}

void HotPrefixDetector::Decay(TimePoint now) {
  if (!decayed_at_) decayed_at_ = now;
  const Duration step = std::max(Duration(1), rules_.half_life / kStepsPerHalfLife);
  const int64_t steps = (now - *decayed_at_) / step;
  if (steps <= 0) return;
  *decayed_at_ += step * steps;
  const double factor =
      std::exp2(-static_cast<double>(steps) / static_cast<double>(kStepsPerHalfLife));
  for (auto& row : rows_) {
    for (float& count : row) count *= static_cast<float>(factor);
  }
}

double HotPrefixDetector::Record(const std::string& prefix, TimePoint now) {
  Decay(now);
  const uint64_t hash = RendezvousHash(prefix);
  float min_count = std::numeric_limits<float>::max();
  for (size_t row = 0; row < kRows; ++row) {
    float& count = rows_[row][RendezvousMix(row, hash) % kColumns];
    count += 1;
    min_count = std::min(min_count, count);
  }
  // At a steady rate r the count converges to r x half_life / ln 2.
  return min_count * std::log(2.0) / ToSeconds(rules_.half_life);
}

size_t HotPrefixDetector::Candidates(double rate, size_t base) const {
  if (!IsHot(rate)) return base;
  const double added =
      std::min(rate / rules_.requests_per_candidate, static_cast<double>(rules_.max_candidates));
  return std::max(base, std::min(base + static_cast<size_t>(added), rules_.max_candidates));
}

}  // namespace fuchsiaweir
