#ifndef FUCHSIAWEIR_GATEWAY_WEIGHT_ORDERS_H_
#define FUCHSIAWEIR_GATEWAY_WEIGHT_ORDERS_H_

#include <optional>
#include <string>

#include "core/load_rollout.h"
#include "gateway/fleet_view.h"

namespace fuchsiaweir {

/// The sidecar's duties beside one runner: tells the gateways its load, and orders it to load the
/// weights that the operator names. The sidecar is the only process that gives orders to the
/// runner.
class WeightOrders : public Component {
 public:
  WeightOrders(Kernel& kernel, FleetView& view);

  void Start() override;
  Awaitable<void> Stop() override;

 private:
  Awaitable<void> ReportLoop();
  Awaitable<void> OrderLoop();
  Awaitable<void> OrderOnce(const WeightsHistory& target);
  Awaitable<bool> TakeFence();
  /// The runner's record, or null while it is not listed.
  const RunnerState* Runner();
  /// All runners of the service as they take turns.
  LoadRollout Rollout(const WeightsHistory& target);
  void Tell(const LoadMessage& message);

  boost::asio::io_context& io_;
  FleetView& view_;
  HttpClient& client_;
  std::optional<EngineReport> report_;
  int64_t fence_ = 0;     ///< Fencing token of this process; 0 before the store gave one.
  TimePoint ordered_at_;  ///< Time of the last order.
  TimePoint idle_at_;     ///< When the runner last had runs.
  WeightLoadPhase phase_ =
      WeightLoadPhase::kServing;  ///< What the gateways are told beyond the runner's report.
  TimePoint finishing_since_;
  bool stopping_ = false;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_WEIGHT_ORDERS_H_
