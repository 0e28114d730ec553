#ifndef FUCHSIAWEIR_CORE_LINK_BUDGET_H_
#define FUCHSIAWEIR_CORE_LINK_BUDGET_H_

#include "core/clock.h"

namespace fuchsiaweir {

/// This gateway's share of a link that all gateways use without asking each other.
///
/// Load pattern: returning prompts ask a store for more than its link bears. All transfers then end
/// too late, and the prompts are computed after all; the link's work and the wait are lost.
class LinkBudget {
 public:
  /// Whether another transfer may begin.
  bool Admits(TimePoint now) const;
  /// Notes a transfer of `bytes` over a link of `bytes_per_second` that `gateways` share.
  void OnTransfer(double bytes, double bytes_per_second, double gateways, TimePoint now);

 private:
  /// Time until the share has carried what was noted.
  Duration Backlog(TimePoint now) const;

  TimePoint busy_until_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_LINK_BUDGET_H_
