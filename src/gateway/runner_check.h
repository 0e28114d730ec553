#ifndef FUCHSIAWEIR_GATEWAY_RUNNER_CHECK_H_
#define FUCHSIAWEIR_GATEWAY_RUNNER_CHECK_H_

#include <boost/asio/io_context.hpp>
#include <set>
#include <string>

#include "gateway/fleet_view.h"
#include "gateway/runner_channel.h"

namespace fuchsiaweir {

/// Finds out whether runners that lost a request still accept connections. Without it, a crash of a
/// runner without a sidecar shows only when the next request is sent there.
class RunnerCheck {
 public:
  RunnerCheck(boost::asio::io_context& io, FleetView& view, RunnerChannelPool& channels)
      : io_(io), view_(view), channels_(channels) {}

  /// Checks the runner soon; several losses in one crash cause one check. A runner that does not
  /// accept a connection counts as unreachable.
  void Start(const std::string& runner);

 private:
  Awaitable<void> Check(std::string runner);

  boost::asio::io_context& io_;
  FleetView& view_;
  RunnerChannelPool& channels_;
  std::set<std::string> pending_;  ///< Runners whose check has not begun.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_RUNNER_CHECK_H_
