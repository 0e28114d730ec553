#ifndef FUCHSIAWEIR_NET_FLEET_STATUS_H_
#define FUCHSIAWEIR_NET_FLEET_STATUS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/inventory.h"
#include "net/operator_session.h"

namespace fuchsiaweir {

/// Status of one process of the inventory.
struct ProcessStatus {
  std::string host;
  std::string data_centre;
  std::string role;
  bool listed = false;   ///< The platform's host list contains the host.
  bool answers = false;  ///< The status request succeeded; otherwise the fields below are empty.
  int64_t revision = 0;
  bool ready = false;
  std::string state;  ///< Service state of the host as the process reports it.

  /// Whether the process counts as running. A host that is not listed and does not respond is down.
  bool live() const { return listed || answers; }
};

/// Sends a request to the processes of all hosts concurrently. Returns the results in the order of
/// the hosts.
Awaitable<std::vector<HttpResult>> CallAllHosts(OperatorSession& session, std::vector<Host> hosts,
                                                HttpRequest request);

/// Reads the status of every process of the inventory. If the host list cannot be read, all hosts
/// count as listed.
Awaitable<std::vector<ProcessStatus>> ReadFleetStatus(OperatorSession& session,
                                                      std::vector<Host> hosts);

/// Waits until every live process reports at least `revision`. Returns the live processes that have
/// not done so by `deadline`.
Awaitable<std::vector<ProcessStatus>> WaitForRevision(OperatorSession& session,
                                                      std::vector<Host> hosts, int64_t revision,
                                                      TimePoint deadline);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_FLEET_STATUS_H_
