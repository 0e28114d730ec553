#include "core/link_budget.h"

#include <algorithm>

namespace fuchsiaweir {
namespace {

// Fraction of the link rate that all gateways together may use. Traffic is spread unevenly over the
// gateways, so some leave part of their share unused.
constexpr double kPlannedUtilization = 1.0;
// Maximum backlog of one gateway. The transfers of many gateways coincide only partly, so the queue
// of the link itself is much shorter.
constexpr Duration kMaxBacklog = Seconds(2);

}  // namespace

Duration LinkBudget::Backlog(TimePoint now) const {
  return std::max(Duration{0}, busy_until_ - now);
}

bool LinkBudget::Admits(TimePoint now) const { return Backlog(now) <= kMaxBacklog; }

void LinkBudget::OnTransfer(double bytes, double bytes_per_second, double gateways, TimePoint now) {
  if (bytes_per_second <= 0) return;
  const double seconds = bytes * std::max(1.0, gateways) / (bytes_per_second * kPlannedUtilization);
  busy_until_ = now + Backlog(now) + Micros(static_cast<int64_t>(seconds * 1e6));
}

}  // namespace fuchsiaweir
