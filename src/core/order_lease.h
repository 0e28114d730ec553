#ifndef FUCHSIAWEIR_CORE_ORDER_LEASE_H_
#define FUCHSIAWEIR_CORE_ORDER_LEASE_H_

#include <cstdint>
#include <string>
#include <utility>

#include "core/clock.h"

namespace fuchsiaweir {

/// Platform record of the agent that may send load and role-change orders to one runner.
struct OrderLeaseRecord {
  std::string holder;
  int64_t fence = 0;  ///< Fencing token: grows with each new holder; sent with each order.
};

/// Timing parameters of the lease.
struct OrderLeaseRules {
  Duration validity = Seconds(10);       ///< From the start of the acquiring or renewing write.
  Duration order_timeout = Seconds(2);   ///< An order takes effect within this time or not at all.
  int64_t clock_rate_error_ppm = 1'000;  ///< Maximum rate difference between two hosts' clocks.
};

/// One agent's state of the lease for one runner. Records are written by conditional update.
class OrderLease {
 public:
  OrderLease(OrderLeaseRules rules, std::string self, bool engine_checks_fence)
      : rules_(rules), self_(std::move(self)), checks_fence_(engine_checks_fence) {}

  /// Returns the record to write in order to acquire or renew the lease, given the current one.
  OrderLeaseRecord Propose(const OrderLeaseRecord& current) const;

  /// Records that a conditional write of `record`, started at `began`, had succeeded by `now`.
  void OnWritten(const OrderLeaseRecord& record, TimePoint began, TimePoint now);

  /// Whether an order may be sent now. Must be checked immediately before each send.
  bool MaySendOrder(TimePoint now) const;

  int64_t fence() const { return fence_; }

 private:
  OrderLeaseRules rules_;
  std::string self_;
  bool checks_fence_;
  int64_t fence_ = 0;
  TimePoint valid_from_;
  TimePoint valid_until_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_ORDER_LEASE_H_
