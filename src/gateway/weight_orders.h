#ifndef FUCHSIAWEIR_GATEWAY_WEIGHT_ORDERS_H_
#define FUCHSIAWEIR_GATEWAY_WEIGHT_ORDERS_H_

#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <string>

#include "core/load_rollout.h"
#include "core/run_ages.h"
#include "core/work_pace.h"
#include "gateway/fleet_view.h"
#include "net/metrics.h"

namespace fuchsiaweir {

/// Sidecar of one runner: reports the runner's load to the gateways and orders it to load the
/// weights that the operator names. No other process sends orders to the runner.
class WeightOrders : public Component {
 public:
  WeightOrders(ComponentRegistry& components, FleetView& view);

  void Start() override;
  Awaitable<void> Stop() override;

 private:
  Awaitable<void> ReportLoop();
  /// Takes over a report of the runner, and sends it if it is time.
  void OnReport(EngineReport report);
  /// Whether the runner prepares a load or loads.
  bool InTurn() const;
  /// Reads and sends a report at once, as the turn has changed.
  void AnnounceTurn();
  Awaitable<void> OrderLoop();
  /// Announces the next step towards the load of the newest weights, or orders the load.
  Awaitable<void> TakeTurn(const WeightsHistory& history);
  Awaitable<void> SendOrder(const WeightsHistory& history);
  /// Returns whether this process now has a fencing token that is higher than all earlier ones.
  Awaitable<bool> AcquireFencingToken();
  /// Returns the runner's state, or null while it is not listed.
  const RunnerState* FindRunner();
  /// Returns the state of the rollout of the newest weights over all runners of the service.
  LoadRollout CurrentRollout(const WeightsHistory& history);
  /// Sends the report to the gateways, and to the other sidecars during a rollout.
  void SendReport(const LoadMessage& message);

  boost::asio::io_context& io_;
  FleetView& view_;
  boost::asio::steady_timer report_timer_;  ///< Time of the next report.
  boost::asio::steady_timer order_timer_;   ///< Time of the next decision.
  Metrics& metrics_;
  HttpClient& client_;
  std::optional<EngineReport> report_;
  PaceMeter pace_;
  int64_t fence_ = 0;          ///< Fencing token of this process; 0 while it has no valid one.
  int64_t fence_history_ = 0;  ///< History of the store in which the token was taken.
  TimePoint next_fence_at_;
  TimePoint ordered_at_;    ///< Time of the last order.
  TimePoint last_busy_at_;  ///< When the runner last reported runs.
  LoadTurn turn_;
  RunAges run_ages_;       ///< Of runs that no other runner may continue.
  bool announce_ = false;  ///< The turn has changed since the last report that was sent.
  TimePoint sent_at_;      ///< Time of the last report that was sent.
  bool sent_long_runs_ = false;
  int64_t watched_version_ = 0;  ///< Newest weights version that this process knows.
  TimePoint watched_since_;
  bool stopping_ = false;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_WEIGHT_ORDERS_H_
