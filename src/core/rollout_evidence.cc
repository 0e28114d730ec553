#include "core/rollout_evidence.h"

#include <algorithm>

namespace fuchsiaweir {
namespace {

/// Long enough for evidence about a version that turns bad, short enough that its good answers from
/// before do not hide that.
constexpr Duration kRecentWindow = Seconds(3);
constexpr Duration kTotalInterval = Millis(400);

using Count = int64_t VersionCounts::*;
constexpr Count kCounts[] = {&VersionCounts::answers, &VersionCounts::failures,
                             &VersionCounts::slow};

/// Calls `apply` with each count of `into` and the same count of `from`.
template <typename Apply>
void Combine(CountsByRoute& into, const CountsByRoute& from, Apply apply) {
  for (const auto& [route, counts] : from) {
    RouteCounts& sum = into[route];
    for (const Count count : kCounts) {
      sum.present.*count = apply(sum.present.*count, counts.present.*count);
      sum.target.*count = apply(sum.target.*count, counts.target.*count);
    }
  }
}

}  // namespace

void RolloutEvidence::OnCounts(const std::string& source, const CountsByRoute& counts) {
  // Counts only grow, so the larger one is the newer one.
  Combine(by_source_[source], counts, [](int64_t a, int64_t b) { return std::max(a, b); });
}

CountsByRoute RolloutEvidence::Total() const {
  CountsByRoute total;
  for (const auto& [source, counts] : by_source_) {
    Combine(total, counts, [](int64_t a, int64_t b) { return a + b; });
  }
  return total;
}

CountsByRoute RolloutEvidence::Recent(TimePoint now) {
  CountsByRoute recent = Total();
  while (totals_.size() > 1 && now - totals_[1].first >= kRecentWindow) totals_.pop_front();
  if (totals_.empty() || now - totals_.back().first >= kTotalInterval) {
    totals_.emplace_back(now, recent);
  }
  if (now - totals_.front().first < kRecentWindow) return recent;
  const CountsByRoute& before = totals_.front().second;
  Combine(recent, before, [](int64_t a, int64_t b) { return a - b; });
  return recent;
}

}  // namespace fuchsiaweir
