#ifndef FUCHSIAWEIR_GATEWAY_REPORT_PROBE_H_
#define FUCHSIAWEIR_GATEWAY_REPORT_PROBE_H_

#include <boost/asio/io_context.hpp>
#include <set>
#include <string>

#include "core/clock.h"
#include "gateway/fleet_view.h"
#include "net/http_client.h"

namespace fuchsiaweir {

/// Asks runners whose sidecars are not heard for their load reports. A runner whose sidecar has
/// ended goes on to get requests; one whose host stands still does not answer.
class ReportProbe {
 public:
  ReportProbe(boost::asio::io_context& io, FleetView& view, HttpClient& client)
      : io_(io), view_(view), client_(client) {}

  /// Asks each runner whose report is overdue, unless it is being asked.
  void OnTimer();

 private:
  Awaitable<void> Ask(std::string runner);

  boost::asio::io_context& io_;
  FleetView& view_;
  HttpClient& client_;
  std::set<std::string> asked_;  ///< Runners whose answer, or the pause after it, is awaited.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_REPORT_PROBE_H_
