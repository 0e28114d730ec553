#ifndef FUCHSIAWEIR_CORE_ORDER_LEASE_H_
#define FUCHSIAWEIR_CORE_ORDER_LEASE_H_

#include <cstdint>
#include <string>
#include <utility>

#include "core/clock.h"

namespace fuchsiaweir {

/// Platform record of who may order loads and role changes of one runner.
struct OrderLeaseRecord {
  std::string holder;
  int64_t fence = 0;  ///< Grows with each holder; goes with each order.
};

/// Times of the lease.
struct OrderLeaseRules {
  Duration validity = Seconds(10);       ///< From the start of the write that took or renewed it.
  Duration order_timeout = Seconds(2);   ///< An order takes effect within this time or not at all.
  int64_t clock_rate_error_ppm = 1'000;  ///< Two hosts' clocks differ in rate by at most this.
};

/// One agent's view of the lease of one runner. Records are written by conditional update.
class OrderLease {
 public:
  OrderLease(OrderLeaseRules rules, std::string self, bool engine_checks_fence)
      : rules_(rules), self_(std::move(self)), checks_fence_(engine_checks_fence) {}

  /// Record to write in order to take the lease over, or to renew it, given the current one.
  OrderLeaseRecord Propose(const OrderLeaseRecord& current) const;

  /// A conditional write of `record` that began at `began` has succeeded by `now`.
  void OnWritten(const OrderLeaseRecord& record, TimePoint began, TimePoint now);

  /// Whether an order may be sent now. To be asked directly before each send.
  bool MaySendOrder(TimePoint now) const;

  int64_t fence() const { return fence_; }

 private:
  OrderLeaseRules rules_;
  std::string self_;
  bool checks_fence_;
  int64_t fence_ = 0;
  TimePoint from_;
  TimePoint until_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_ORDER_LEASE_H_
