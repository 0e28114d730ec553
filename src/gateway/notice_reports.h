#ifndef FUCHSIAWEIR_GATEWAY_NOTICE_REPORTS_H_
#define FUCHSIAWEIR_GATEWAY_NOTICE_REPORTS_H_

#include <cstdint>
#include <string>

#include "gateway/fleet_view.h"
#include "net/metrics.h"
#include "platform/runner_api.h"

namespace fuchsiaweir {

/// Records what runners say in their responses of the requests that they take. All gateways share
/// the limits; pauses and departures concern the gateway that was told.
class NoticeReports {
 public:
  NoticeReports(FleetView& view, Metrics& metrics) : view_(view), metrics_(metrics) {}

  /// Records a response of the runner's start at `started_ms` (Unix time).
  void OnAnswer(const std::string& runner, int64_t started_ms,
                const platform::RunnerAnswer& answer);
  /// Processes another gateway's report.
  void OnMessage(const LimitMessage& message);

 private:
  void RecordPause(const std::string& runner, int64_t started_ms,
                   const platform::RunnerAnswer& answer, TimePoint now);
  void RecordLeaving(const std::string& runner, int64_t started_ms, TimePoint now);
  void RecordLimit(const std::string& runner, const platform::RunnerAnswer& answer, TimePoint now);
  void Count(const std::string& notice);

  FleetView& view_;
  Metrics& metrics_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_NOTICE_REPORTS_H_
