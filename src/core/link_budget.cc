#include "core/link_budget.h"

#include <algorithm>

namespace fuchsiaweir {
namespace {

/// Share of the link that all gateways together plan. Gateways see unequal parts of the traffic, so
/// that some leave a part of theirs unused.
constexpr double kPlannedShare = 1.0;
/// Work that one gateway may have outstanding. The transfers of many gateways fall together only
/// partly, so that the link itself has a much shorter queue.
constexpr Duration kMostBacklog = Seconds(2);

}  // namespace

Duration LinkBudget::Backlog(TimePoint now) const {
  return std::max(Duration{0}, busy_until_ - now);
}

bool LinkBudget::Admits(TimePoint now) const { return Backlog(now) <= kMostBacklog; }

void LinkBudget::OnTransfer(double bytes, double bytes_per_second, double gateways, TimePoint now) {
  if (bytes_per_second <= 0) return;
  const double seconds = bytes * std::max(1.0, gateways) / (bytes_per_second * kPlannedShare);
  busy_until_ = now + Backlog(now) + Micros(static_cast<int64_t>(seconds * 1e6));
}

}  // namespace fuchsiaweir
