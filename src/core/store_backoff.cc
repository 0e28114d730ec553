#include "core/store_backoff.h"

#include <algorithm>

namespace fuchsiaweir {
namespace {

constexpr Duration kInitialPeriod = Millis(150);
// A change must be in force within two seconds after the store accepts calls again.
constexpr Duration kMaxPeriod = Millis(1200);

}  // namespace

void StoreBackoff::OnRejected(TimePoint now) {
  // Several kinds of objects fail at the same time; together they count as one failure.
  if (Active(now)) return;
  period_ = std::clamp(period_ * 2, kInitialPeriod, kMaxPeriod);
  until_ = now + period_;
}

}  // namespace fuchsiaweir
