#include "core/store_backoff.h"

#include <algorithm>

namespace fuchsiaweir {
namespace {

constexpr Duration kInitialPeriod = Millis(150);
// A change must be in force within two seconds after the store accepts calls again.
constexpr Duration kMaxPeriod = Millis(1200);
// Shortest wait as a share of the period. Gateways lose the store at the same moment, and with
// equal waits they would go on calling it at the same moments.
constexpr double kMinShare = 0.5;

}  // namespace

void StoreBackoff::OnRejected(TimePoint now) {
  // Several kinds of objects fail at the same time; together they count as one failure.
  if (Active(now)) return;
  period_ = std::clamp(period_ * 2, kInitialPeriod, kMaxPeriod);
  const double share = kMinShare + (1 - kMinShare) * random_.Next();
  until_ = now + Micros(static_cast<int64_t>(static_cast<double>(period_.count()) * share));
}

}  // namespace fuchsiaweir
