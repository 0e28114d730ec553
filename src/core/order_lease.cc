#include "core/order_lease.h"

namespace fuchsiaweir {

OrderLeaseRecord OrderLease::Propose(const OrderLeaseRecord& current) const {
  // A restarted process has the holder's name but not its fencing token, and counts as a new
  // holder.
  const bool renewal = current.holder == self_ && current.fence == fence_;
  return {self_, renewal ? fence_ : current.fence + 1};
}

void OrderLease::OnWritten(const OrderLeaseRecord& record, TimePoint began, TimePoint now) {
  if (record.fence != fence_) {
    // The previous holder can no longer renew the lease; any order that it sent takes effect before
    // the end of this wait. An engine that checks fencing tokens rejects such orders by itself.
    const Duration wait = rules_.validity + rules_.order_timeout;
    const Duration margin(wait.count() * rules_.clock_rate_error_ppm / 1'000'000 + 1);
    valid_from_ = checks_fence_ ? now : now + wait + margin;
    fence_ = record.fence;
  }
  valid_until_ = began + rules_.validity;
}

bool OrderLease::MaySendOrder(TimePoint now) const {
  return fence_ > 0 && now >= valid_from_ && now < valid_until_;
}

}  // namespace fuchsiaweir
