#include "core/order_lease.h"

namespace fuchsiaweir {

OrderLeaseRecord OrderLease::Propose(const OrderLeaseRecord& current) const {
  // A restarted process has the holder's name but not its fence, and counts as a new holder.
  const bool renewal = current.holder == self_ && current.fence == fence_;
  return {self_, renewal ? fence_ : current.fence + 1};
}

void OrderLease::OnWritten(const OrderLeaseRecord& record, TimePoint began, TimePoint now) {
  if (record.fence != fence_) {
    // The old holder cannot renew any more; its last order takes effect by the end of this wait.
    const Duration wait = rules_.validity + rules_.order_timeout;
    const Duration margin(wait.count() * rules_.clock_rate_error_ppm / 1'000'000 + 1);
    from_ = checks_fence_ ? now : now + wait + margin;
    fence_ = record.fence;
  }
  until_ = began + rules_.validity;
}

bool OrderLease::MaySendOrder(TimePoint now) const {
  return fence_ > 0 && now >= from_ && now < until_;
}

}  // namespace fuchsiaweir
