#ifndef FUCHSIAWEIR_CORE_LINK_BUDGET_H_
#define FUCHSIAWEIR_CORE_LINK_BUDGET_H_

#include "core/clock.h"

namespace fuchsiaweir {

/// Limits this gateway to its share of a link that all gateways use without coordination.
///
/// Load pattern: returning prompts request more from a store than its link can carry. All transfers
/// then finish too late and the prompts are recomputed anyway, so that both the transfers and the
/// time spent waiting for them are wasted.
class LinkBudget {
 public:
  /// Whether another transfer may start.
  bool Admits(TimePoint now) const;
  /// Charges a transfer of `bytes` to the share of a link of `bytes_per_second` that `gateways`
  /// share.
  void OnTransfer(double bytes, double bytes_per_second, double gateways, TimePoint now);

 private:
  /// Remaining time that the share needs for the charged transfers.
  Duration Backlog(TimePoint now) const;

  TimePoint busy_until_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_LINK_BUDGET_H_
